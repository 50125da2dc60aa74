//! Command-line arguments.

use argh::FromArgs;

/// Operate the catalogue of nutmegdale.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Control processes are tried in turn until one responds. --control and --token-file default to the environment variables NUTMEGCTL_CONTROL (addresses) and NUTMEGCTL_TOKEN (the token itself).",
    error_code(0, "The command was carried out."),
    error_code(
        1,
        "The command line, a file or the environment is invalid; nothing was sent."
    ),
    error_code(2, "The change is invalid; nothing changed."),
    error_code(
        3,
        "Another change was accepted from the same base version; nothing changed."
    ),
    error_code(
        4,
        "No control process answered in time; send the change again with the same id."
    ),
    error_code(
        5,
        "The change was accepted but did not come into force on every entry process in time."
    ),
    error_code(6, "The audit found violations."),
    error_code(7, "The token does not belong to an operator."),
    error_code(8, "A control process refused the request."),
    error_code(9, "No log file contains the request.")
)]
pub(crate) struct Args {
    /// admin addresses of control processes, as IP:PORT,IP:PORT
    #[argh(option)]
    pub(crate) control: Option<String>,

    /// file that holds the operator's token
    #[argh(option)]
    pub(crate) token_file: Option<String>,

    /// seconds to wait for a response of any control process (default 15)
    #[argh(option, default = "15")]
    pub(crate) timeout: u64,

    /// print responses as JSON
    #[argh(switch)]
    pub(crate) json: bool,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Show(Show),
    History(History),
    Diff(Diff),
    Zone(Zone),
    Server(Server),
    Status(Status),
    Replicas(Replicas),
    Dump(Dump),
    Audit(Audit),
    Explain(Explain),
}

/// Explain one request from log files: print its line, earlier state changes of its process, and
/// lines about the servers that it was sent to. No process is contacted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// identifier of the request
    #[argh(positional)]
    pub(crate) id: String,

    /// log files of entry processes, or - for standard input
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Apply a change. The file contains one operation, a list of operations, or an object with "ops" and
/// optionally "id" and "base".
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// JSON file, or - for standard input
    #[argh(positional)]
    pub(crate) file: String,

    /// identifier of the change; a resend with the same one is not applied twice
    #[argh(option)]
    pub(crate) id: Option<String>,

    /// version that the change is based on (default: the newest)
    #[argh(option)]
    pub(crate) base: Option<u64>,

    /// seconds to wait until the change is in force on every entry process
    #[argh(option)]
    pub(crate) wait: Option<u64>,
}

/// Show the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// version to show (default: the newest)
    #[argh(option)]
    pub(crate) version: Option<u64>,
}

/// Show who changed what, when and from which version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// show changes after this version (default: the newest ones)
    #[argh(option)]
    pub(crate) after: Option<u64>,

    /// maximum number of changes to show (default 100)
    #[argh(option)]
    pub(crate) limit: Option<u64>,
}

/// Show the entries that differ between two versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// first version
    #[argh(positional)]
    pub(crate) from: u64,

    /// second version (default: the newest)
    #[argh(positional)]
    pub(crate) to: Option<u64>,
}

/// Take an availability zone out of service or back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub(crate) struct Zone {
    #[argh(subcommand)]
    state: State,
}

/// Take a backend server out of service or back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "server")]
pub(crate) struct Server {
    #[argh(subcommand)]
    state: State,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum State {
    Out(Out),
    In(In),
}

/// Take out of service: no new requests after a few seconds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
struct Out {
    /// name
    #[argh(positional)]
    name: String,

    /// identifier of the change; a resend with the same one is not applied twice
    #[argh(option)]
    id: Option<String>,

    /// seconds to wait until the change is in force on every entry process
    #[argh(option)]
    wait: Option<u64>,
}

/// Take back into service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in")]
struct In {
    /// name
    #[argh(positional)]
    name: String,

    /// identifier of the change; a resend with the same one is not applied twice
    #[argh(option)]
    id: Option<String>,

    /// seconds to wait until the change is in force on every entry process
    #[argh(option)]
    wait: Option<u64>,
}

/// Show the rollout of the newest version, the entry processes and the servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Show or change the replicas of the groups on the control processes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replicas")]
pub(crate) struct Replicas {
    #[argh(subcommand)]
    pub(crate) action: ReplicasAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ReplicasAction {
    Status(ReplicasStatus),
    Admit(Admit),
    Promote(Promote),
    Remove(Remove),
}

/// Show the replicas of every group and the progress of a repair.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct ReplicasStatus {}

/// Admit the new replica of a control process as a learner.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "admit")]
pub(crate) struct Admit {
    /// group: catalogue or ledger-REGION
    #[argh(positional)]
    pub(crate) group: String,

    /// control.listen of the process, as IP:PORT
    #[argh(positional)]
    pub(crate) address: String,
}

/// Make a learner that has caught up a voter.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub(crate) struct Promote {
    /// group: catalogue or ledger-REGION
    #[argh(positional)]
    pub(crate) group: String,

    /// identity of the replica, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) replica: String,
}

/// Remove a replica from its group.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Remove {
    /// group: catalogue or ledger-REGION
    #[argh(positional)]
    pub(crate) group: String,

    /// identity of the replica, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) replica: String,
}

/// Print the state of the leading control process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {}

/// Check the requests that entry processes reported against the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct Audit {}

/// Arguments of `zone` and `server`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceState<'a> {
    /// Name of the zone or server.
    pub(crate) name: &'a str,
    /// New state: `out` or `in`.
    pub(crate) state: &'static str,
    /// Identifier of the change; generated if absent.
    pub(crate) id: Option<&'a str>,
    /// Seconds to wait until the change is in force.
    pub(crate) wait: Option<u64>,
}

impl State {
    fn service_state(&self) -> ServiceState<'_> {
        let (state, name, id, wait) = match self {
            State::Out(args) => ("out", &args.name, &args.id, args.wait),
            State::In(args) => ("in", &args.name, &args.id, args.wait),
        };
        ServiceState {
            name,
            state,
            id: id.as_deref(),
            wait,
        }
    }
}

impl Zone {
    /// Returns the requested state.
    pub(crate) fn service_state(&self) -> ServiceState<'_> {
        self.state.service_state()
    }
}

impl Server {
    /// Returns the requested state.
    pub(crate) fn service_state(&self) -> ServiceState<'_> {
        self.state.service_state()
    }
}
