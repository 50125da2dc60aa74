//! Client for calls to other processes of the cluster.

use crate::error;
use crate::message;
use crate::traffic;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use nutmegdale_base::clock;
use serde::{Serialize, de};
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpStream;

type Sender = http1::SendRequest<http_body_util::Full<Bytes>>;

/// Timeout for establishing a connection. A powered-off peer never answers, and TCP resends a lost
/// SYN only after a second. Giving up earlier lets the caller retry as soon as the peer is up
/// again.
const CONNECT_MS: clock::Millis = clock::Millis(300);
/// Maximum number of idle connections kept per peer.
const IDLE_MAX_COUNT: usize = 4;
/// Idle time after which a connection is not used again. Connections that carry regular calls are
/// idle for half a second at most; others may have gone silent, which only a timeout shows.
const IDLE_MAX: time::Duration = time::Duration::from_secs(2);

/// Client for calls that keeps a small pool of idle connections per peer.
///
/// Open connections can go silent without a reset, usually many at the same time. A call that times
/// out therefore closes all idle connections, so that the next calls, to whichever peer, are not lost
/// to the same fault.
#[derive(Debug)]
pub struct Client {
    token: String,
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>,
    /// Calls and their bytes.
    pub traffic: traffic::Traffic,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: time::Instant,
}

impl Client {
    /// Creates a client that authenticates to its peers with the cluster token `token`.
    pub fn new(token: &str) -> Client {
        Client {
            token: token.to_owned(),
            idle: sync::Mutex::default(),
            traffic: traffic::Traffic::new(),
        }
    }

    /// Sends the call `name` to `peer` and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// [`error::Error::NotSent`] means that the peer cannot have seen the call. After any other
    /// error the peer may have executed it.
    pub async fn call<Q: Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        peer: net::SocketAddr,
        name: &str,
        body: &Q,
        timeout: clock::Millis,
    ) -> error::Result<A> {
        let body = Client::encode(body)?;
        self.call_encoded(peer, name, body, timeout).await
    }

    /// Like [`Client::call`], but encodes the body without field names. It is meant for lists of
    /// servers and processes, which make up most of the traffic between processes. It only works
    /// for types that always serialize all their fields; a field that is added later must come last,
    /// have a default, and be left out in messages to older builds, which cannot decode it.
    ///
    /// # Errors
    ///
    /// Same as [`Client::call`].
    pub async fn call_compact<Q: Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        peer: net::SocketAddr,
        name: &str,
        body: &Q,
        timeout: clock::Millis,
    ) -> error::Result<A> {
        let body = rmp_serde::to_vec(body);
        let body = body.map_err(|err| error::Error::NotSent(err.to_string()))?;
        self.call_encoded(peer, name, body, timeout).await
    }

    /// Like [`Client::call_compact`], but calls `older` at a peer of an older build, which does not
    /// know `name`. Both calls take the same body.
    ///
    /// # Errors
    ///
    /// Same as [`Client::call`].
    pub async fn call_compact_or<Q: Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        peer: net::SocketAddr,
        name: &str,
        older: &str,
        body: &Q,
        timeout: clock::Millis,
    ) -> error::Result<A> {
        match self.call_compact(peer, name, body, timeout).await {
            Err(err) if err.is_unknown_call() => {
                self.call_compact(peer, older, body, timeout).await
            }
            reply => reply,
        }
    }

    async fn call_encoded<A: de::DeserializeOwned>(
        &self,
        peer: net::SocketAddr,
        name: &str,
        body: Vec<u8>,
        timeout: clock::Millis,
    ) -> error::Result<A> {
        let response = self.call_bytes(peer, name, body, timeout).await?;
        Client::decode(&response)
    }

    /// Encodes a body for [`Client::call_bytes`], for callers that meter the encoded size.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NotSent`] if the body cannot be encoded.
    pub fn encode<Q: Serialize>(body: &Q) -> error::Result<Vec<u8>> {
        rmp_serde::to_vec_named(body).map_err(|err| error::Error::NotSent(err.to_string()))
    }

    /// Decodes a response from [`Client::call_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Decode`]; the peer may have executed the call.
    pub fn decode<A: de::DeserializeOwned>(response: &[u8]) -> error::Result<A> {
        rmp_serde::from_slice(response).map_err(|err| error::Error::Decode(err.to_string()))
    }

    /// Sends the call `name` with an encoded body and returns the encoded response.
    ///
    /// # Errors
    ///
    /// Same as [`Client::call`].
    pub async fn call_bytes(
        &self,
        peer: net::SocketAddr,
        name: &str,
        body: Vec<u8>,
        timeout: clock::Millis,
    ) -> error::Result<Bytes> {
        let timeout = time::Duration::from_millis(timeout.0);
        let call = self.call_untimed(peer, name, body);
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => {
                self.idle().clear();
                Err(error::Error::NoAnswer(format!(
                    "timed out after {timeout:?}"
                )))
            }
        }
    }

    async fn call_untimed(
        &self,
        peer: net::SocketAddr,
        name: &str,
        body: Vec<u8>,
    ) -> error::Result<Bytes> {
        let mut sender = self.checkout(peer).await?;
        self.traffic.record_sent(name, body.len());
        let req = hyper::Request::post(format!("{}{name}", message::CALL_PATH))
            .header(hyper::header::HOST, peer.to_string())
            .header(message::PROTOCOL_HEADER, message::PROTOCOL)
            .header(message::TOKEN_HEADER, &self.token)
            .body(http_body_util::Full::new(Bytes::from(body)))
            .map_err(|err| error::Error::NotSent(err.to_string()))?;
        let response =
            sender
                .try_send_request(req)
                .await
                .map_err(|mut err| match err.take_message() {
                    Some(_) => error::Error::NotSent(err.error().to_string()),
                    None => error::Error::NoAnswer(err.error().to_string()),
                })?;
        let status = response.status();
        let limited = http_body_util::Limited::new(response.into_body(), message::BODY_MAX_BYTES);
        let collected = limited.collect().await;
        let body = collected
            .map_err(|err| error::Error::NoAnswer(err.to_string()))?
            .to_bytes();
        self.traffic.record_received(name, body.len());
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(error::Error::Refused(status.as_u16(), text));
        }
        self.checkin(peer, sender);
        Ok(body)
    }

    async fn checkout(&self, peer: net::SocketAddr) -> error::Result<Sender> {
        while let Some(mut sender) = self.pop_idle(peer) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let not_sent = |err: &dyn std::error::Error| error::Error::NotSent(err.to_string());
        let limit = time::Duration::from_millis(CONNECT_MS.0);
        let connected = tokio::time::timeout(limit, TcpStream::connect(peer)).await;
        let stream = connected.map_err(|err| not_sent(&err))?;
        let stream = stream.map_err(|err| not_sent(&err))?;
        stream.set_nodelay(true).map_err(|err| not_sent(&err))?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (sender, conn) = http1::handshake(io).await.map_err(|err| not_sent(&err))?;
        // Connection errors reach the caller through the sender.
        tokio::spawn(async move { drop(conn.await) });
        Ok(sender)
    }

    fn idle(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn pop_idle(&self, peer: net::SocketAddr) -> Option<Sender> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|connection| connection.since.elapsed() < IDLE_MAX);
        Some(connections.pop()?.sender)
    }

    fn checkin(&self, peer: net::SocketAddr, sender: Sender) {
        let mut idle = self.idle();
        let connections = idle.entry(peer).or_default();
        if connections.len() < IDLE_MAX_COUNT {
            let since = time::Instant::now();
            connections.push(Idle { sender, since });
        }
    }
}
