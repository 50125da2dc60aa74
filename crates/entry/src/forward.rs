//! Sends one request to one server and passes its answer on.
//!
//! Invariant: a request is sent only with a [`permit::Permit`] for the server's region, and an
//! attempt is `NotRun` only if no byte of it was written or the server stated that it did not run.

use crate::head;
use crate::pool;
use crate::snapshot;
use bytes::Bytes;
use hyper::body;
use nutmegdale_base::{entity, outcome};
use nutmegdale_routing::permit;
use nutmegdale_rpc::listen;
use std::pin;
use std::sync;
use std::task;

/// Result of one attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The server answered; its body streams.
    Answered(hyper::Response<listen::Body>),
    /// The request provably did not run; it is handed back if its body was not consumed.
    NotRun(outcome::Reason, Option<hyper::Request<listen::Body>>),
    /// The request may have run.
    Unknown(outcome::Reason),
}

/// Counts a request at a server from its sending to the end of its answer.
#[derive(Debug)]
struct InFlight {
    live: sync::Arc<snapshot::Live>,
}

impl InFlight {
    fn begin(live: &sync::Arc<snapshot::Live>) -> InFlight {
        live.signal.begin();
        InFlight {
            live: sync::Arc::clone(live),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.live.signal.end();
    }
}

/// Sends `req` to `server`, which must lie in the region of the permit.
pub async fn send(
    snapshot: &snapshot::Snapshot,
    server: entity::Server,
    permit: permit::Permit,
    req: hyper::Request<listen::Body>,
) -> Attempt {
    if snapshot.view.servers[server].region != permit.region() {
        return Attempt::NotRun(outcome::Reason::HomeRegion, Some(req));
    }
    let live = &snapshot.live[server];
    let in_flight = InFlight::begin(live);
    let mut sender = match live.pool.checkout().await {
        Ok(sender) => sender,
        Err(pool::Error::Full) => return Attempt::NotRun(outcome::Reason::Overload, Some(req)),
        Err(pool::Error::Connect) => return Attempt::NotRun(outcome::Reason::Connect, Some(req)),
    };
    let response = match sender.try_send_request(req).await {
        Ok(response) => response,
        Err(mut err) => {
            return match err.take_message() {
                Some(req) => Attempt::NotRun(outcome::Reason::Connect, Some(req)),
                None => Attempt::Unknown(outcome::Reason::BrokenAnswer),
            };
        }
    };
    let is_refused = response
        .headers()
        .get(&head::REFUSED)
        .is_some_and(|v| v == "not-run");
    if is_refused {
        return Attempt::NotRun(outcome::Reason::ServerRefused, None);
    }
    let stream = |incoming| AnswerBody {
        incoming,
        rest: Some((in_flight, sender)),
    };
    Attempt::Answered(response.map(|incoming| listen::Body::new(stream(incoming))))
}

/// Body of a server's answer; its connection returns to the pool only after its end.
#[derive(Debug)]
struct AnswerBody {
    incoming: body::Incoming,
    rest: Option<(InFlight, pool::Sender)>,
}

impl AnswerBody {
    fn finish(&mut self) {
        if let Some((in_flight, sender)) = self.rest.take() {
            in_flight.live.pool.checkin(sender);
        }
    }
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        let polled = task::ready!(pin::Pin::new(&mut self.incoming).poll_frame(cx));
        match polled {
            Some(Ok(frame)) => {
                if body::Body::is_end_stream(&self.incoming) {
                    self.finish();
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            // The error makes the listener break the caller's connection, so a cut answer is
            // never taken for a whole one.
            Some(Err(err)) => task::Poll::Ready(Some(Err(Box::new(err)))),
            None => {
                self.finish();
                task::Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.incoming)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // An empty answer is never polled, since its end is known from its head.
        if body::Body::is_end_stream(&self.incoming) {
            self.finish();
        }
    }
}
