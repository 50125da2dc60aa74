//! HTTP/1.1 client for single requests, and parsing of heads.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::time;

/// Head of a message, and the bytes behind it that were read with it.
pub struct Message {
    /// Request or status line.
    pub start_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Bytes behind the head.
    pub rest: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the stated length of the body; 0 without one.
    pub fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Returns the status code of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        let mut words = self.start_line.split(' ');
        words.nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `before` holds bytes that were read earlier. Returns `None` if the connection ends
/// first.
pub fn read_head(stream: &mut net::TcpStream, before: Vec<u8>) -> io::Result<Option<Message>> {
    let mut bytes = before;
    let mut part = [0; 16 * 1024];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let start_line = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            return Ok(Some(Message {
                start_line,
                headers: headers.collect(),
                rest: bytes[end + 4..].to_vec(),
            }));
        }
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&part[..count]);
    }
}

/// Response to a single request.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Sends a request on a connection of its own and reads the response, each step within `timeout`.
pub fn send(
    address: net::SocketAddr,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: time::Duration,
) -> io::Result<Response> {
    let mut stream = net::TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{request_line} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "no response");
    let head = read_head(&mut stream, Vec::new())?.ok_or_else(ended)?;
    let mut body = head.rest.clone();
    stream.read_to_end(&mut body)?;
    Ok(Response {
        status: head.status(),
        body,
    })
}
