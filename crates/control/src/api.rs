//! Administration API without its HTTP front end.
//!
//! A quorum confirms the leadership for every answer from the catalogue. A replica that does not
//! lead returns [`NotLeader`], and its front end forwards the request to the leader, so operators
//! may send and resend a request to any control process.

use crate::{catalogue, hub, replicas, status};
use nutmegdale_catalogue::{audit, change, config};
use nutmegdale_consensus::types;
use nutmegdale_replica::handle;
use nutmegdale_rpc::message;
use nutmegdale_telemetry::clock;
use serde::{Deserialize, Serialize};
use std::net;
use std::str;
use std::sync;

/// Path prefix of the API.
const PREFIX: &str = "/admin/v1/";
/// Default limit of records in a response on the history.
const HISTORY_DEFAULT_COUNT: usize = 100;
/// Hint in the error of a request whose outcome is unknown.
pub const RESEND_HINT: &str = "send it again with the same id";

/// Error of a request to a replica that does not lead.
#[derive(Debug, Clone, Copy)]
pub struct NotLeader {
    /// Address of the leader, if known.
    pub leader: Option<net::SocketAddr>,
}

/// Body of a request to change the catalogue. The author is the authenticated operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    id: String,
    #[serde(default)]
    base: Option<config::Version>,
    ops: Vec<change::Op>,
}

/// Body of a request that takes a zone or server out of service or back in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceStateBody {
    id: String,
    #[serde(default)]
    base: Option<config::Version>,
}

/// Body of a request that changes one member of a group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
enum MemberBody {
    Address(net::SocketAddr),
    Replica(String),
}

#[derive(Debug, Serialize)]
struct MemberChanged {
    replica: String,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

#[derive(Debug, Serialize)]
struct HistoryBody<'a> {
    newest: config::Version,
    oldest_base: Option<config::Version>,
    records: Vec<&'a nutmegdale_catalogue::history::Record>,
}

/// Handles the requests of operators.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Api {
    name: String,
    group: handle::Handle,
    published: sync::Arc<catalogue::Published>,
    hub: sync::Arc<hub::Hub>,
    replicas: replicas::Replicas,
    log: slog::Logger,
}

type Result<T> = std::result::Result<T, Refusal>;

enum Refusal {
    Propose(handle::ProposeError),
    Reply(message::AdminReply),
}

impl From<handle::ProposeError> for Refusal {
    fn from(err: handle::ProposeError) -> Refusal {
        Refusal::Propose(err)
    }
}

fn refuse<T>(status: u16, text: &str) -> Result<T> {
    Err(Refusal::Reply(error(status, text)))
}

impl Api {
    /// Creates the API of the control process `name`.
    pub fn new(
        name: &str,
        group: handle::Handle,
        published: sync::Arc<catalogue::Published>,
        hub: sync::Arc<hub::Hub>,
        replicas: replicas::Replicas,
        log: slog::Logger,
    ) -> Api {
        Api {
            name: name.to_owned(),
            group,
            published,
            hub,
            replicas,
            log,
        }
    }

    /// Handles a request.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead; the request then has no effect.
    pub async fn handle(
        &self,
        req: &message::AdminRequest,
    ) -> std::result::Result<message::AdminReply, NotLeader> {
        match self.route(req).await {
            Ok(reply) | Err(Refusal::Reply(reply)) => Ok(reply),
            Err(Refusal::Propose(handle::ProposeError::NotLeader { leader })) => {
                Err(NotLeader { leader })
            }
            Err(Refusal::Propose(err)) => Ok(error(503, &format!("{err}; {RESEND_HINT}"))),
        }
    }

    async fn route(&self, req: &message::AdminRequest) -> Result<message::AdminReply> {
        let path = req.path.strip_prefix(PREFIX).unwrap_or("");
        let segments: Vec<&str> = path.split('/').collect();
        match (req.method.as_str(), segments.as_slice()) {
            ("GET", ["config"]) => self.config(&req.query).await,
            ("GET", ["history"]) => self.history(&req.query).await,
            ("GET", ["diff"]) => self.diff(&req.query).await,
            ("GET", ["status"]) => self.status().await,
            ("GET", ["dump"]) => self.dump().await,
            ("GET", ["audit"]) => self.audit().await,
            ("GET", ["replicas"]) => Ok(json(200, &self.replicas.statuses().await)),
            ("POST", ["replicas", group, action]) => self.change_member(req, group, action).await,
            ("POST", ["changes"]) => {
                let body: ChangeBody = decode(&req.body)?;
                self.change(&req.operator, body).await
            }
            ("POST", [kind, name, state]) => {
                let Some(op) = service_state(kind, name, state) else {
                    return refuse(404, "no such resource");
                };
                let body: ServiceStateBody = decode(&req.body)?;
                let body = ChangeBody {
                    id: body.id,
                    base: body.base,
                    ops: vec![op],
                };
                self.change(&req.operator, body).await
            }
            _ => refuse(404, "no such resource"),
        }
    }

    async fn current(&self) -> Result<sync::Arc<catalogue::Current>> {
        self.group.confirm_leadership().await?;
        Ok(self.published.load())
    }

    async fn config(&self, query: &str) -> Result<message::AdminReply> {
        let accepted = &self.current().await?.accepted;
        let Some(version) = query_parameter(query, "version")? else {
            return Ok(json(200, accepted.config.as_ref()));
        };
        let cfg = accepted
            .history
            .config_at(&accepted.config, config::Version(version));
        match cfg {
            Some(cfg) => Ok(json(200, &cfg)),
            None => refuse(404, "the history does not contain this version"),
        }
    }

    async fn history(&self, query: &str) -> Result<message::AdminReply> {
        let accepted = &self.current().await?.accepted;
        let newest = accepted.config.version;
        let limit = query_parameter(query, "limit")?.unwrap_or(HISTORY_DEFAULT_COUNT);
        let after: Option<u64> = query_parameter(query, "after")?;
        let after = after.unwrap_or(newest.0.saturating_sub(limit as u64));
        let records = accepted.history.after(config::Version(after)).take(limit);
        let body = HistoryBody {
            newest,
            oldest_base: accepted.history.oldest_base(),
            records: records.map(AsRef::as_ref).collect(),
        };
        Ok(json(200, &body))
    }

    async fn diff(&self, query: &str) -> Result<message::AdminReply> {
        let accepted = &self.current().await?.accepted;
        let Some(from) = query_parameter(query, "from")? else {
            return refuse(400, "parameter from is required");
        };
        let to = query_parameter(query, "to")?.unwrap_or(accepted.config.version.0);
        let versions = (config::Version(from), config::Version(to));
        match accepted.history.diff(versions.0, versions.1) {
            Some(effects) => Ok(json(200, &effects)),
            None => refuse(
                404,
                "the history does not contain all versions in the range",
            ),
        }
    }

    async fn status(&self) -> Result<message::AdminReply> {
        let name = self.name.as_str();
        let build = |state: &hub::State, now| {
            let cfg = &self.published.load().accepted.config;
            json(200, &status::Status::build(name, cfg, &state.table, now))
        };
        Ok(self.hub.read(build).await?)
    }

    async fn dump(&self) -> Result<message::AdminReply> {
        let name = self.name.as_str();
        let build = |state: &hub::State, now| {
            let current = self.published.load();
            json(200, &status::Dump::build(name, &current, state, now))
        };
        Ok(self.hub.read(build).await?)
    }

    async fn audit(&self) -> Result<message::AdminReply> {
        let evaluate = |state: &hub::State, _now| {
            json(
                200,
                &audit::evaluate(&state.audit, &self.published.load().accepted),
            )
        };
        Ok(self.hub.read(evaluate).await?)
    }

    async fn change_member(
        &self,
        req: &message::AdminRequest,
        group: &str,
        action: &str,
    ) -> Result<message::AdminReply> {
        let change = match (action, decode(&req.body)?) {
            ("admit", MemberBody::Address(address)) => message::MemberChange::Admit(address),
            ("promote", MemberBody::Replica(id)) => {
                message::MemberChange::Promote(parse_replica_id(&id)?)
            }
            ("remove", MemberBody::Replica(id)) => {
                message::MemberChange::Remove(parse_replica_id(&id)?)
            }
            _ => {
                return refuse(
                    404,
                    "admit requires an address, promote and remove require a replica",
                );
            }
        };
        let reply = self.replicas.change(group, change).await;
        slog::info!(self.log, "membership change answered"; "group" => group,
            "author" => &req.operator, "change" => ?change, "answer" => ?reply);
        match reply {
            message::MemberChangeReply::Done { id } => {
                let replica = id.to_string();
                Ok(json(200, &MemberChanged { replica }))
            }
            message::MemberChangeReply::NotLeader { .. } => {
                refuse(503, "the group has no leader now; try again")
            }
            message::MemberChangeReply::Failed { text } => refuse(409, &text),
        }
    }

    async fn change(&self, author: &str, body: ChangeBody) -> Result<message::AdminReply> {
        let id = body.id.clone();
        let cmd = catalogue::Command {
            change: change::Change {
                id: body.id,
                base: body.base,
                author: author.to_owned(),
                ops: body.ops,
            },
            wall_ms: clock::wall_ms(),
        };
        let cmd = rmp_serde::to_vec_named(&cmd).expect("command can be encoded");
        let reply = self.group.propose(cmd).await?;
        let answer: change::Answer =
            rmp_serde::from_slice(&reply).expect("state machine encodes its answer");
        slog::info!(self.log, "change answered";
            "id" => id, "author" => author, "answer" => answer.to_string());
        Ok(json(http_status(&answer), &answer))
    }
}

fn service_state(kind: &str, name: &str, state: &str) -> Option<change::Op> {
    let name = name.to_owned();
    Some(match (kind, state) {
        ("zones", "out") => change::Op::ZoneOut { name },
        ("zones", "in") => change::Op::ZoneIn { name },
        ("servers", "out") => change::Op::ServerOut { name },
        ("servers", "in") => change::Op::ServerIn { name },
        _ => return None,
    })
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| Refusal::Reply(error(400, &format!("body: {err}"))))
}

fn query_parameter<T: str::FromStr>(query: &str, name: &str) -> Result<Option<T>> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.into_iter().find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => refuse(400, &format!("parameter {name}: {value:?} is not a number")),
    }
}

fn parse_replica_id(id: &str) -> Result<types::ReplicaId> {
    match u64::from_str_radix(id, 16) {
        Ok(id) => Ok(types::ReplicaId(id)),
        Err(_) => refuse(
            400,
            &format!("{id:?} is not a replica identity of 16 hexadecimal digits"),
        ),
    }
}

fn http_status(answer: &change::Answer) -> u16 {
    match answer {
        change::Answer::Accepted { .. } => 200,
        change::Answer::Conflict { .. } => 409,
        change::Answer::Rejected { .. } => 422,
    }
}

/// Returns a reply with an error text.
pub fn error(status: u16, text: &str) -> message::AdminReply {
    json(status, &ErrorBody { error: text })
}

fn json<T: Serialize>(status: u16, value: &T) -> message::AdminReply {
    let body = serde_json::to_vec(value).expect("answer can be encoded");
    message::AdminReply { status, body }
}
