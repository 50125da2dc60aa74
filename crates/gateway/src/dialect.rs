//! Interface between the gateway and the header names of a front end.

use hyper::header;
use nutmegdale_accounts::key;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{server_limit, signal};

/// Metadata from the head of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Request<'a> {
    /// Identifier that the caller gave this attempt.
    pub request_id: Option<&'a str>,
    /// Time that the caller is willing to wait.
    pub timeout: Option<clock::Millis>,
}

/// Metadata from the head of a response.
#[derive(Debug, Clone, Copy, Default)]
pub struct Response<'a> {
    /// Identifier of the request that the response belongs to, if stated.
    pub request_id: Option<&'a str>,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the address now belongs to another server or another incarnation of the server.
    pub is_misdirected: bool,
    /// Whether the response carries the signature that every successful response of a server has.
    pub is_signed: bool,
    /// Load report of the server.
    pub report: Option<signal::Report>,
    /// Remaining warm-up time of the server.
    pub cold_left: Option<clock::Millis>,
    /// Whether the server states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the server wants no further requests.
    pub backoff: Option<clock::Millis>,
    /// Limit of the request rate that the server names.
    pub limit: server_limit::Stated,
    /// Identifier of the server.
    pub server_id: Option<&'a str>,
}

/// Names and formats of the headers that callers and servers use. The gateway reads and writes them
/// through this trait only.
pub trait Dialect: Send + Sync {
    /// Parses the head of a request.
    fn parse_request<'a>(&self, headers: &'a header::HeaderMap) -> Request<'a>;

    /// Returns the key that a request presents. It is called only if the configuration has accounts.
    fn parse_key<'a>(&self, headers: &'a header::HeaderMap) -> key::Presented<'a>;

    /// Removes the key and every account name that the caller stated, in any spelling that a server
    /// may take for them, and adds the name of the account, if there is one. It is called only if
    /// the configuration has accounts.
    fn replace_account(&self, headers: &mut header::HeaderMap, account: Option<&str>);

    /// Adds the headers for a server to a request: the identifier of the expected server, so that
    /// another server at its address rejects the request, and the time left.
    fn prepare_request(
        &self,
        headers: &mut header::HeaderMap,
        server_id: &str,
        time_left: clock::Millis,
    );

    /// Parses the head of a response.
    fn parse_response<'a>(
        &self,
        status: hyper::StatusCode,
        headers: &'a header::HeaderMap,
    ) -> Response<'a>;

    /// Adds the request identifier to a response that the gateway generates itself.
    fn prepare_local_response(&self, headers: &mut header::HeaderMap, request_id: Option<&str>);
}
