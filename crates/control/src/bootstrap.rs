//! The first bootstrap of a group.
//!
//! The first process that the settings list asks all listed ones who they are. Only if all of them
//! answer, were prepared by an operator, list the same processes and belong to no group (or to
//! exactly the group to be bootstrapped), it tells all of them the members. A process that lost its
//! disk has a new identity and was not prepared, so it neither bootstraps a group nor lets one be
//! bootstrapped.

use crate::groups;
use nutmegdale_consensus::{input, status, types};
use nutmegdale_replica::{driver, handle};
use nutmegdale_rpc::message;
use nutmegdale_settings::model;
use std::net;
use std::sync;
use std::time;

/// Time between two attempts.
const RETRY: time::Duration = time::Duration::from_millis(100);
/// Attempts between two log lines while the others are waited for.
const ATTEMPTS_PER_LINE: u32 = 50;

/// Returns a listed process in the form in which processes compare their settings.
pub(crate) fn listed(member: &model::Member) -> String {
    listed_form(&member.name, &member.region, member.address)
}

fn listed_form(name: &str, region: &str, address: net::SocketAddr) -> String {
    format!("{name}@{region}={address}")
}

/// Why an attempt did not bootstrap the group.
enum Fault {
    /// Others are not ready yet.
    Wait(String),
    /// The group exists already, or can never be bootstrapped like this.
    Final(String),
}

/// Bootstraps the group in the background, if that falls to this process.
pub(crate) fn begin(
    host: &sync::Arc<groups::Host>,
    name: &str,
    members: &[model::Member],
    started: &driver::Started,
) {
    if started.handle.status().role != status::Role::Blank {
        return;
    }
    if !started.identity.is_prepared {
        slog::warn!(host.log(), "replica is new and waits to be admitted by an operator";
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
        listed: members.iter().map(listed).collect(),
        handle: started.handle.clone(),
    };
    tokio::spawn(bootstrap.run());
}

struct Bootstrap {
    host: sync::Arc<groups::Host>,
    name: String,
    others: Vec<net::SocketAddr>,
    listed: Vec<String>,
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
                Err(Fault::Final(text)) => {
                    slog::error!(self.host.log(), "group is not bootstrapped"; "group" => &self.name,
                        "error" => text);
                    return;
                }
                Err(Fault::Wait(text)) if attempts % ATTEMPTS_PER_LINE == 0 => {
                    slog::info!(self.host.log(), "group waits to be bootstrapped";
                        "group" => &self.name, "for" => text);
                }
                Err(Fault::Wait(_)) => {}
            }
            attempts += 1;
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn attempt(&self) -> Result<(), Fault> {
        let mut set = types::MemberSet::default();
        set.put(self.host.own_member(&self.name).ok_or_else(stopped)?);
        let mut answers = Vec::new();
        for address in &self.others {
            let answer = self.host.query(&self.name, *address).await;
            let answer = answer.map_err(|err| Fault::Wait(format!("{address}: {err}")))?;
            self.check(*address, &answer)?;
            set.put(answer.member.clone());
            answers.push(answer);
        }
        for answer in &answers {
            if !answer.members.members.is_empty() && answer.members != set {
                let name = &answer.member.name;
                return Err(Fault::Final(format!("{name} belongs to a group already")));
            }
        }
        let req = message::BootstrapRequest {
            group: self.name.clone(),
            members: set.clone(),
        };
        for address in &self.others {
            let timeout = groups::QUERY_MS;
            let told = self
                .host
                .client
                .call(*address, "group-bootstrap", &req, timeout);
            let told: nutmegdale_rpc::error::Result<()> = told.await;
            told.map_err(|err| Fault::Wait(format!("{address}: {err}")))?;
        }
        let bootstrapped = self.handle.bootstrap(set, true).await;
        bootstrapped.map_err(|err| Fault::Wait(err.to_string()))
    }

    fn check(&self, address: net::SocketAddr, answer: &message::GroupAnswer) -> Result<(), Fault> {
        if answer.listed != self.listed {
            let text = format!(
                "{address} lists other members: {}",
                answer.listed.join(", ")
            );
            return Err(Fault::Wait(text));
        }
        if !answer.is_prepared {
            let text = format!("{address} was not prepared for the first start");
            return Err(Fault::Wait(text));
        }
        Ok(())
    }
}

fn stopped() -> Fault {
    Fault::Final("the group has stopped".to_owned())
}

/// Takes up the first members that another process tells, if they are the listed ones.
pub(crate) async fn accept(
    handle: &handle::Handle,
    listed: &[String],
    set: types::MemberSet,
) -> Result<(), String> {
    let members = set.members.iter();
    let mut told: Vec<_> = members
        .map(|m| listed_form(&m.name, &m.region, m.address))
        .collect();
    let mut own = listed.to_vec();
    told.sort();
    own.sort();
    if told != own {
        return Err(format!("settings list other members: {}", own.join(", ")));
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
