//! The first bootstrap of a group.
//!
//! The first process in the configured member list queries the identity of all others. It sends the
//! member set to them only if all of them answer, were prepared by an operator, have the same member
//! list and belong to no group (or to exactly the group to be bootstrapped). A process that lost its
//! disk has a new identity and was not prepared, so it can neither bootstrap a group nor be part of
//! a bootstrap.

use crate::groups;
use nutmegdale_consensus::{input, status, types};
use nutmegdale_replica::{driver, handle};
use nutmegdale_rpc::message;
use nutmegdale_settings::model;
use std::net;
use std::sync;
use std::time;

/// Delay between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Attempts between two log messages while the other processes are not ready.
const ATTEMPTS_PER_LOG_MESSAGE: u32 = 50;

/// Formats a configured member as processes compare it with each other's settings.
pub(crate) fn format_member(member: &model::Member) -> String {
    format_identity(&member.name, &member.region, member.address)
}

fn format_identity(name: &str, region: &str, address: net::SocketAddr) -> String {
    format!("{name}@{region}={address}")
}

/// Error of an attempt to bootstrap the group.
enum Error {
    /// Other processes are not ready yet; the attempt is repeated.
    Retry(String),
    /// The group already exists or cannot be bootstrapped with these members.
    Permanent(String),
}

/// Bootstraps the group in the background if this process is the first configured member.
pub(crate) fn spawn(
    host: &sync::Arc<groups::Host>,
    name: &str,
    members: &[model::Member],
    started: &driver::Started,
) {
    if started.handle.status().role != status::Role::Blank {
        return;
    }
    if !started.identity.is_prepared {
        slog::warn!(host.log(), "replica is new and must be admitted by an operator";
            "group" => name, "replica" => %types::ReplicaId(started.identity.id));
        return;
    }
    if members
        .first()
        .is_none_or(|first| first.address != host.address())
    {
        return;
    }
    let bootstrap = Bootstrap {
        host: sync::Arc::clone(host),
        name: name.to_owned(),
        others: members[1..].iter().map(|m| m.address).collect(),
        configured: members.iter().map(format_member).collect(),
        handle: started.handle.clone(),
    };
    tokio::spawn(bootstrap.run());
}

struct Bootstrap {
    host: sync::Arc<groups::Host>,
    name: String,
    others: Vec<net::SocketAddr>,
    configured: Vec<String>,
    handle: handle::Handle,
}

impl Bootstrap {
    async fn run(self) {
        let mut attempts = 0;
        while self.handle.status().role == status::Role::Blank {
            match self.attempt().await {
                Ok(()) => {
                    slog::info!(self.host.log(), "group bootstrapped"; "group" => &self.name);
                    return;
                }
                Err(Error::Permanent(text)) => {
                    slog::error!(self.host.log(), "bootstrap of the group failed"; "group" => &self.name,
                        "error" => text);
                    return;
                }
                Err(Error::Retry(text)) if attempts % ATTEMPTS_PER_LOG_MESSAGE == 0 => {
                    slog::info!(self.host.log(), "waiting to bootstrap the group";
                        "group" => &self.name, "for" => text);
                }
                Err(Error::Retry(_)) => {}
            }
            attempts += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self) -> Result<(), Error> {
        let mut set = types::MemberSet::default();
        set.put(self.host.own_member(&self.name).ok_or_else(stopped)?);
        let mut answers = Vec::new();
        for address in &self.others {
            let answer = self.host.query(&self.name, *address).await;
            let answer = answer.map_err(|err| Error::Retry(format!("{address}: {err}")))?;
            self.check_answer(*address, &answer)?;
            set.put(answer.member.clone());
            answers.push(answer);
        }
        for answer in &answers {
            if !answer.members.members.is_empty() && answer.members != set {
                let name = &answer.member.name;
                return Err(Error::Permanent(format!(
                    "{name} already belongs to a group"
                )));
            }
        }
        let req = message::BootstrapRequest {
            group: self.name.clone(),
            members: set.clone(),
        };
        for address in &self.others {
            let timeout = groups::QUERY_TIMEOUT_MS;
            let reply = self
                .host
                .client
                .call(*address, "group-bootstrap", &req, timeout);
            let reply: nutmegdale_rpc::error::Result<()> = reply.await;
            reply.map_err(|err| Error::Retry(format!("{address}: {err}")))?;
        }
        let bootstrapped = self.handle.bootstrap(set, true).await;
        bootstrapped.map_err(|err| Error::Retry(err.to_string()))
    }

    fn check_answer(
        &self,
        address: net::SocketAddr,
        answer: &message::GroupAnswer,
    ) -> Result<(), Error> {
        if answer.listed != self.configured {
            let text = format!(
                "{address} is configured with other members: {}",
                answer.listed.join(", ")
            );
            return Err(Error::Retry(text));
        }
        if !answer.is_prepared {
            let text = format!("{address} was not prepared for the first bootstrap");
            return Err(Error::Retry(text));
        }
        Ok(())
    }
}

fn stopped() -> Error {
    Error::Permanent("the group has stopped".to_owned())
}

/// Bootstraps this replica with the member set that another process sent, if the set matches the
/// configured members. A repeated request with the same set succeeds.
pub(crate) async fn accept(
    handle: &handle::Handle,
    configured: &[String],
    set: types::MemberSet,
) -> Result<(), String> {
    let members = set.members.iter();
    let mut received: Vec<_> = members
        .map(|m| format_identity(&m.name, &m.region, m.address))
        .collect();
    let mut expected = configured.to_vec();
    received.sort();
    expected.sort();
    if received != expected {
        return Err(format!(
            "this process is configured with other members: {}",
            expected.join(", ")
        ));
    }
    match handle.bootstrap(set.clone(), false).await {
        Err(handle::ChangeError::Refused(input::Refusal::NotBlank))
            if handle.status().members == set =>
        {
            Ok(())
        }
        result => result.map_err(|err| err.to_string()),
    }
}
