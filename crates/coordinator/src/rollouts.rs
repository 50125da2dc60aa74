//! Rollouts at a coordinator: orders of operators, reports of entry processes, and the decisions of
//! the leader.
//!
//! Only the stage is replicated. Reports, the scores of the test and the times at which this replica
//! applied orders are soft state; a new leader builds it from the reports of the others.

use crate::{calls, confirmation, operations};
use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_registry::{rollout, state};
use nutmegdale_replica::handle;
use nutmegdale_rollout::{bound, evidence, plan, reports, test};
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;
use std::sync;
use std::time;

/// Name of the call that forwards an order to the leader.
pub(crate) const START: &str = "rollout-start";
/// Name of the call that reads the newest rollout of a service from the leader.
pub(crate) const READ: &str = "rollout-read";

/// Timeout of an order or a read over all its steps, below one second, after which operators try
/// another coordinator.
const CALL_TIMEOUT_MS: u64 = 900;
/// Time for which an equal order is a resend. Operators resend a command for at most 4 s, each try
/// takes up to a second.
const RESEND_MS: clock::Millis = clock::Millis(5_500);
/// Interval at which the leader decides and others pass reports on, while a rollout runs.
const STEP_MS: u64 = 250;
/// Timeout of a batch of reports, after which the next one is due.
const BATCH_TIMEOUT_MS: clock::Millis = clock::Millis(500);
/// Interval at which the elapsed time is committed.
const MARK_MS: clock::Millis = clock::Millis(2_000);

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// The order is committed, now or before.
    Accepted,
    /// Another rollout of the service is running.
    Conflict,
    /// The configuration has no such service.
    UnknownService,
}

/// What the leader knows of a running rollout beside its stage.
#[derive(Debug, Default)]
struct Progress {
    order: u64,
    test: test::Test,
    /// Elapsed time at the last mark.
    marked: clock::Millis,
}

#[derive(Debug, Default)]
struct Soft {
    reports: reports::Reports,
    /// Reports that the current leader holds, by process and start.
    sent: collections::BTreeMap<(String, u64), u64>,
    sent_to: Option<net::SocketAddr>,
    progress: collections::BTreeMap<String, Progress>,
}

/// Soft state of the rollouts of a coordinator.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Bounds of the deployment; `None` if it has no rollouts.
    pub(crate) bound: Option<bound::Bound>,
    soft: sync::Mutex<Soft>,
}

impl Rollouts {
    pub(crate) fn new(bound: Option<bound::Bound>) -> Rollouts {
        Rollouts {
            bound,
            soft: sync::Mutex::default(),
        }
    }

    fn soft(&self) -> sync::MutexGuard<'_, Soft> {
        self.soft
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes in the report of an entry process.
    pub(crate) fn record(&self, now: clock::Millis, report: evidence::Report) {
        self.soft().reports.record(now, report);
    }

    /// Takes in the reports that another coordinator passes on.
    pub(crate) fn record_batch(&self, now: clock::Millis, batch: reports::Batch) {
        let mut soft = self.soft();
        for (age, report) in batch.reports {
            soft.reports.record(clock::Millis(now.since(age).0), report);
        }
    }
}

/// Decision on a running rollout, with what it is based on.
struct Decision {
    service: String,
    rollout: rollout::Rollout,
    view: plan::View,
    step: plan::Step,
    finding: Option<test::Finding>,
    unreleased: Vec<String>,
    is_mark_due: bool,
}

impl operations::Operations {
    /// Returns whether the deployment has rollouts.
    pub fn has_rollouts(&self) -> bool {
        self.rollouts.bound.is_some()
    }

    /// Starts a rollout, or recognises the resend of an order. It is accepted only once the order
    /// is committed.
    ///
    /// # Errors
    ///
    /// `Unknown` if the order may still be committed, `Unavailable` if there is no leader or no
    /// configuration.
    pub async fn start_rollout(&self, order: rollout::Order) -> operations::Result<Started> {
        let limit = time::Duration::from_millis(CALL_TIMEOUT_MS);
        let started = tokio::time::timeout(limit, self.start_rollout_untimed(&order)).await;
        let started = started.unwrap_or(Err(operations::Error::Unknown));
        slog::info!(self.log, "rollout ordered"; "service" => &order.service,
            "target" => &order.target, "duration_ms" => order.duration.0,
            "outcome" => ?started);
        started
    }

    async fn start_rollout_untimed(&self, order: &rollout::Order) -> operations::Result<Started> {
        let timeout = clock::Millis(CALL_TIMEOUT_MS);
        match self.confirm_leadership().await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = self.client.call_compact(leader, START, order, timeout);
                let reply: calls::StartAnswer = reply
                    .await
                    .map_err(|err| operations::Error::Unavailable(err.to_string()))?;
                reply.into_result()
            }
            confirmed => {
                confirmed.map_err(|err| operations::Error::Unavailable(err.to_string()))?;
                self.start_rollout_as_leader(order).await
            }
        }
    }

    /// Starts a rollout on the leader, whose leadership a quorum has just confirmed.
    pub(crate) async fn start_rollout_as_leader(
        &self,
        order: &rollout::Order,
    ) -> operations::Result<Started> {
        if self.shared.was_ordered(order, RESEND_MS) {
            return Ok(Started::Accepted);
        }
        if !self.has_service(&order.service)? {
            return Ok(Started::UnknownService);
        }
        let previous = self.shared.read(|state| {
            let newest = state.rollouts.get(&order.service);
            newest.map_or(0, |rollout| rollout.order)
        });
        let start = rollout::Start {
            order: order.clone(),
            previous,
        };
        match self.propose(&state::Command::StartRollout(start)).await? {
            state::Reply::Done => Ok(Started::Accepted),
            state::Reply::Conflict { .. } => Ok(Started::Conflict),
        }
    }

    fn has_service(&self, service: &str) -> operations::Result<bool> {
        let current = self.local_config();
        if current.version == 0 {
            let text = "there is no configuration yet".to_owned();
            return Err(operations::Error::Unavailable(text));
        }
        let unavailable =
            |err: &dyn std::fmt::Display| operations::Error::Unavailable(err.to_string());
        let document = current.document.unpack().map_err(|err| unavailable(&err))?;
        let config = self
            .codec
            .decode(&document)
            .map_err(|err| unavailable(&err))?;
        Ok(config.services.iter().any(|known| known.name == service))
    }

    /// Returns the newest rollout of a service by a linearizable read.
    ///
    /// # Errors
    ///
    /// `Unavailable` if no quorum confirms the leader.
    pub async fn rollout(&self, service: &str) -> operations::Result<Option<rollout::Rollout>> {
        let limit = time::Duration::from_millis(CALL_TIMEOUT_MS);
        let read = tokio::time::timeout(limit, self.rollout_untimed(service)).await;
        read.unwrap_or_else(|_| {
            let text = "no quorum has confirmed the state in time".to_owned();
            Err(operations::Error::Unavailable(text))
        })
    }

    async fn rollout_untimed(&self, service: &str) -> operations::Result<Option<rollout::Rollout>> {
        let timeout = clock::Millis(CALL_TIMEOUT_MS);
        let unavailable =
            |err: &dyn std::fmt::Display| operations::Error::Unavailable(err.to_string());
        match self.confirm_leadership().await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = self.client.call_compact(leader, READ, &service, timeout);
                reply.await.map_err(|err| unavailable(&err))
            }
            confirmed => {
                confirmed.map_err(|err| unavailable(&err))?;
                Ok(self.local_rollout(service))
            }
        }
    }

    pub(crate) fn local_rollout(&self, service: &str) -> Option<rollout::Rollout> {
        self.shared
            .read(|state| state.rollouts.get(service).cloned())
    }

    /// Passes reports on and decides, while rollouts run.
    pub(crate) async fn run_rollouts(&self) {
        let mut index = self.shared.subscribe();
        loop {
            index.mark_unchanged();
            let is_running = self.shared.read(|state| {
                let mut rollouts = state.rollouts.values();
                rollouts.any(|rollout| rollout.stage.is_running())
            });
            if !is_running {
                self.rollouts.soft().progress.clear();
                // The sender lives as long as the registry.
                drop(index.changed().await);
                continue;
            }
            let status = self.handle.status();
            let is_confirmed = confirmation::is_recent(self.confirmation_age());
            match status.role {
                status::Role::Leader if is_confirmed => self.step_rollouts().await,
                _ => {
                    self.rollouts.soft().progress.clear();
                    if let Some(leader) = status.leader_member().map(|leader| leader.address) {
                        self.send_reports(leader).await;
                    }
                }
            }
            tokio::time::sleep(time::Duration::from_millis(STEP_MS)).await;
        }
    }

    /// Sends the leader the reports that it lacks.
    async fn send_reports(&self, leader: net::SocketAddr) {
        let batch = {
            let mut soft = self.rollouts.soft();
            if soft.sent_to != Some(leader) {
                soft.sent_to = Some(leader);
                soft.sent.clear();
            }
            let now = self.clock.now();
            soft.reports.expire(now);
            soft.reports.batch(now, &soft.sent)
        };
        if batch.reports.is_empty() {
            return;
        }
        let reply = self
            .client
            .call_compact::<_, ()>(leader, reports::BATCH, &batch, BATCH_TIMEOUT_MS)
            .await;
        if reply.is_err() {
            // The next batch repeats these reports.
            return;
        }
        let mut soft = self.rollouts.soft();
        if soft.sent_to == Some(leader) {
            for (_, report) in batch.reports {
                soft.sent
                    .insert((report.process, report.boot), report.sequence);
            }
        }
    }

    /// Decides on each running rollout and commits the steps.
    async fn step_rollouts(&self) {
        for decision in self.decide_rollouts() {
            let Decision {
                service,
                rollout,
                view,
                step,
                finding,
                unreleased,
                is_mark_due,
            } = decision;
            let stage = step.stage();
            if stage.is_none() && !is_mark_due {
                continue;
            }
            let advance = rollout::Advance {
                service: service.clone(),
                order: rollout.order,
                stage: stage.unwrap_or(rollout.stage),
                elapsed: view.elapsed,
            };
            let reply = self.propose(&state::Command::AdvanceRollout(advance)).await;
            let finding = finding.unwrap_or(test::Finding {
                symptom: test::Symptom::Failures,
                route: String::new(),
                score: 0.0,
            });
            if let Some(stage) = stage {
                self.metrics.rollout_steps.inc();
                slog::info!(self.log, "rollout stage changed"; "service" => service,
                    "target" => rollout.target, "order" => rollout.order,
                    "from" => ?rollout.stage, "to" => ?stage, "step" => ?step,
                    "elapsed_ms" => view.elapsed.0, "duration_ms" => view.duration.0,
                    "old_attempts" => view.attempts.0, "new_attempts" => view.attempts.1,
                    "old_servers" => view.servers.0, "new_servers" => view.servers.1,
                    "symptom" => ?finding.symptom, "route" => finding.route,
                    "score" => finding.score, "unreleased" => unreleased.join(","),
                    "outcome" => ?reply);
            }
        }
    }

    fn decide_rollouts(&self) -> Vec<Decision> {
        let now = self.clock.now();
        let running = self.shared.running_rollouts();
        let entries = self.soft_state().entries.ready(now);
        let mut guard = self.rollouts.soft();
        let soft = &mut *guard;
        soft.reports.expire(now);
        soft.progress
            .retain(|service, _| running.iter().any(|running| running.service == *service));
        let decide = |running: crate::machine::RunningRollout| {
            let crate::machine::RunningRollout {
                service,
                rollout,
                elapsed,
                servers,
            } = running;
            if !soft.progress.contains_key(&service) {
                soft.progress.insert(service.clone(), Progress::default());
            }
            let progress = soft.progress.entry(service.clone()).or_default();
            if progress.order != rollout.order {
                *progress = Progress {
                    order: rollout.order,
                    ..Progress::default()
                };
            }
            let evidence = soft.reports.evidence(&service, rollout.order);
            progress.test.step(&evidence);
            let live = entries.iter().map(|entry| entry.name.as_str());
            let unreleased = soft.reports.unreleased(now, &service, rollout.order, live);
            let view = plan::View {
                stage: rollout.stage,
                elapsed,
                duration: rollout.duration,
                verdict: progress.test.verdict(),
                uncompared_verdict: progress.test.uncompared_verdict(),
                attempts: evidence.totals(),
                servers,
                is_released: unreleased.is_empty(),
            };
            let is_mark_due = elapsed.since(progress.marked) >= MARK_MS;
            if is_mark_due {
                progress.marked = elapsed;
            }
            let unreleased = match rollout.stage {
                plan::Stage::Promoting => unreleased.into_iter().map(str::to_owned).collect(),
                _ => Vec::new(),
            };
            Decision {
                step: plan::next(&view),
                finding: progress.test.finding(),
                service,
                rollout,
                view,
                unreleased,
                is_mark_due,
            }
        };
        running.into_iter().map(decide).collect()
    }
}
