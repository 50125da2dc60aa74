//! One attempt at a one-time request, from its claim to its recorded answer.

use crate::check;
use crate::forward;
use crate::ledger_client;
use crate::one_time::{Kept, Whole, answer, gate};
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

/// Servers that are tried at most while nothing was sent.
const TRIES_MAX_COUNT: usize = 3;
/// Time after the caller's deadline in which a late answer is still taken and recorded.
const LATE_MS: clock::Millis = clock::Millis(30_000);
/// Time in which the caller waits for a release, so that a resend finds the key free.
const RELEASE_WAIT_MS: clock::Millis = clock::Millis(1_000);
/// Time for commands that settle a claim after the caller has been told.
const SETTLE_MS: clock::Millis = clock::Millis(60_000);
/// Time that a claimant's entry process must be missing from the list of live ones before its claim
/// counts as broken off; a process that has just started is not in every list yet.
const GONE_MS: clock::Millis = clock::Millis(2_000);
/// Pause between two lookups of a pending claim.
const LOOKUP_PAUSE_MS: u64 = 100;

/// Caller that waits for a response; it is told once.
pub(super) struct Caller {
    tell: Option<oneshot::Sender<hyper::Response<listen::Body>>>,
}

impl Caller {
    pub(super) fn new(tell: oneshot::Sender<hyper::Response<listen::Body>>) -> Caller {
        Caller { tell: Some(tell) }
    }

    pub(super) fn tell(&mut self, response: hyper::Response<listen::Body>) {
        if let Some(tell) = self.tell.take() {
            // A caller that went away may ask again under the same key.
            drop(tell.send(response));
        }
    }
}

/// Attempt at a request. It sends at most once, since only [`Run::run`] sends and consumes it.
pub(super) struct Run {
    shared: sync::Arc<proxy::Shared>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: check::CheckedRequest,
    whole: Whole,
    claimant: command::Claimant,
    gate: gate::Gate,
}

/// Result of the send.
pub(super) enum Sent {
    /// The server's answer, or the start of a large one.
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
        whole: Whole,
    ) -> Run {
        Run {
            claimant: shared.one_time.claimant(),
            shared,
            snapshot,
            checked,
            whole,
            gate: gate::Gate::default(),
        }
    }

    /// Runs the attempt to its end and tells the caller as soon as the outcome is known.
    pub(super) async fn run(mut self, mut caller: Caller) {
        if let Some(kept) = self.whole.kept.take() {
            if self.claim(&kept, &mut caller).await {
                self.send(Some(&kept), &mut caller).await;
            }
        } else {
            self.send(None, &mut caller).await;
        }
    }

    fn left(&self) -> clock::Millis {
        let left = self.checked.deadline.left(self.shared.clock.now());
        left.unwrap_or_default()
    }

    fn store(&self) -> &dyn ledger_client::ClaimStore {
        self.shared.one_time.store.as_ref()
    }

    fn refusal(&self, outcome: Outcome, detail: &str) -> hyper::Response<listen::Body> {
        response::error(outcome, self.snapshot.view.version, detail)
    }

    /// Claims the request and returns whether this attempt may send it.
    async fn claim(&mut self, kept: &Kept, caller: &mut Caller) -> bool {
        loop {
            let claim = command::Claim {
                key: kept.key,
                digest: kept.digest,
                claimant: self.claimant.clone(),
                run_ms: self.left() + LATE_MS,
                keep_ms: kept.keep_ms,
            };
            let claimed = self.store().claim(&kept.home, &claim, self.left()).await;
            let claimed = match claimed {
                Ok(claimed) => claimed,
                Err(err) => {
                    let detail = "the record of one-time requests could not be reached";
                    caller.tell(self.refusal(Outcome::NotRun(Reason::Ledger), detail));
                    if err == ledger_client::Error::Uncertain {
                        self.give_up(kept).await;
                    }
                    return false;
                }
            };
            let by = match claimed.reply {
                command::ClaimReply::Granted => return true,
                command::ClaimReply::GivenUp => {
                    self.claimant = self.shared.one_time.claimant();
                    continue;
                }
                command::ClaimReply::Pending(by) => by,
                other => {
                    caller.tell(self.not_granted(other));
                    self.forget(kept, claimed.may_linger).await;
                    return false;
                }
            };
            if let Some(response) = self.wait(kept, by).await {
                caller.tell(response);
                self.forget(kept, claimed.may_linger).await;
                return false;
            }
        }
    }

    /// Fences copies of this attempt's claim that may still be under way.
    async fn forget(&self, kept: &Kept, may_linger: bool) {
        if may_linger {
            self.give_up(kept).await;
        }
    }

    async fn give_up(&self, kept: &Kept) {
        let release = command::Release {
            key: kept.key,
            claimant: self.claimant.clone(),
        };
        // If it fails, the claim becomes unknown at its end and the caller's first answer, that
        // this send did not run, stays true.
        drop(self.store().release(&kept.home, &release, SETTLE_MS).await);
    }

    fn not_granted(&self, reply: command::ClaimReply) -> hyper::Response<listen::Body> {
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
        self.refusal(outcome, detail)
    }

    /// Waits for the outcome of another attempt; returns `None` if the key is free to claim.
    async fn wait(
        &self,
        kept: &Kept,
        mut by: command::Claimant,
    ) -> Option<hyper::Response<listen::Body>> {
        let mut missing_since = None;
        loop {
            let pause = clock::Millis(LOOKUP_PAUSE_MS).min(self.left());
            tokio::time::sleep(time::Duration::from_millis(pause.0)).await;
            if self.left() == clock::Millis::ZERO {
                let detail = "an earlier send has not ended";
                return Some(self.refusal(Outcome::Unknown(Reason::Pending), detail));
            }
            if self.is_gone(&by, &mut missing_since) {
                let mark = command::MarkUnknown {
                    key: kept.key,
                    claimant: by.clone(),
                };
                let marked = self.store().mark_unknown(&kept.home, &mark, self.left());
                drop(marked.await);
            }
            match self.store().lookup(&kept.home, kept.key, self.left()).await {
                Ok(command::Status::Pending(now_by)) => by = now_by,
                Ok(command::Status::Unclaimed | command::Status::Released) => return None,
                Ok(command::Status::Unknown) => {
                    return Some(self.not_granted(command::ClaimReply::Unknown));
                }
                Ok(command::Status::Answered(answer)) => {
                    return Some(answer::replay(&answer, self.snapshot.view.version));
                }
                // The next round ends the wait if the time is over.
                Err(_) => {}
            }
        }
    }

    /// Returns whether the entry process of a claimant has long been missing from the live ones.
    fn is_gone(&self, by: &command::Claimant, missing_since: &mut Option<clock::Millis>) -> bool {
        let now = self.shared.clock.now();
        let snapshot = self.shared.published.load();
        let mut entries = snapshot.view.entries.values();
        let is_own = by.boot == self.claimant.boot;
        let is_list_stale = !self.shared.published.has_lease(now);
        if is_own || is_list_stale || entries.any(|e| e.name == by.entry && e.boot == by.boot) {
            *missing_since = None;
            return false;
        }
        let since = *missing_since.get_or_insert(now);
        now.since(since) >= GONE_MS
    }

    async fn send(&self, kept: Option<&Kept>, caller: &mut Caller) {
        let sent = self.send_in_time(caller).await;
        match sent {
            Sent::Answered(answered) => self.answered(kept, answered, caller).await,
            Sent::NotRun(reason) => self.not_run(kept, reason, caller).await,
            Sent::Unknown(reason) => {
                caller.tell(self.refusal(Outcome::Unknown(reason), ""));
                self.mark_unknown(kept).await;
            }
        }
    }

    /// Sends and reads the start of the answer; tells the caller if its deadline passes first.
    async fn send_in_time(&self, caller: &mut Caller) -> Sent {
        let work = self.forward();
        tokio::pin!(work);
        let left = time::Duration::from_millis(self.left().0);
        if let Ok(sent) = tokio::time::timeout(left, &mut work).await {
            return sent;
        }
        if self.gate.close() {
            return Sent::NotRun(Reason::Deadline);
        }
        let detail = "ask again under the same key";
        caller.tell(self.refusal(Outcome::Unknown(Reason::Deadline), detail));
        let late = time::Duration::from_millis(LATE_MS.0);
        let sent = tokio::time::timeout(late, work).await;
        sent.unwrap_or(Sent::Unknown(Reason::Deadline))
    }

    async fn forward(&self) -> Sent {
        let may_send = || self.left() > clock::Millis::ZERO && self.gate.pass();
        let rules = retry::SendOptions {
            late_ms: LATE_MS,
            may_send: &may_send,
        };
        let (shared, snapshot, checked) = (&self.shared, &self.snapshot, &self.checked);
        let mut tried = Vec::new();
        let mut reason = Reason::NoServer;
        while tried.len() < TRIES_MAX_COUNT {
            let Some(chosen) = shared.select_server(snapshot, checked, &tried) else {
                break;
            };
            tried.push(chosen.server);
            let req = self.whole.to_request();
            match shared
                .send_with(snapshot, checked, chosen, req, rules)
                .await
            {
                forward::AttemptResult::Answered(response) => return answer::read(response).await,
                forward::AttemptResult::Unknown(reason) => return Sent::Unknown(reason),
                forward::AttemptResult::NotRun(why, Some(_)) => {
                    self.gate.take_back();
                    reason = why;
                }
                // The server refused: it did not run the request, but bytes of it were sent.
                forward::AttemptResult::NotRun(why, None) => return Sent::NotRun(why),
            }
        }
        Sent::NotRun(reason)
    }

    async fn not_run(&self, kept: Option<&Kept>, reason: Reason, caller: &mut Caller) {
        let response = self.refusal(Outcome::NotRun(reason), "");
        let Some(kept) = kept else {
            return caller.tell(response);
        };
        let wait = RELEASE_WAIT_MS.min(self.left());
        tell_after(caller, response, wait, self.give_up(kept)).await;
    }

    async fn mark_unknown(&self, kept: Option<&Kept>) {
        let Some(kept) = kept else {
            return;
        };
        let mark = command::MarkUnknown {
            key: kept.key,
            claimant: self.claimant.clone(),
        };
        // If it fails, the claim becomes unknown at its end.
        drop(
            self.store()
                .mark_unknown(&kept.home, &mark, SETTLE_MS)
                .await,
        );
    }

    async fn answered(&self, kept: Option<&Kept>, answered: answer::Answered, caller: &mut Caller) {
        let version = self.snapshot.view.version;
        match answered {
            answer::Answered::Small(small) => {
                let response = small.to_response(version);
                match kept {
                    Some(kept) => {
                        let recorded = self.record(kept, small.to_record());
                        tell_after(caller, response, self.left(), recorded).await;
                    }
                    None => caller.tell(response),
                }
            }
            answer::Answered::Large(large) => {
                let (response, relay) = large.split(version);
                caller.tell(response);
                let late = time::Duration::from_millis((self.left() + LATE_MS).0);
                match (tokio::time::timeout(late, relay.run()).await, kept) {
                    (Ok(Some(answer)), Some(kept)) => self.record(kept, answer).await,
                    (Ok(Some(_)), None) => {}
                    (Ok(None) | Err(_), _) => self.mark_unknown(kept).await,
                }
            }
        }
    }

    async fn record(&self, kept: &Kept, answer: command::Answer) {
        let record = command::Record {
            key: kept.key,
            claimant: self.claimant.clone(),
            answer,
        };
        // If it fails, resends are told `unknown`, while this caller has the answer.
        drop(self.store().record(&kept.home, &record, SETTLE_MS).await);
    }
}

/// Tells the caller once `work` is done, at the latest after `wait`; `work` goes on to its end.
async fn tell_after(
    caller: &mut Caller,
    response: hyper::Response<listen::Body>,
    wait: clock::Millis,
    work: impl Future<Output = ()>,
) {
    tokio::pin!(work);
    let wait = time::Duration::from_millis(wait.0);
    let is_done = tokio::time::timeout(wait, &mut work).await.is_ok();
    caller.tell(response);
    if !is_done {
        work.await;
    }
}
