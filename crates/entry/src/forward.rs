//! Sends one request to one server and passes its answer on.
//!
//! Invariant: a request is sent only with a [`nutmegdale_routing::permit::Permit`] for the server's
//! region, and an attempt is `NotRun` only if no byte of it was written or the server stated that it
//! did not run.

use crate::flight;
use crate::head;
use crate::pool;
use bytes::Bytes;
use hyper::body;
use hyper::header as http;
use nutmegdale_admission::deadline;
use nutmegdale_base::{clock, outcome};
use nutmegdale_choice::report;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;
use std::time;

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

/// Sends `req` to the server of `flight` within the deadline and waits for the head of its answer
/// until `answer_by`, which is not earlier.
///
/// `may_send` is asked once a connection is there, right before the first byte.
pub async fn send(
    mut flight: flight::Flight,
    mut req: hyper::Request<listen::Body>,
    deadline: deadline::Deadline,
    answer_by: deadline::Deadline,
    may_send: impl Fn() -> Result<(), outcome::Reason>,
) -> Attempt {
    use outcome::Reason;
    let Some(left) = deadline.left(flight.now()) else {
        flight.unsent();
        return Attempt::NotRun(Reason::Deadline, Some(req));
    };
    let checkout = flight.live.pool.checkout(flight.clock.as_ref());
    let mut sender = match tokio::time::timeout(span(left), checkout).await {
        Ok(Ok(sender)) => sender,
        Ok(Err(pool::Error::Full)) => {
            flight.unsent();
            return Attempt::NotRun(Reason::Overload, Some(req));
        }
        Ok(Err(pool::Error::Connect)) => {
            flight.failed();
            flight.unsent();
            return Attempt::NotRun(Reason::Connect, Some(req));
        }
        Err(_) => {
            flight.unsent();
            return Attempt::NotRun(Reason::Deadline, Some(req));
        }
    };
    let left = deadline.left(flight.now());
    let stop = match left {
        None => Err(Reason::Deadline),
        Some(_) => may_send(),
    };
    if let Err(reason) = stop {
        flight.unsent();
        flight.live.pool.checkin(sender);
        return Attempt::NotRun(reason, Some(req));
    }
    let left = left.unwrap_or(clock::Millis::ZERO);
    req.headers_mut()
        .insert(&head::DEADLINE_MS, http::HeaderValue::from(left.0));
    let sent = sender.try_send_request(req);
    let wait = answer_by.left(flight.now()).unwrap_or(left);
    let response = match tokio::time::timeout(span(wait), sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut err)) => {
            flight.failed();
            return match err.take_message() {
                Some(req) => {
                    flight.unsent();
                    Attempt::NotRun(Reason::Connect, Some(req))
                }
                None => Attempt::Unknown(Reason::BrokenAnswer),
            };
        }
        // The dropped sender closes the connection, which cancels the request at the server.
        Err(_) => return Attempt::Unknown(Reason::Deadline),
    };
    flight.report(load_report(response.headers()));
    let refused = response.headers().get(&head::REFUSED);
    if refused.is_some_and(|value| value == "not-run") {
        flight.failed();
        flight.unsent();
        return Attempt::NotRun(Reason::ServerRefused, None);
    }
    if response.status().is_server_error() {
        flight.failed();
    } else {
        flight.succeeded();
    }
    let body = |incoming| AnswerBody {
        incoming,
        bound: flight.bound(),
        rest: Some((flight, sender)),
    };
    Attempt::Answered(response.map(|incoming| listen::Body::new(body(incoming))))
}

fn span(left: clock::Millis) -> time::Duration {
    time::Duration::from_millis(left.0)
}

fn load_report(headers: &http::HeaderMap) -> Option<report::Report> {
    report::Report::parse(headers.get(&head::LOAD)?.to_str().ok()?)
}

/// Body of a server's answer; its connection returns to the pool only after its end.
#[derive(Debug)]
struct AnswerBody {
    incoming: body::Incoming,
    /// Longest time of the answer of a cold server, whose grant counts on it.
    bound: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    rest: Option<(flight::Flight, pool::Sender)>,
}

impl AnswerBody {
    fn finish(&mut self) {
        if let Some((mut flight, sender)) = self.rest.take() {
            flight.ended();
            flight.live.pool.checkin(sender);
        }
    }

    fn poll_bound(&mut self, cx: &mut task::Context<'_>) -> Result<(), listen::BodyError> {
        if let Some(sleep) = &mut self.bound
            && sleep.as_mut().poll(cx).is_ready()
        {
            return Err("answer of a cold server takes too long".into());
        }
        Ok(())
    }
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Err(err) = self.poll_bound(cx) {
            return task::Poll::Ready(Some(Err(err)));
        }
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
