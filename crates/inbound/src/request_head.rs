//! Parses the head of a request to determine where the request ends (RFC 9112, section 6).

/// Maximum size of a request head, in bytes. Upstreams may reject larger heads, and larger heads would use too much
/// memory.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum number of headers of a request, equal to hyper's limit.
const MAX_HEADERS: usize = 100;

/// The length of a request, from which its end is determined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestLength {
    /// Total length of head and body, in bytes.
    Known(u64),
    /// The head has a `Transfer-Encoding`, or its `Content-Length` is invalid.
    Unknown,
}

/// The result of parsing the first bytes of a request.
pub(crate) enum ParsedHead {
    /// The head is incomplete.
    Incomplete,
    /// The bytes are not a valid request head.
    Invalid,
    /// The head is complete.
    Complete {
        length: RequestLength,
        /// Whether the head has both a `Content-Length` and a `Transfer-Encoding`; such a request may smuggle another
        /// one.
        has_both_lengths: bool,
    },
}

/// Parses the head of the request that starts at the first byte.
pub(crate) fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return ParsedHead::Incomplete,
        Err(_) => return ParsedHead::Invalid,
    };
    let value = |name: &str| {
        let mut headers = head.headers.iter();
        headers
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
    };
    let has_transfer_encoding = value("transfer-encoding").is_some();
    let content_length = value("content-length");
    let body_length = content_length.map_or(Some(0), parse_number);
    let length = match body_length.filter(|_| !has_transfer_encoding) {
        Some(body_length) => RequestLength::Known(body_length.saturating_add(head_length as u64)),
        None => RequestLength::Unknown,
    };
    ParsedHead::Complete {
        length,
        has_both_lengths: has_transfer_encoding && content_length.is_some(),
    }
}

/// Parses a number that consists of digits only; `str::parse` would also accept a leading `+`.
fn parse_number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
