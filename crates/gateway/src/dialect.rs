//! Border to the header names of a front end.

use hyper::header;
use nutmegdale_base::clock;
use nutmegdale_dispatch::signal;

/// What the head of a request says.
#[derive(Debug, Clone, Copy, Default)]
pub struct Request<'a> {
    /// Identifier of the caller's attempt.
    pub request_id: Option<&'a str>,
    /// Time that the caller waits.
    pub timeout: Option<clock::Millis>,
}

/// What the head of an answer says besides its status.
#[derive(Debug, Clone, Copy, Default)]
pub struct Response<'a> {
    /// Identifier of the request that it answers, if it names one.
    pub request_id: Option<&'a str>,
    /// Whether the server states that it has not run the request.
    pub is_not_run: bool,
    /// Whether another server, or another start of the server, holds the address.
    pub is_misdirected: bool,
    /// Whether the answer bears the mark that a successful answer of a server must have.
    pub is_signed: bool,
    /// Load of the server.
    pub report: Option<signal::Report>,
    /// Time for which the server stays cold.
    pub cold_left: Option<clock::Millis>,
    /// Identity of the server.
    pub server_id: Option<&'a str>,
}

/// Names and formats of the headers that callers and servers use.
pub trait Dialect: Send + Sync {
    /// Reads the head of a request.
    fn parse_request<'a>(&self, headers: &'a header::HeaderMap) -> Request<'a>;

    /// Writes into the head of a request what a server needs to know: its own identity, so that
    /// another one at its address refuses, and the time that is left.
    fn prepare_request(&self, headers: &mut header::HeaderMap, server: &str, left: clock::Millis);

    /// Reads the head of an answer.
    fn parse_response<'a>(
        &self,
        status: hyper::StatusCode,
        headers: &'a header::HeaderMap,
    ) -> Response<'a>;

    /// Writes into the head of a refusal which attempt it answers.
    fn prepare_local_response(&self, headers: &mut header::HeaderMap, id: Option<&str>);
}
