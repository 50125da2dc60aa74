//! Times and bounds of a replica.

use nutmegdale_base::clock;

/// Times and bounds of a replica; all replicas of a group use the same times.
#[derive(Debug, Clone)]
pub struct Config {
    /// Shortest time without a leader before an election; the longest is twice as long. A leader
    /// without a quorum for this time steps down.
    pub election_ms: clock::Millis,
    /// Shortest time before an election where no leader is known, as after a start or an election
    /// that nobody won; the longest is twice as long. It may be shorter than `election_ms`, since a
    /// pre-vote disturbs no leader, and a group whose members start together has none.
    pub leaderless_election_ms: clock::Millis,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: clock::Millis,
    /// Time after which reads may start one more quorum round of their own. Rounds cost traffic
    /// between regions, and many reads share one.
    pub read_round_ms: clock::Millis,
    /// Rounds that reads may start at once after a quiet time.
    pub read_rounds_burst_count: u64,
    /// Bytes of entries in one message.
    pub append_max_bytes: usize,
    /// Entries in one message.
    pub append_max_count: usize,
    /// Messages with entries on their way to one follower.
    pub inflight_max_count: usize,
    /// Bytes of state in one message of a snapshot.
    pub snapshot_part_max_bytes: usize,
    /// Entries of a leader that are not committed yet.
    pub uncommitted_max_count: u64,
    /// Reads that wait for their quorum round.
    pub reads_max_count: usize,
    /// Entries covered by a snapshot that stay in memory for followers that lag a little.
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
