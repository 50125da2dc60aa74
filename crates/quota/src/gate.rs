//! Border between the path of a request and the limits of accounts.

use nutmegdale_accounts::account;
use nutmegdale_base::clock;
use std::future;
use std::pin;

/// Bound within which a limit holds over all processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Length of the sliding window in which requests are counted.
    pub window: clock::Millis,
    /// Fraction by which a limit may be exceeded in a window.
    pub overshoot: f64,
    /// Requests by which a limit may be exceeded in a window on top of that.
    pub slack: f64,
}

/// Decision on one request of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent. A request that did not run returns its token with [`Gate::refund`].
    Granted,
    /// The account has used up its limit.
    OverLimit {
        /// Time after which there is room for this caller.
        retry_after: clock::Millis,
    },
    /// No coordinator can say whether the account has used up its limit.
    Unavailable {
        /// Time after which a coordinator may be reachable again.
        retry_after: clock::Millis,
    },
}

/// Future of a verdict.
pub type VerdictFuture<'a> = pin::Pin<Box<dyn Future<Output = Verdict> + Send + 'a>>;

/// Admission of requests under the limits of their accounts.
pub trait Gate: Send + Sync {
    /// Takes a token for one request of `account`, whose caller waits for `time_left` at most.
    /// Retries and hedges of the request need no further token.
    fn acquire<'a>(
        &'a self,
        account: &'a account::Account,
        time_left: clock::Millis,
    ) -> VerdictFuture<'a>;

    /// Returns the token of a request that did not run.
    fn refund(&self, account: &account::Account);
}

/// Gate of a deployment without limits, which admits every request.
#[derive(Debug)]
pub struct Open;

impl Gate for Open {
    fn acquire<'a>(
        &'a self,
        _account: &'a account::Account,
        _time_left: clock::Millis,
    ) -> VerdictFuture<'a> {
        Box::pin(future::ready(Verdict::Granted))
    }

    fn refund(&self, _account: &account::Account) {}
}
