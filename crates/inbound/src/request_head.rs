//! The head of a request, as far as it tells where the request ends (RFC 9112, section 6).

/// Largest head of a request, in bytes: a larger one may be too large for upstreams, and would fill the memory.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;

/// Where a request ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestLength {
    /// So many bytes after its first one, head included.
    Known(u64),
    /// It comes in chunks, or its length cannot be read.
    Unknown,
}

/// What the beginning of a request tells.
pub(crate) enum ParsedHead {
    /// Its head has not come to its end.
    Incomplete,
    /// It is no request.
    Invalid,
    /// Its head is there.
    Complete {
        /// Where the request ends.
        length: RequestLength,
        /// It has both a length and a transfer coding: it may hide another request.
        has_both_lengths: bool,
    },
}

/// Parses the bytes of a connection from the beginning of a request on.
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
    let is_chunked = value("transfer-encoding").is_some();
    let content_length = value("content-length");
    let body_length = content_length.map_or(Some(0), parse_number);
    let length = match body_length.filter(|_| !is_chunked) {
        Some(body_length) => RequestLength::Known(body_length.saturating_add(head_length as u64)),
        None => RequestLength::Unknown,
    };
    ParsedHead::Complete {
        length,
        has_both_lengths: is_chunked && content_length.is_some(),
    }
}

/// A number of digits alone: `parse` would take a sign.
fn parse_number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
