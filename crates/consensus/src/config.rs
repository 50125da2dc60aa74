//! Timeouts and limits of a replica.

use nutmegdale_base::clock;

/// Timeouts and limits of a replica; all replicas of a group use the same timeouts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Minimum election timeout; the maximum is twice as long. A leader that reaches no quorum for
    /// this time steps down.
    pub election_ms: clock::Millis,
    /// Minimum election timeout while no leader is known, as after a start or an election without a
    /// winner; the maximum is twice as long. It may be shorter than `election_ms`, since a pre-vote
    /// does not disturb a leader and a group whose members start together has none.
    pub leaderless_election_ms: clock::Millis,
    /// Heartbeat interval of a leader.
    pub heartbeat_ms: clock::Millis,
    /// Interval at which pending reads may start another quorum round between heartbeats. Rounds
    /// cost cross-region traffic, and many reads share one.
    pub read_round_ms: clock::Millis,
    /// Number of rounds that reads may start in a burst after an idle period.
    pub read_rounds_burst_count: u64,
    /// Maximum size of the entries in one message, in bytes.
    pub append_max_bytes: usize,
    /// Maximum number of entries in one message.
    pub append_max_count: usize,
    /// Maximum number of messages with entries in flight to one follower.
    pub inflight_max_count: usize,
    /// Maximum size of the state in one snapshot message, in bytes.
    pub snapshot_part_max_bytes: usize,
    /// Maximum number of uncommitted entries in a leader's log; further proposals are refused.
    pub uncommitted_max_count: u64,
    /// Maximum number of reads that wait for their quorum round.
    pub reads_max_count: usize,
    /// Number of entries covered by a snapshot that stay in memory, so that followers that lag only
    /// slightly need no snapshot.
    pub tail_max_count: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            election_ms: clock::Millis(1_000),
            leaderless_election_ms: clock::Millis(1_000),
            heartbeat_ms: clock::Millis(250),
            read_round_ms: clock::Millis(100),
            read_rounds_burst_count: 10,
            append_max_bytes: 1024 * 1024,
            append_max_count: 1_024,
            inflight_max_count: 8,
            snapshot_part_max_bytes: 1024 * 1024,
            uncommitted_max_count: 8_192,
            reads_max_count: 8_192,
            tail_max_count: 256,
        }
    }
}
