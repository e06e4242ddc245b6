//! A client's connection to a front, which tells how it ends.

use super::history::{ConnectionEnd, Event, Response};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a connection without any byte counts as closed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The head of a response.
pub struct ResponseHead {
    pub status: u16,
    pub request_id: Option<String>,
    content_length: Option<usize>,
    /// Whether no further request may be sent on the connection.
    pub closes: bool,
}

/// A connection to a front.
pub struct Connection {
    input: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection; `None` if connecting fails.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            input: BufReader::new(stream),
        })
    }

    /// Writes bytes; returns `false` if the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.input.get_mut().write_all(bytes).is_ok()
    }

    /// Closes the sending side.
    pub fn half_close(&self) {
        self.input.get_ref().shutdown(Shutdown::Write).ok();
    }

    /// Reads the head of a response.
    pub fn read_head(&mut self) -> Result<ResponseHead, ConnectionEnd> {
        let status_line = self.read_line()?;
        let status = status_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok());
        let mut head = ResponseHead {
            status: status.unwrap_or_default(),
            request_id: None,
            content_length: None,
            closes: false,
        };
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(head);
            };
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "request-id" => head.request_id = Some(value.to_owned()),
                "content-length" => head.content_length = value.parse().ok(),
                "connection" => head.closes = value.eq_ignore_ascii_case("close"),
                _ => {}
            }
        }
    }

    /// Reads the body of a response. Calls `after_chunk` after each chunk.
    pub fn read_body(
        &mut self,
        head: &ResponseHead,
        mut after_chunk: impl FnMut(),
    ) -> Result<Response, ConnectionEnd> {
        let mut body = Vec::new();
        if let Some(length) = head.content_length {
            self.read_into(&mut body, length)?;
        } else {
            while self.read_chunk(&mut body)? {
                after_chunk();
            }
        }
        Ok(Response {
            status: head.status,
            request_id: head.request_id.clone(),
            events: parse_events(&body),
        })
    }

    /// Reads a chunk; returns `false` after the last one.
    fn read_chunk(&mut self, body: &mut Vec<u8>) -> Result<bool, ConnectionEnd> {
        let line = self.read_line()?;
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            panic!("no chunk length: {line:?}");
        };
        self.read_into(body, length)?;
        self.read_into(&mut Vec::new(), 2)?;
        Ok(length > 0)
    }

    fn read_line(&mut self) -> Result<String, ConnectionEnd> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(_) if line.ends_with('\n') => Ok(line.trim_end().to_owned()),
            Ok(_) => Err(ConnectionEnd::Closed),
            Err(error) => Err(end_of(error.kind())),
        }
    }

    fn read_into(&mut self, body: &mut Vec<u8>, length: usize) -> Result<(), ConnectionEnd> {
        let start = body.len();
        body.resize(start + length, 0);
        let read = self.input.read_exact(&mut body[start..]);
        read.map_err(|error| end_of(error.kind()))
    }
}

fn end_of(error: ErrorKind) -> ConnectionEnd {
    match error {
        ErrorKind::ConnectionReset => ConnectionEnd::Reset,
        _ => ConnectionEnd::Closed,
    }
}

fn parse_events(body: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(body);
    let parse = |event: &str| {
        let (number, request_id) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
        Some(Event {
            number: number.parse().ok()?,
            request_id: request_id.to_owned(),
        })
    };
    text.split("\n\n").filter_map(parse).collect()
}
