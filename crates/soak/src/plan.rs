//! Schedule of faults and operator actions, drawn from a seed.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{digest, rng};

/// Fault of a backend server or of its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// Delays both directions of the link by the given milliseconds for two seconds.
    Delay(u64),
    /// Cuts the direction of the link to the server for two seconds.
    CutTo,
    /// Cuts the direction of the link from the server for two seconds.
    CutFrom,
    /// Resets all connections of the link.
    Reset,
    /// Ends the server without deregistration; a new server replaces it.
    Crash,
    /// Drains and deregisters the server; a new server replaces it.
    Drain,
    /// Truncates a share of the server's responses for two seconds.
    Break,
}

/// Fault or operator action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Kills an entry process and starts it again after a delay.
    KillEntry(usize),
    /// Stops an entry process gracefully and starts it again once it has ended.
    StopEntry(usize),
    /// Pauses an entry process for the given milliseconds.
    PauseEntry(usize, u64),
    /// Kills a control process, which keeps its durable state.
    KillControl(usize),
    /// Kills a control process in the middle of a write: its newest log file ends in garbage.
    TearControl(usize),
    /// Kills a control process and removes its durable state.
    WipeControl(usize),
    /// Pauses a control process for the given milliseconds.
    PauseControl(usize, u64),
    /// Kills all control processes at once.
    KillAllControl,
    /// Injects a fault at a backend server.
    Server(usize, ServerFault),
    /// Changes the configuration.
    Configure,
    /// Takes a zone out of service for a while and back in.
    EmptyZone(usize),
    /// Makes a backend server name a rate limit, in thousandths of a request per second.
    LimitServer(usize, u32),
    /// Sends a request that crashes the servers that run it, again and again until the load ends.
    SendCrashing,
}

/// Action at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Action to perform.
    pub action: Action,
}

/// Size of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of control processes.
    pub control: usize,
    /// Number of entry processes.
    pub entry: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Time during which faults are injected, in milliseconds.
    pub faults_ms: u64,
    /// Whether the protection of servers is played, too: some name limits, and a request crashes those
    /// that run it.
    pub has_protection: bool,
}

impl Size {
    /// Size for short runs: a few processes of each kind.
    pub const SMALL: Size = Size {
        control: 3,
        entry: 4,
        servers: 6,
        zones: 3,
        faults_ms: 9_000,
        has_protection: false,
    };
    /// Like [`Size::SMALL`], with the protection of servers.
    pub const SMALL_WITH_PROTECTION: Size = Size {
        has_protection: true,
        ..Size::SMALL
    };
}

/// Range of the interval between actions that may overlap, in milliseconds.
const DENSE_GAP_MS: (u64, u64) = (150, 1_300);
/// Range of the interval between actions, in milliseconds, that leaves time to check the guarantees
/// with a time bound.
const SPARSE_GAP_MS: (u64, u64) = (3_500, 5_500);
/// Shortest time between two losses of durable state, in milliseconds: the first replica has caught
/// up by then.
const WIPE_GAP_MIN_MS: u64 = 60_000;

/// Latest time at which a server begins to name a limit or the request that crashes servers comes, in
/// milliseconds, so that faults follow.
const PROTECTION_START_MAX_MS: u64 = 4_000;
/// Range of the limits that servers name, in thousandths of a request per second.
const LIMIT_MILLI_PER_S: (u64, u64) = (500, 5_000);

/// Draws the plan of a seed.
pub fn draw(seed: u64, size: Size) -> Vec<Step> {
    let mut steps = draw_faults(seed, size);
    if size.has_protection {
        steps.extend(draw_protection(seed, size));
        steps.sort_by_key(|step| step.at_ms);
    }
    steps
}

/// Draws the limits that servers name and the start of a request that crashes servers. They have random
/// numbers of their own, so that the faults of a seed stay as they are.
fn draw_protection(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = rng::SplitMix64::new(digest::of(&(seed, "protection")));
    let limits_count = rng.below(3);
    let first_server = rng.below(size.servers as u64) as usize;
    let mut steps = Vec::new();
    for n in 0..limits_count as usize {
        // Two limits are at different servers, so that the first one holds until it ends.
        let server = (first_server + n) % size.servers;
        let range = LIMIT_MILLI_PER_S.1 - LIMIT_MILLI_PER_S.0;
        let milli_per_s = (LIMIT_MILLI_PER_S.0 + rng.below(range)) as u32;
        steps.push(Step {
            at_ms: rng.below(PROTECTION_START_MAX_MS),
            action: Action::LimitServer(server, milli_per_s),
        });
    }
    if limits_count == 0 || rng.below(2) == 0 {
        steps.push(Step {
            at_ms: rng.below(PROTECTION_START_MAX_MS),
            action: Action::SendCrashing,
        });
    }
    steps
}

fn draw_faults(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = rng::SplitMix64::new(seed);
    let mut steps = Vec::new();
    let mut at_ms = 500;
    let mut wiped_at = None;
    let gap_ms = match rng.below(3) {
        0 => SPARSE_GAP_MS,
        _ => DENSE_GAP_MS,
    };
    while at_ms < size.faults_ms {
        let action = draw_action(&mut rng, size);
        let is_wipe = matches!(action, Action::WipeControl(_));
        let is_allowed = wiped_at.is_none_or(|at: u64| at_ms > at + WIPE_GAP_MIN_MS);
        if !is_wipe || is_allowed {
            steps.push(Step { at_ms, action });
        }
        if is_wipe {
            wiped_at = Some(at_ms);
        }
        at_ms += gap_ms.0 + rng.below(gap_ms.1 - gap_ms.0);
    }
    steps
}

fn draw_action(rng: &mut rng::SplitMix64, size: Size) -> Action {
    let entry = rng.below(size.entry as u64) as usize;
    let control = rng.below(size.control as u64) as usize;
    let server = rng.below(size.servers as u64) as usize;
    let zone = rng.below(size.zones as u64) as usize;
    let ms = 300 + rng.below(2_500);
    match rng.below(16) {
        0 => Action::KillEntry(entry),
        1 => Action::StopEntry(entry),
        2 => Action::PauseEntry(entry, ms),
        3 => Action::KillControl(control),
        4 => Action::TearControl(control),
        5 => Action::WipeControl(control),
        6 => Action::PauseControl(control, ms),
        7 => Action::KillAllControl,
        8 => Action::Server(server, ServerFault::Delay(ms / 8)),
        9 if ms.is_multiple_of(2) => Action::Server(server, ServerFault::CutTo),
        9 => Action::Server(server, ServerFault::CutFrom),
        10 => Action::Server(server, ServerFault::Reset),
        11 => Action::Server(server, ServerFault::Crash),
        12 => Action::Server(server, ServerFault::Drain),
        13 => Action::Server(server, ServerFault::Break),
        14 => Action::EmptyZone(zone),
        _ => Action::Configure,
    }
}
