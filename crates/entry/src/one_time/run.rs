//! One attempt at a one-time request, from its claim to its recorded response.

use crate::check;
use crate::forward;
use crate::ledger_client;
use crate::one_time::{BufferedRequest, LedgerRecord, answer, send_state};
use crate::proxy;
use crate::response;
use crate::retry;
use crate::snapshot;
use nutmegdale_base::clock;
use nutmegdale_base::outcome::{Outcome, Reason};
use nutmegdale_ledger::command;
use nutmegdale_rpc::listen;
use std::sync;
use std::time;
use tokio::sync::oneshot;

/// Maximum number of servers that are tried while nothing was sent.
const ATTEMPTS_MAX_COUNT: usize = 3;
/// Time after the caller's deadline during which a late response is still accepted and recorded.
const LATE_RESPONSE_MS: clock::Millis = clock::Millis(30_000);
/// Maximum time for which the response is delayed until the claim is released, so that a resend
/// finds the key free.
const RELEASE_WAIT_MS: clock::Millis = clock::Millis(1_000);
/// Timeout of commands that settle a claim, which may continue after the caller got its response.
const SETTLE_MS: clock::Millis = clock::Millis(60_000);
/// Time for which a claimant's entry process must be missing from the directory before its claim
/// counts as interrupted; a process that has just started is not in every copy of the directory yet.
const CLAIMANT_MISSING_MS: clock::Millis = clock::Millis(2_000);
/// Interval between lookups of a pending claim, in milliseconds.
const LOOKUP_INTERVAL_MS: u64 = 100;

/// Caller that waits for a response. Only the first response is sent.
pub(super) struct Caller {
    response_tx: Option<oneshot::Sender<hyper::Response<listen::Body>>>,
}

impl Caller {
    pub(super) fn new(response_tx: oneshot::Sender<hyper::Response<listen::Body>>) -> Caller {
        Caller {
            response_tx: Some(response_tx),
        }
    }

    pub(super) fn respond(&mut self, response: hyper::Response<listen::Body>) {
        if let Some(response_tx) = self.response_tx.take() {
            // A caller that disconnected may resend the request with the same key.
            drop(response_tx.send(response));
        }
    }
}

/// Attempt at a request. It sends at most once, since only [`Run::run`] sends, and it consumes the
/// attempt.
pub(super) struct Run {
    shared: sync::Arc<proxy::Shared>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: check::CheckedRequest,
    request: BufferedRequest,
    claimant: command::Claimant,
    send_state: send_state::SendState,
}

/// Result of the send.
pub(super) enum SendResult {
    /// The server's response, or the start of a large one.
    Answered(answer::Answered),
    /// Nothing was sent, or the server stated that it did not run the request.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Run {
    pub(super) fn new(
        shared: sync::Arc<proxy::Shared>,
        snapshot: sync::Arc<snapshot::Snapshot>,
        checked: check::CheckedRequest,
        request: BufferedRequest,
    ) -> Run {
        Run {
            claimant: shared.one_time.claimant(),
            shared,
            snapshot,
            checked,
            request,
            send_state: send_state::SendState::default(),
        }
    }

    /// Runs the attempt to completion and responds to the caller as soon as the outcome is known.
    pub(super) async fn run(mut self, mut caller: Caller) {
        if let Some(record) = self.request.record.take() {
            if self.claim(&record, &mut caller).await {
                self.send(Some(&record), &mut caller).await;
            }
        } else {
            self.send(None, &mut caller).await;
        }
    }

    fn time_left(&self) -> clock::Millis {
        let left = self.checked.deadline.left(self.shared.clock.now());
        left.unwrap_or_default()
    }

    fn store(&self) -> &dyn ledger_client::ClaimStore {
        self.shared.one_time.store.as_ref()
    }

    fn error(&self, outcome: Outcome, detail: &str) -> hyper::Response<listen::Body> {
        response::error(outcome, self.snapshot.view.version, detail)
    }

    /// Claims the request and returns whether this attempt may send it.
    async fn claim(&mut self, record: &LedgerRecord, caller: &mut Caller) -> bool {
        loop {
            let claim = command::Claim {
                key: record.key,
                digest: record.digest,
                claimant: self.claimant.clone(),
                run_ms: self.time_left() + LATE_RESPONSE_MS,
                keep_ms: record.retention_ms,
            };
            let claimed = self
                .store()
                .claim(&record.region, &claim, self.time_left())
                .await;
            let claimed = match claimed {
                Ok(claimed) => claimed,
                Err(err) => {
                    let detail = "the record of one-time requests could not be reached";
                    caller.respond(self.error(Outcome::NotRun(Reason::Ledger), detail));
                    if err == ledger_client::Error::Uncertain {
                        self.release(record).await;
                    }
                    return false;
                }
            };
            let holder = match claimed.reply {
                command::ClaimReply::Granted => return true,
                command::ClaimReply::GivenUp => {
                    self.claimant = self.shared.one_time.claimant();
                    continue;
                }
                command::ClaimReply::Pending(holder) => holder,
                other => {
                    caller.respond(self.claim_rejection(other));
                    self.release_late_copies(record, claimed.may_arrive_late)
                        .await;
                    return false;
                }
            };
            if let Some(response) = self.wait_for_other_attempt(record, holder).await {
                caller.respond(response);
                self.release_late_copies(record, claimed.may_arrive_late)
                    .await;
                return false;
            }
        }
    }

    /// Releases the claim if delayed copies of its command may still be applied. The release fences
    /// them off.
    async fn release_late_copies(&self, record: &LedgerRecord, may_arrive_late: bool) {
        if may_arrive_late {
            self.release(record).await;
        }
    }

    async fn release(&self, record: &LedgerRecord) {
        let release = command::Release {
            key: record.key,
            claimant: self.claimant.clone(),
        };
        // If this fails, the claim expires as unknown, and the response that this send did not run
        // remains correct.
        drop(
            self.store()
                .release(&record.region, &release, SETTLE_MS)
                .await,
        );
    }

    fn claim_rejection(&self, reply: command::ClaimReply) -> hyper::Response<listen::Body> {
        use command::ClaimReply;
        let (outcome, detail) = match reply {
            ClaimReply::Answered(answer) => {
                return answer::replay(&answer, self.snapshot.view.version);
            }
            ClaimReply::OtherRequest => (
                Outcome::NotRun(Reason::Key),
                "the key was used for another request",
            ),
            ClaimReply::Full => (Outcome::NotRun(Reason::Overload), "the record is full"),
            ClaimReply::Unknown
            | ClaimReply::Granted
            | ClaimReply::GivenUp
            | ClaimReply::Pending(_) => (
                Outcome::Unknown(Reason::EarlierSend),
                "an earlier send broke off and may have run; it will not run again",
            ),
        };
        self.error(outcome, detail)
    }

    /// Waits for the outcome of another attempt, or returns `None` once the key is free to claim.
    async fn wait_for_other_attempt(
        &self,
        record: &LedgerRecord,
        mut holder: command::Claimant,
    ) -> Option<hyper::Response<listen::Body>> {
        let mut missing_since = None;
        loop {
            let delay = clock::Millis(LOOKUP_INTERVAL_MS).min(self.time_left());
            tokio::time::sleep(time::Duration::from_millis(delay.0)).await;
            if self.time_left() == clock::Millis::ZERO {
                let detail = "an earlier send has not ended";
                return Some(self.error(Outcome::Unknown(Reason::Pending), detail));
            }
            if self.is_claimant_dead(&holder, &mut missing_since) {
                let mark = command::MarkUnknown {
                    key: record.key,
                    claimant: holder.clone(),
                };
                let marked = self
                    .store()
                    .mark_unknown(&record.region, &mark, self.time_left());
                drop(marked.await);
            }
            match self
                .store()
                .lookup(&record.region, record.key, self.time_left())
                .await
            {
                Ok(command::Status::Pending(new_holder)) => holder = new_holder,
                Ok(command::Status::Unclaimed | command::Status::Released) => return None,
                Ok(command::Status::Unknown) => {
                    return Some(self.claim_rejection(command::ClaimReply::Unknown));
                }
                Ok(command::Status::Answered(answer)) => {
                    return Some(answer::replay(&answer, self.snapshot.view.version));
                }
                // The next iteration checks the deadline.
                Err(_) => {}
            }
        }
    }

    /// Returns whether a claimant's entry process has been missing from the directory for
    /// [`CLAIMANT_MISSING_MS`].
    fn is_claimant_dead(
        &self,
        holder: &command::Claimant,
        missing_since: &mut Option<clock::Millis>,
    ) -> bool {
        let now = self.shared.clock.now();
        let snapshot = self.shared.published.load();
        let mut entries = snapshot.view.entries.values();
        let is_own = holder.boot == self.claimant.boot;
        let is_view_stale = !self.shared.published.has_lease(now);
        if is_own
            || is_view_stale
            || entries.any(|e| e.name == holder.entry && e.boot == holder.boot)
        {
            *missing_since = None;
            return false;
        }
        let since = *missing_since.get_or_insert(now);
        now.since(since) >= CLAIMANT_MISSING_MS
    }

    async fn send(&self, record: Option<&LedgerRecord>, caller: &mut Caller) {
        let result = self.send_with_deadline(caller).await;
        match result {
            SendResult::Answered(answered) => self.handle_response(record, answered, caller).await,
            SendResult::NotRun(reason) => self.handle_not_run(record, reason, caller).await,
            SendResult::Unknown(reason) => {
                caller.respond(self.error(Outcome::Unknown(reason), ""));
                self.mark_unknown(record).await;
            }
        }
    }

    /// Sends the request and reads the start of the response; responds with an unknown outcome if the
    /// caller's deadline expires after the send began.
    async fn send_with_deadline(&self, caller: &mut Caller) -> SendResult {
        let work = self.forward();
        tokio::pin!(work);
        let left = time::Duration::from_millis(self.time_left().0);
        if let Ok(result) = tokio::time::timeout(left, &mut work).await {
            return result;
        }
        if self.send_state.cancel() {
            return SendResult::NotRun(Reason::Deadline);
        }
        let detail = "ask again under the same key";
        caller.respond(self.error(Outcome::Unknown(Reason::Deadline), detail));
        let limit = time::Duration::from_millis(LATE_RESPONSE_MS.0);
        let result = tokio::time::timeout(limit, work).await;
        result.unwrap_or(SendResult::Unknown(Reason::Deadline))
    }

    async fn forward(&self) -> SendResult {
        let may_send = || self.time_left() > clock::Millis::ZERO && self.send_state.try_begin();
        let options = retry::SendOptions {
            late_ms: LATE_RESPONSE_MS,
            may_send: &may_send,
        };
        let (shared, snapshot, checked) = (&self.shared, &self.snapshot, &self.checked);
        let mut tried = Vec::new();
        let mut reason = Reason::NoServer;
        while tried.len() < ATTEMPTS_MAX_COUNT {
            let Some(selected) = shared.select_server(snapshot, checked, &tried) else {
                break;
            };
            tried.push(selected.server);
            let req = self.request.to_request();
            match shared
                .send_with(snapshot, checked, selected, req, options)
                .await
            {
                forward::AttemptResult::Answered(response) => return answer::read(response).await,
                forward::AttemptResult::Unknown(reason) => return SendResult::Unknown(reason),
                forward::AttemptResult::NotRun(cause, Some(_)) => {
                    self.send_state.undo();
                    reason = cause;
                }
                // The server refused to run the request after bytes of it were sent.
                forward::AttemptResult::NotRun(cause, None) => {
                    return SendResult::NotRun(cause);
                }
            }
        }
        SendResult::NotRun(reason)
    }

    async fn handle_not_run(
        &self,
        record: Option<&LedgerRecord>,
        reason: Reason,
        caller: &mut Caller,
    ) {
        let response = self.error(Outcome::NotRun(reason), "");
        let Some(record) = record else {
            return caller.respond(response);
        };
        let wait = RELEASE_WAIT_MS.min(self.time_left());
        respond_after(caller, response, wait, self.release(record)).await;
    }

    async fn mark_unknown(&self, record: Option<&LedgerRecord>) {
        let Some(record) = record else {
            return;
        };
        let mark = command::MarkUnknown {
            key: record.key,
            claimant: self.claimant.clone(),
        };
        // If this fails, the claim expires as unknown.
        drop(
            self.store()
                .mark_unknown(&record.region, &mark, SETTLE_MS)
                .await,
        );
    }

    async fn handle_response(
        &self,
        record: Option<&LedgerRecord>,
        answered: answer::Answered,
        caller: &mut Caller,
    ) {
        let version = self.snapshot.view.version;
        match answered {
            answer::Answered::Small(small) => {
                let response = small.to_response(version);
                match record {
                    Some(record) => {
                        let storing = self.store_response(record, small.to_record());
                        respond_after(caller, response, self.time_left(), storing).await;
                    }
                    None => caller.respond(response),
                }
            }
            answer::Answered::Large(large) => {
                let (response, relay) = large.split(version);
                caller.respond(response);
                let limit = time::Duration::from_millis((self.time_left() + LATE_RESPONSE_MS).0);
                match (tokio::time::timeout(limit, relay.run()).await, record) {
                    (Ok(Some(answer)), Some(record)) => self.store_response(record, answer).await,
                    (Ok(Some(_)), None) => {}
                    (Ok(None) | Err(_), _) => self.mark_unknown(record).await,
                }
            }
        }
    }

    async fn store_response(&self, record: &LedgerRecord, answer: command::Answer) {
        let cmd = command::Record {
            key: record.key,
            claimant: self.claimant.clone(),
            answer,
        };
        // If this fails, resends get `unknown`, although this caller has the response.
        drop(self.store().record(&record.region, &cmd, SETTLE_MS).await);
    }
}

/// Responds to the caller once `work` is done, at the latest after `wait`; `work` then continues to
/// completion.
async fn respond_after(
    caller: &mut Caller,
    response: hyper::Response<listen::Body>,
    wait: clock::Millis,
    work: impl Future<Output = ()>,
) {
    tokio::pin!(work);
    let wait = time::Duration::from_millis(wait.0);
    let is_done = tokio::time::timeout(wait, &mut work).await.is_ok();
    caller.respond(response);
    if !is_done {
        work.await;
    }
}
