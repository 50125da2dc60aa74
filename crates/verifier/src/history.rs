//! Checks a recorded history of a replicated log: election safety, log agreement, durability of
//! accepted commands and linearizable reads.

use displaydoc::Display;
use std::collections;

/// Event that a test observed; a history lists them in order of occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A replica became leader.
    Leads {
        /// Term of the leadership.
        term: u64,
        /// Identifier of the leader.
        replica: u64,
    },
    /// A client proposed a command. Commands are unique.
    Proposed {
        /// Proposed command.
        command: u64,
    },
    /// A client received the acknowledgement that its command was accepted.
    Accepted {
        /// Accepted command.
        command: u64,
        /// Log index of the command.
        index: u64,
    },
    /// A client received the answer that its command was not accepted.
    Refused {
        /// Refused command.
        command: u64,
    },
    /// A replica applied a command.
    Applied {
        /// Identifier of the replica.
        replica: u64,
        /// Log index of the entry.
        index: u64,
        /// Command of the entry, or `None` if it has none.
        command: Option<u64>,
    },
    /// A replica installed a snapshot or started from one.
    Restored {
        /// Identifier of the replica.
        replica: u64,
        /// Last log index that the snapshot covers.
        index: u64,
        /// Commands applied in the snapshot, in log order.
        commands: Vec<u64>,
    },
    /// A client started a read.
    ReadStarted {
        /// Identifier of the read.
        read: u64,
    },
    /// A client received the answer to a read.
    ReadDone {
        /// Identifier of the read.
        read: u64,
        /// Last log index that the answer reflects.
        index: u64,
    },
    /// A replica must have applied every accepted command by now; recorded at the end of a test.
    Settled {
        /// Identifier of the replica.
        replica: u64,
    },
}

/// Violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// term {term} has two leaders: {first} and {second}
    TwoLeaders {
        /// Term with two leaders.
        term: u64,
        /// Replica that became leader first.
        first: u64,
        /// Replica that became leader later.
        second: u64,
    },
    /// replica {replica} applied entry {index} after entry {last}
    OutOfOrder {
        /// Identifier of the replica.
        replica: u64,
        /// Log index of the applied entry.
        index: u64,
        /// Log index that the replica applied before it.
        last: u64,
    },
    /// entry {index} is {first:?} on one replica and {second:?} on {replica}
    Differs {
        /// Log index of the entry.
        index: u64,
        /// Command that was applied first.
        first: Option<u64>,
        /// Command that was applied later.
        second: Option<u64>,
        /// Replica that applied the later one.
        replica: u64,
    },
    /// command {command} was applied at {first} and at {second}
    AppliedTwice {
        /// Command applied twice.
        command: u64,
        /// Log index of the first occurrence.
        first: u64,
        /// Log index of the second occurrence.
        second: u64,
    },
    /// command {command} was refused but applied at {index}
    RefusedButApplied {
        /// Refused command.
        command: u64,
        /// Log index at which it was applied.
        index: u64,
    },
    /// command {command} was accepted at {index} but the log holds {found:?}
    Lost {
        /// Accepted command.
        command: u64,
        /// Log index that the client received.
        index: u64,
        /// Command that the log holds at this index.
        found: Option<u64>,
    },
    /// command {command}, proposed after entry {floor} was accepted, is at {index}
    Reordered {
        /// Command that was reordered.
        command: u64,
        /// Highest log index accepted or read before the proposal.
        floor: u64,
        /// Log index of the command.
        index: u64,
    },
    /// read {read} reflects entry {index} although entry {floor} was accepted or read before it started
    StaleRead {
        /// Identifier of the read.
        read: u64,
        /// Last log index that the answer reflects.
        index: u64,
        /// Highest log index accepted or read before.
        floor: u64,
    },
    /// the state of replica {replica} restored at {index} has other commands than the log
    StateDiffers {
        /// Identifier of the replica.
        replica: u64,
        /// Last log index that the snapshot covers.
        index: u64,
    },
    /// replica {replica} has applied up to entry {last} but entry {index} was accepted
    Behind {
        /// Identifier of the replica.
        replica: u64,
        /// Last log index that it applied.
        last: u64,
        /// Highest log index accepted or read.
        index: u64,
    },
}

/// Returns all violations in a history.
pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for event in events {
        checker.record(event);
    }
    checker.finish()
}

#[derive(Debug, Default)]
struct Checker {
    violations: Vec<Violation>,
    /// First leader of each term.
    leaders: collections::BTreeMap<u64, u64>,
    /// First command that a replica applied at each log index.
    log: collections::BTreeMap<u64, Option<u64>>,
    /// Log index of each command.
    indexes: collections::BTreeMap<u64, u64>,
    /// Last log index that each replica applied.
    last_applied: collections::BTreeMap<u64, u64>,
    /// Highest log index that a client knows from an acceptance or a read.
    floor: u64,
    /// `floor` at the proposal of each command.
    proposal_floors: collections::BTreeMap<u64, u64>,
    /// `floor` at the start of each read.
    read_floors: collections::BTreeMap<u64, u64>,
    /// Command and log index.
    accepted: Vec<(u64, u64)>,
    refused: Vec<u64>,
    /// Replica, last log index and commands of each installed snapshot.
    restored: Vec<(u64, u64, Vec<u64>)>,
}

impl Checker {
    fn record(&mut self, event: &Event) {
        match event {
            Event::Leads { term, replica } => self.leads(*term, *replica),
            Event::Proposed { command } => {
                self.proposal_floors.insert(*command, self.floor);
            }
            Event::Accepted { command, index } => {
                self.accepted.push((*command, *index));
                self.floor = self.floor.max(*index);
            }
            Event::Refused { command } => self.refused.push(*command),
            Event::Applied {
                replica,
                index,
                command,
            } => self.applied(*replica, *index, *command),
            Event::Restored {
                replica,
                index,
                commands,
            } => {
                self.last_applied.insert(*replica, *index);
                self.restored.push((*replica, *index, commands.clone()));
            }
            Event::ReadStarted { read } => {
                self.read_floors.insert(*read, self.floor);
            }
            Event::ReadDone { read, index } => self.read_done(*read, *index),
            Event::Settled { replica } => {
                let last = self.last_applied.get(replica).copied().unwrap_or(0);
                if last < self.floor {
                    self.violations.push(Violation::Behind {
                        replica: *replica,
                        last,
                        index: self.floor,
                    });
                }
            }
        }
    }

    fn leads(&mut self, term: u64, replica: u64) {
        let first = *self.leaders.entry(term).or_insert(replica);
        if first != replica {
            self.violations.push(Violation::TwoLeaders {
                term,
                first,
                second: replica,
            });
        }
    }

    fn applied(&mut self, replica: u64, index: u64, command: Option<u64>) {
        let last = self.last_applied.insert(replica, index).unwrap_or(0);
        if index != last + 1 {
            self.violations.push(Violation::OutOfOrder {
                replica,
                index,
                last,
            });
        }
        let first = *self.log.entry(index).or_insert(command);
        if first != command {
            self.violations.push(Violation::Differs {
                index,
                first,
                second: command,
                replica,
            });
        }
        if let Some(command) = command {
            let first = *self.indexes.entry(command).or_insert(index);
            if first != index {
                self.violations.push(Violation::AppliedTwice {
                    command,
                    first,
                    second: index,
                });
            }
        }
    }

    fn read_done(&mut self, read: u64, index: u64) {
        let floor = self.read_floors.get(&read).copied().unwrap_or(0);
        if index < floor {
            self.violations
                .push(Violation::StaleRead { read, index, floor });
        }
        self.floor = self.floor.max(index);
    }

    fn finish(mut self) -> Vec<Violation> {
        for (command, index) in &self.accepted {
            let found = self.log.get(index).copied().flatten();
            if found != Some(*command) {
                self.violations.push(Violation::Lost {
                    command: *command,
                    index: *index,
                    found,
                });
            }
        }
        for command in &self.refused {
            if let Some(index) = self.indexes.get(command) {
                self.violations.push(Violation::RefusedButApplied {
                    command: *command,
                    index: *index,
                });
            }
        }
        for (command, floor) in &self.proposal_floors {
            if let Some(index) = self.indexes.get(command)
                && index <= floor
            {
                self.violations.push(Violation::Reordered {
                    command: *command,
                    floor: *floor,
                    index: *index,
                });
            }
        }
        for (replica, index, commands) in &self.restored {
            let expected = self
                .log
                .range(..=*index)
                .filter_map(|(_, command)| *command);
            if !expected.eq(commands.iter().copied()) {
                self.violations.push(Violation::StateDiffers {
                    replica: *replica,
                    index: *index,
                });
            }
        }
        self.violations
    }
}
