//! Faults and planned work of one seed, with their times.

use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;

/// Something that is done to a backend server or its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// Delays both directions of its link by the given milliseconds for two seconds.
    Delay(u64),
    /// Cuts its link for two seconds, for bytes that go to it.
    CutTo,
    /// Cuts its link for two seconds, for bytes that come from it.
    CutFrom,
    /// Resets all its connections.
    Reset,
    /// It ends without a word; another one starts in its place.
    Crash,
    /// It says that it leaves, leaves, and another one starts in its place.
    Drain,
    /// It breaks off a part of its answers for two seconds.
    Break,
}

/// Something that is done to the system from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Kills an entry process; it is started again after a moment.
    KillEntry(usize),
    /// Stops an entry process gracefully; it is started again once it has ended.
    StopEntry(usize),
    /// Pauses an entry process for the given milliseconds.
    PauseEntry(usize, u64),
    /// Kills a control process, which keeps its folder.
    KillControl(usize),
    /// Kills a control process in the middle of a write: its newest file ends in other bytes.
    TearControl(usize),
    /// Kills a control process, whose folder is lost.
    WipeControl(usize),
    /// Pauses a control process for the given milliseconds.
    PauseControl(usize, u64),
    /// Kills all control processes at once.
    KillAllControl,
    /// Disturbs a backend server.
    Server(usize, ServerFault),
    /// An operator changes the configuration.
    Configure,
    /// An operator takes a zone out for four seconds and back in.
    EmptyZone(usize),
}

/// Action with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of traffic, in milliseconds.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
}

/// Size of a scene.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Control processes.
    pub control: usize,
    /// Entry processes.
    pub entry: usize,
    /// Backend servers.
    pub servers: usize,
    /// Zones.
    pub zones: usize,
    /// Time for which faults come, in milliseconds.
    pub faults_ms: u64,
}

impl Size {
    /// Size of a short run: a few processes of each kind.
    pub const SMALL: Size = Size {
        control: 3,
        entry: 4,
        servers: 6,
        zones: 3,
        faults_ms: 9_000,
    };
}

/// Pauses between two actions that overlap, in milliseconds.
const CROWDED_GAP_MS: (u64, u64) = (150, 1_300);
/// Pauses between two actions that leave time for promises with a bound in time.
const SPARSE_GAP_MS: (u64, u64) = (3_500, 5_500);
/// Time in which no second disk is lost, in milliseconds: a replacement has caught up by then.
const WIPE_GAP_MS: u64 = 60_000;

/// Draws the plan of a seed.
pub fn draw(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = rng::SplitMix64::new(seed);
    let mut steps = Vec::new();
    let mut at_ms = 500;
    let mut wiped_at = None;
    let gap_ms = match rng.below(3) {
        0 => SPARSE_GAP_MS,
        _ => CROWDED_GAP_MS,
    };
    while at_ms < size.faults_ms {
        let action = pick(&mut rng, size);
        let is_wipe = matches!(action, Action::WipeControl(_));
        let is_allowed = wiped_at.is_none_or(|at: u64| at_ms > at + WIPE_GAP_MS);
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

fn pick(rng: &mut rng::SplitMix64, size: Size) -> Action {
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
