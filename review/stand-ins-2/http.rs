//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The head of a request or a response, and the body if it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    ErrorKind::UnexpectedEof.into()
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: &str, timeout: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn fill(&mut self, most: usize) -> io::Result<bool> {
        let mut chunk = vec![0; most];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a head and nothing of the body that is not in the same small read.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = found {
                break end + 4;
            }
            if !self.fill(1 << 10)? {
                return Err(ended());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let pair = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Message {
            first_line,
            headers: lines.filter_map(pair).collect(),
            body: Vec::new(),
        })
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(64 << 10)? {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill(1 << 10)? {
                return Err(ended());
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let length =
            usize::from_str_radix(self.read_line()?.trim(), 16).map_err(io::Error::other)?;
        let data = self.read_exact(length)?;
        self.read_line()?;
        Ok((length > 0).then_some(data))
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding") == Some("chunked") {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.header("content-length").unwrap_or("0");
        self.read_exact(length.parse().map_err(io::Error::other)?)
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.send(head.as_bytes())?;
        self.send(body)
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let headers = format!("{headers}Connection: close\r\n");
    let sent = connection.request(method, path, &headers, body);
    // A peer may answer before it has read the whole body.
    connection
        .read_message()
        .or_else(|error| sent.and(Err(error)))
}
