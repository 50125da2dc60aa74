//! Plain HTTP/1.1 client.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use std::net;
use tokio::net::TcpStream;

/// Error of a request.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// All headers.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header, or the empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON.
    pub fn json(&self) -> Result<serde_json::Value, Error> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// Request to send.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers as pairs of name and value; `host` is added.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; empty for none.
    pub body: Bytes,
}

impl<'a> Request<'a> {
    /// Creates a GET request.
    pub fn get(path: &'a str, headers: &'a [(&'a str, &'a str)]) -> Request<'a> {
        Request {
            method: "GET",
            path,
            headers,
            body: Bytes::new(),
        }
    }

    /// Creates a POST request.
    pub fn post(
        path: &'a str,
        headers: &'a [(&'a str, &'a str)],
        body: impl Into<Bytes>,
    ) -> Request<'a> {
        Request {
            method: "POST",
            path,
            headers,
            body: body.into(),
        }
    }
}

/// Persistent connection.
#[derive(Debug)]
pub struct Connection {
    peer: net::SocketAddr,
    sender: http1::SendRequest<http_body_util::Full<Bytes>>,
}

impl Connection {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached; no request was sent in this case.
    pub async fn open(peer: net::SocketAddr) -> Result<Connection, Error> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) = http1::handshake(hyper_util::rt::TokioIo::new(stream)).await?;
        tokio::spawn(async move { drop(conn.await) });
        Ok(Connection { peer, sender })
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the answer is complete.
    pub async fn send(&mut self, req: &Request<'_>) -> Result<Answer, Error> {
        self.sender.ready().await?;
        let mut builder = hyper::Request::builder().method(req.method).uri(req.path);
        builder = builder.header(hyper::header::HOST, self.peer.to_string());
        for (name, value) in req.headers {
            builder = builder.header(*name, *value);
        }
        let body = http_body_util::Full::new(req.body.clone());
        let response = self.sender.send_request(builder.body(body)?).await?;
        let (head, incoming) = response.into_parts();
        let body = incoming.collect().await?.to_bytes();
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

/// Sends a request on a new connection and reads the complete answer.
///
/// # Errors
///
/// Fails if the peer cannot be reached or the connection ends before the answer is complete.
pub async fn send(peer: net::SocketAddr, req: &Request<'_>) -> Result<Answer, Error> {
    Connection::open(peer).await?.send(req).await
}
