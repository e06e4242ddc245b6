//! HTTP/1.1 messages of the stand-ins.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or of a response. Names of headers are in lower case.
#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    /// Reads a head; `None` at the end of the connection.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return if head.first_line.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
            let line = line.trim_end();
            if line.is_empty() && !head.first_line.is_empty() {
                return Ok(Some(head));
            }
            if head.first_line.is_empty() {
                head.first_line = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                head.headers
                    .insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body came whole by the framing of the protocol.
    pub is_whole: bool,
}

/// Reads an answer to its end.
pub fn read_answer(input: &mut impl BufRead) -> io::Result<Answer> {
    let head = Head::read(input)?.ok_or(ErrorKind::UnexpectedEof)?;
    let status = head
        .first_line
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = Vec::new();
    let is_whole = if head
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        read_chunks(input, &mut body).is_ok()
    } else if head.headers.contains_key("content-length") {
        let length = head.length() as u64;
        input.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
    } else {
        input.read_to_end(&mut body).is_ok()
    };
    Ok(Answer {
        status,
        body,
        is_whole,
    })
}

fn read_chunks(input: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        input.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Ok(());
        }
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let host = if headers.contains("Host:") {
        String::new()
    } else {
        format!("Host: {address}\r\n")
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{host}{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    // An answer may come before the body is out; a failed write says nothing of it.
    let written = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = read_answer(&mut BufReader::new(stream));
    match (answer, written) {
        (Ok(answer), _) => Ok(answer),
        (Err(_), Err(error)) | (Err(error), Ok(())) => Err(error),
    }
}
