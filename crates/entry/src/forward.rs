//! Sends one request to one server and streams its response.
//!
//! Invariant: a request is sent only with a [`nutmegdale_routing::permit::Permit`] for the server's
//! region, and an attempt is `NotRun` only if no byte of it was written or the server stated that it
//! did not run the request.

use crate::head;
use crate::in_flight;
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
pub enum AttemptResult {
    /// The server responded; the body is still streaming.
    Answered(hyper::Response<listen::Body>),
    /// The request certainly did not run; it is returned if its body was not consumed.
    NotRun(outcome::Reason, Option<hyper::Request<listen::Body>>),
    /// The request may have run.
    Unknown(outcome::Reason),
}

/// Sends `req` to the server of `in_flight` before `deadline` and waits for the response head until
/// `response_by`, which must not be earlier.
///
/// `may_send` is called once a connection is available, right before the first byte is written.
pub async fn send(
    mut in_flight: in_flight::InFlight,
    mut req: hyper::Request<listen::Body>,
    deadline: deadline::Deadline,
    response_by: deadline::Deadline,
    may_send: impl Fn() -> Result<(), outcome::Reason>,
) -> AttemptResult {
    use outcome::Reason;
    let Some(left) = deadline.left(in_flight.now()) else {
        in_flight.mark_not_run();
        return AttemptResult::NotRun(Reason::Deadline, Some(req));
    };
    let checkout = in_flight.server.pool.checkout(in_flight.clock.as_ref());
    let mut sender = match tokio::time::timeout(duration(left), checkout).await {
        Ok(Ok(sender)) => sender,
        Ok(Err(pool::Error::Full)) => {
            in_flight.mark_not_run();
            return AttemptResult::NotRun(Reason::Overload, Some(req));
        }
        Ok(Err(pool::Error::Connect)) => {
            in_flight.record_failure();
            in_flight.mark_not_run();
            return AttemptResult::NotRun(Reason::Connect, Some(req));
        }
        Err(_) => {
            in_flight.mark_not_run();
            return AttemptResult::NotRun(Reason::Deadline, Some(req));
        }
    };
    let left = deadline.left(in_flight.now());
    let permission = match left {
        None => Err(Reason::Deadline),
        Some(_) => may_send(),
    };
    if let Err(reason) = permission {
        in_flight.mark_not_run();
        in_flight.server.pool.checkin(sender);
        return AttemptResult::NotRun(reason, Some(req));
    }
    let left = left.unwrap_or(clock::Millis::ZERO);
    req.headers_mut()
        .insert(&head::DEADLINE_MS, http::HeaderValue::from(left.0));
    let pending = sender.try_send_request(req);
    let response_left = response_by.left(in_flight.now()).unwrap_or(left);
    let response = match tokio::time::timeout(duration(response_left), pending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut err)) => {
            in_flight.record_failure();
            return match err.take_message() {
                Some(req) => {
                    in_flight.mark_not_run();
                    AttemptResult::NotRun(Reason::Connect, Some(req))
                }
                None => AttemptResult::Unknown(Reason::BrokenAnswer),
            };
        }
        // Dropping the sender closes the connection, which cancels the request at the server.
        Err(_) => return AttemptResult::Unknown(Reason::Deadline),
    };
    if !head::is_final_status(response.status()) {
        in_flight.record_failure();
        return AttemptResult::Unknown(Reason::BrokenAnswer);
    }
    in_flight.record_load_report(load_report(response.headers()));
    let refused = response.headers().get(&head::REFUSED);
    if refused.is_some_and(|value| value == "not-run") {
        in_flight.record_failure();
        in_flight.mark_not_run();
        return AttemptResult::NotRun(Reason::ServerRefused, None);
    }
    if response.status().is_server_error() {
        in_flight.record_failure();
    } else {
        in_flight.record_success();
    }
    let body = |incoming| ResponseBody {
        incoming,
        cold_timeout: in_flight.cold_timeout(),
        guard_and_sender: Some((in_flight, sender)),
    };
    AttemptResult::Answered(response.map(|incoming| listen::Body::new(body(incoming))))
}

fn duration(left: clock::Millis) -> time::Duration {
    time::Duration::from_millis(left.0)
}

fn load_report(headers: &http::HeaderMap) -> Option<report::Report> {
    report::Report::parse(headers.get(&head::LOAD)?.to_str().ok()?)
}

/// Body of a server's response; the connection returns to the pool only after its end.
#[derive(Debug)]
struct ResponseBody {
    incoming: body::Incoming,
    /// Time limit of a cold server's response, which its lease relies on.
    cold_timeout: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    guard_and_sender: Option<(in_flight::InFlight, pool::Sender)>,
}

impl ResponseBody {
    fn finish(&mut self) {
        if let Some((mut in_flight, sender)) = self.guard_and_sender.take() {
            in_flight.mark_ended();
            in_flight.server.pool.checkin(sender);
        }
    }

    fn poll_cold_timeout(&mut self, cx: &mut task::Context<'_>) -> Result<(), listen::BodyError> {
        if let Some(sleep) = &mut self.cold_timeout
            && sleep.as_mut().poll(cx).is_ready()
        {
            return Err("response of a cold server exceeded its time limit".into());
        }
        Ok(())
    }
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Err(err) = self.poll_cold_timeout(cx) {
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
            // The error makes the listener abort the caller's connection, so that the caller never
            // takes a truncated response for a complete one.
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

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // An empty response is never polled, since its end is known from its head.
        if body::Body::is_end_stream(&self.incoming) {
            self.finish();
        }
    }
}
