//! Client of the administration API that tries the control processes in turn.

use crate::args;
use crate::exit;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use std::cell;
use std::env;
use std::fs;
use std::net;
use std::time;
use tokio::net::TcpStream;

/// Timeout of one attempt, after which the next control process is tried. A frozen process accepts
/// connections but never responds. Repeating a change is safe, since changes have an id.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Delay between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Response of a control process.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Bytes,
}

/// Client of the listed control processes.
#[derive(Debug)]
pub(crate) struct Client {
    control: Vec<net::SocketAddr>,
    token: String,
    timeout: time::Duration,
    last_responder: cell::Cell<usize>,
}

impl Client {
    /// Creates a client from the command line and the environment.
    pub(crate) fn new(args: &args::Args) -> exit::Result<Client> {
        let addresses = args.control.clone().or(env::var("NUTMEGCTL_CONTROL").ok());
        let Some(addresses) = addresses else {
            return exit::fail(
                exit::Exit::Usage,
                "--control or NUTMEGCTL_CONTROL is required",
            );
        };
        let mut control = Vec::new();
        for item in addresses.split(',').map(str::trim) {
            match item.parse() {
                Ok(address) => control.push(address),
                Err(_) => {
                    let text = format!("--control: {item:?} is not an IP address with a port");
                    return exit::fail(exit::Exit::Usage, text);
                }
            }
        }
        Ok(Client {
            control,
            token: read_token(args)?,
            timeout: time::Duration::from_secs(args.timeout),
            last_responder: cell::Cell::new(0),
        })
    }

    /// Sends a request to the control processes in turn until one responds on behalf of the leader.
    ///
    /// # Errors
    ///
    /// Fails if none does so within the timeout; the request may still have taken effect.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> exit::Result<Response> {
        let start = time::Instant::now();
        let mut last_error = String::new();
        // The process that responded last is tried first.
        for index in self.last_responder.get().. {
            let peer = self.control[index % self.control.len()];
            let left = self.timeout.saturating_sub(start.elapsed());
            if left.is_zero() {
                break;
            }
            let sent = self.send_to(peer, method, path, body);
            match tokio::time::timeout(left.min(ATTEMPT_TIMEOUT), sent).await {
                Ok(Ok(response)) if response.status == 401 => {
                    return exit::fail(exit::Exit::Token, format!("{peer}: the token was refused"));
                }
                Ok(Ok(response)) if response.status != 503 => {
                    self.last_responder.set(index);
                    return Ok(response);
                }
                Ok(Ok(response)) => last_error = format!("{peer}: {}", response.error()),
                Ok(Err(err)) => last_error = format!("{peer}: {err}"),
                Err(_) => last_error = format!("{peer}: timed out"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        exit::fail(
            exit::Exit::NoAnswer,
            format!("no control process responded; {last_error}"),
        )
    }

    /// Fetches a resource that must exist.
    pub(crate) async fn get(&self, path: &str) -> exit::Result<Response> {
        let response = self.send("GET", path, &[]).await?;
        match response.status {
            200 => Ok(response),
            _ => exit::fail(exit::Exit::Refused, response.error()),
        }
    }

    async fn send_to(
        &self,
        peer: net::SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Response, Error> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (mut sender, conn) = http1::handshake(hyper_util::rt::TokioIo::new(stream)).await?;
        // Errors of the connection are reported to the request through its sender.
        tokio::spawn(async move { drop(conn.await) });
        let req = hyper::Request::builder()
            .method(method)
            .uri(format!("/admin/v1/{path}"))
            .header(hyper::header::HOST, peer.to_string())
            .header(
                hyper::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(http_body_util::Full::new(Bytes::copy_from_slice(body)))?;
        let response = sender.send_request(req).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Response { status, body })
    }
}

impl Response {
    /// Parses the body as JSON.
    pub(crate) fn value(&self) -> exit::Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .or_else(|err| exit::fail(exit::Exit::Refused, format!("response is not JSON: {err}")))
    }

    /// Returns the error message in the body, or the status if there is none.
    pub(crate) fn error(&self) -> String {
        let value = serde_json::from_slice::<serde_json::Value>(&self.body).ok();
        let text = value.and_then(|value| Some(value.get("error")?.as_str()?.to_owned()));
        text.unwrap_or_else(|| format!("status {}", self.status))
    }
}

fn read_token(args: &args::Args) -> exit::Result<String> {
    if let Some(path) = &args.token_file {
        return match fs::read_to_string(path) {
            Ok(text) => Ok(text.trim().to_owned()),
            Err(err) => exit::fail(exit::Exit::Usage, format!("--token-file {path}: {err}")),
        };
    }
    match env::var("NUTMEGCTL_TOKEN") {
        Ok(token) => Ok(token),
        Err(_) => exit::fail(
            exit::Exit::Usage,
            "--token-file or NUTMEGCTL_TOKEN is required",
        ),
    }
}
