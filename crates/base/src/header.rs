//! Names of the HTTP headers and paths of the public contract in
//! [docs/interfaces.md](../../../docs/interfaces.md).

/// Outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "nutmegdale-outcome";
/// Catalogue version that a request was decided by.
pub const VERSION: &str = "nutmegdale-version";
/// Reason of an outcome other than `answered`.
pub const REASON: &str = "nutmegdale-reason";
/// Identifier of a request in logs of callers, entry VMs and backend servers.
pub const REQUEST_ID: &str = "nutmegdale-request-id";
/// Client account of a request.
pub const ACCOUNT: &str = "nutmegdale-account";
/// Token of the client account, if the catalogue requires one; it is not forwarded to servers.
pub const TOKEN: &str = "nutmegdale-token";
/// Time left for a request, in milliseconds.
pub const DEADLINE_MS: &str = "nutmegdale-deadline-ms";
/// Key that identifies a one-time request across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Present on a response that is repeated from the ledger of one-time requests; its only value is
/// `true`.
pub const REPLAYED: &str = "nutmegdale-replayed";
/// Load report of a backend server in a response.
pub const LOAD: &str = "nutmegdale-load";
/// Statement of a backend server that it did not run a request; its only value is `not-run`.
pub const REFUSED: &str = "nutmegdale-refused";
/// Prefix of the paths that an entry VM serves itself.
pub const RESERVED_PATH: &str = "/.nutmegdale/";
