//! Which peers are told, and how many.

use nutmegdale_base::rng;
use std::net;

/// Peers that one process tells its news in a round.
pub const FANOUT_COUNT: usize = 3;
/// One message in this many goes to another region. Traffic between regions is billed, and a fact
/// needs to cross only a few times.
const FAR_INTERVAL: u64 = 4;
/// Peers that a fact is told to at the least by each process.
const SENDS_MIN_COUNT: u32 = 4;

/// Another entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Address for messages.
    pub address: net::SocketAddr,
    /// Region of the process.
    pub region: &'a str,
}

/// Returns to how many peers a process tells a fact, with `peers_count` other processes.
///
/// With twice the logarithm of their number, practically every process hears of the fact from some
/// peer, also if a few messages are lost; comparisons reach the rest.
pub fn sends_count(peers_count: usize) -> u32 {
    let doubled_log = 2.0 * (peers_count.max(1) as f64).ln();
    SENDS_MIN_COUNT.max(doubled_log.ceil() as u32)
}

/// Chooses the peer of the next message of a process in `own_region`; `None` without any.
pub fn choose(
    peers: &[Peer<'_>],
    own_region: &str,
    rng: &mut dyn rng::Rng,
) -> Option<net::SocketAddr> {
    let wants_far = rng.below(FAR_INTERVAL) == 0;
    let is_wanted = |peer: &&Peer<'_>| (peer.region != own_region) == wants_far;
    let mut wanted: Vec<_> = peers.iter().filter(is_wanted).collect();
    if wanted.is_empty() {
        wanted = peers.iter().collect();
    }
    let index = rng.below(wanted.len().max(1) as u64) as usize;
    wanted.get(index).map(|peer| peer.address)
}
