//! Requests to the control processes, in turn.

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

/// Longest time for one control process to answer before the next one is asked. A frozen process
/// accepts connections and never answers; asking twice does no harm, since changes have an id.
const ONE_ANSWER: time::Duration = time::Duration::from_secs(2);
/// Pause before a control process is asked again.
const PAUSE: time::Duration = time::Duration::from_millis(200);

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Answer of a control process.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
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
    limit: time::Duration,
    answering: cell::Cell<usize>,
}

impl Client {
    /// Creates a client from the command line and the environment.
    pub(crate) fn new(args: &args::Args) -> exit::Result<Client> {
        let listed = args.control.clone().or(env::var("NUTMEGCTL_CONTROL").ok());
        let Some(listed) = listed else {
            return exit::fail(
                exit::Exit::Usage,
                "--control or NUTMEGCTL_CONTROL is required",
            );
        };
        let mut control = Vec::new();
        for item in listed.split(',').map(str::trim) {
            match item.parse() {
                Ok(address) => control.push(address),
                Err(_) => {
                    let text = format!("--control: {item:?} is not an IP number with a port");
                    return exit::fail(exit::Exit::Usage, text);
                }
            }
        }
        Ok(Client {
            control,
            token: token(args)?,
            limit: time::Duration::from_secs(args.timeout),
            answering: cell::Cell::new(0),
        })
    }

    /// Asks the control processes in turn until one answers for the leader.
    ///
    /// # Errors
    ///
    /// Fails if none does within the limit; the request may have been carried out.
    pub(crate) async fn send(&self, method: &str, path: &str, body: &[u8]) -> exit::Result<Answer> {
        let start = time::Instant::now();
        let mut last = String::new();
        // The one that answered last is asked first.
        for at in self.answering.get().. {
            let peer = self.control[at % self.control.len()];
            let left = self.limit.saturating_sub(start.elapsed());
            if left.is_zero() {
                break;
            }
            let sent = self.send_to(peer, method, path, body);
            match tokio::time::timeout(left.min(ONE_ANSWER), sent).await {
                Ok(Ok(answer)) if answer.status == 401 => {
                    return exit::fail(exit::Exit::Token, format!("{peer}: the token is refused"));
                }
                Ok(Ok(answer)) if answer.status != 503 => {
                    self.answering.set(at);
                    return Ok(answer);
                }
                Ok(Ok(answer)) => last = format!("{peer}: {}", answer.error()),
                Ok(Err(err)) => last = format!("{peer}: {err}"),
                Err(_) => last = format!("{peer}: no answer in time"),
            }
            tokio::time::sleep(PAUSE).await;
        }
        exit::fail(
            exit::Exit::NoAnswer,
            format!("no control process answered; {last}"),
        )
    }

    /// Asks for a resource that must exist.
    pub(crate) async fn get(&self, path: &str) -> exit::Result<Answer> {
        let answer = self.send("GET", path, &[]).await?;
        match answer.status {
            200 => Ok(answer),
            _ => exit::fail(exit::Exit::Refused, answer.error()),
        }
    }

    async fn send_to(
        &self,
        peer: net::SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, Error> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (mut sender, conn) = http1::handshake(hyper_util::rt::TokioIo::new(stream)).await?;
        // The connection's own errors reach the request through its sender.
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
        Ok(Answer { status, body })
    }
}

impl Answer {
    /// Returns the body as JSON.
    pub(crate) fn value(&self) -> exit::Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .or_else(|err| exit::fail(exit::Exit::Refused, format!("answer is not JSON: {err}")))
    }

    /// Returns the error text of a refusal.
    pub(crate) fn error(&self) -> String {
        let value = serde_json::from_slice::<serde_json::Value>(&self.body).ok();
        let text = value.and_then(|value| Some(value.get("error")?.as_str()?.to_owned()));
        text.unwrap_or_else(|| format!("status {}", self.status))
    }
}

fn token(args: &args::Args) -> exit::Result<String> {
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
