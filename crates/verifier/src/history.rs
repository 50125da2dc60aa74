//! Checks of a replicated log's recorded history.

use displaydoc::Display;
use std::collections;

/// Observation of a test, in the order in which things happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A replica began to lead.
    Leads {
        /// Term.
        term: u64,
        /// Replica.
        replica: u64,
    },
    /// A client sent a command, which is unique.
    Proposed {
        /// Command.
        command: u64,
    },
    /// A client was told that its command was accepted.
    Accepted {
        /// Command.
        command: u64,
        /// Position.
        index: u64,
    },
    /// A client was told that its command was not accepted.
    Refused {
        /// Command.
        command: u64,
    },
    /// A replica applied a command.
    Applied {
        /// Replica.
        replica: u64,
        /// Position.
        index: u64,
        /// Command, or `None` for an entry without one.
        command: Option<u64>,
    },
    /// A replica replaced its state by that of a snapshot, or started from it.
    Restored {
        /// Replica.
        replica: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Commands of the state, in order.
        commands: Vec<u64>,
    },
    /// A client asked for a read.
    ReadStarted {
        /// Read.
        read: u64,
    },
    /// A client got the answer to a read.
    ReadDone {
        /// Read.
        read: u64,
        /// Last index that the answer reflects.
        index: u64,
    },
    /// A replica holds everything accepted, at the end of a test.
    Settled {
        /// Replica.
        replica: u64,
    },
}

/// Broken rule.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// term {term} was led by {first} and by {second}
    TwoLeaders {
        /// Term.
        term: u64,
        /// First leader.
        first: u64,
        /// Second leader.
        second: u64,
    },
    /// replica {replica} applied entry {index} after entry {last}
    OutOfOrder {
        /// Replica.
        replica: u64,
        /// Position.
        index: u64,
        /// Position applied before.
        last: u64,
    },
    /// entry {index} is {first:?} for one replica and {second:?} for {replica}
    Differs {
        /// Position.
        index: u64,
        /// Command seen first.
        first: Option<u64>,
        /// Command seen later.
        second: Option<u64>,
        /// Replica that saw the second one.
        replica: u64,
    },
    /// command {command} was applied at {first} and at {second}
    AppliedTwice {
        /// Command.
        command: u64,
        /// First position.
        first: u64,
        /// Second position.
        second: u64,
    },
    /// command {command} was refused but applied at {index}
    RefusedButApplied {
        /// Command.
        command: u64,
        /// Position.
        index: u64,
    },
    /// command {command} was accepted at {index} but {found:?} is there
    Lost {
        /// Command.
        command: u64,
        /// Position that the client was told.
        index: u64,
        /// What the log holds there.
        found: Option<u64>,
    },
    /// command {command}, proposed after entry {floor} was accepted, is at {index}
    Reordered {
        /// Command.
        command: u64,
        /// Position accepted before the proposal.
        floor: u64,
        /// Position of the command.
        index: u64,
    },
    /// read {read} shows entry {index} although entry {floor} was seen before it started
    WentBack {
        /// Read.
        read: u64,
        /// Position that the answer reflects.
        index: u64,
        /// Position accepted or read before.
        floor: u64,
    },
    /// the state of replica {replica} at {index} has other commands than the log
    StateDiffers {
        /// Replica.
        replica: u64,
        /// Position.
        index: u64,
    },
    /// replica {replica} has applied up to {last} but {index} was accepted
    Behind {
        /// Replica.
        replica: u64,
        /// Position applied.
        last: u64,
        /// Newest accepted position.
        index: u64,
    },
}

/// Returns every rule that a history breaks.
pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for event in events {
        checker.take(event);
    }
    checker.finish()
}

#[derive(Debug, Default)]
struct Checker {
    found: Vec<Violation>,
    leaders: collections::BTreeMap<u64, u64>,
    /// The one log, as the replicas applied it.
    log: collections::BTreeMap<u64, Option<u64>>,
    places: collections::BTreeMap<u64, u64>,
    last: collections::BTreeMap<u64, u64>,
    floor: u64,
    proposed_after: collections::BTreeMap<u64, u64>,
    reads: collections::BTreeMap<u64, u64>,
    accepted: Vec<(u64, u64)>,
    refused: Vec<u64>,
    restored: Vec<(u64, u64, Vec<u64>)>,
}

impl Checker {
    fn take(&mut self, event: &Event) {
        match event {
            Event::Leads { term, replica } => self.leads(*term, *replica),
            Event::Proposed { command } => {
                self.proposed_after.insert(*command, self.floor);
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
                self.last.insert(*replica, *index);
                self.restored.push((*replica, *index, commands.clone()));
            }
            Event::ReadStarted { read } => {
                self.reads.insert(*read, self.floor);
            }
            Event::ReadDone { read, index } => self.read_done(*read, *index),
            Event::Settled { replica } => {
                let last = self.last.get(replica).copied().unwrap_or(0);
                if last < self.floor {
                    self.found.push(Violation::Behind {
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
            self.found.push(Violation::TwoLeaders {
                term,
                first,
                second: replica,
            });
        }
    }

    fn applied(&mut self, replica: u64, index: u64, command: Option<u64>) {
        let last = self.last.insert(replica, index).unwrap_or(0);
        if index != last + 1 {
            self.found.push(Violation::OutOfOrder {
                replica,
                index,
                last,
            });
        }
        let first = *self.log.entry(index).or_insert(command);
        if first != command {
            self.found.push(Violation::Differs {
                index,
                first,
                second: command,
                replica,
            });
        }
        if let Some(command) = command {
            let first = *self.places.entry(command).or_insert(index);
            if first != index {
                self.found.push(Violation::AppliedTwice {
                    command,
                    first,
                    second: index,
                });
            }
        }
    }

    fn read_done(&mut self, read: u64, index: u64) {
        let floor = self.reads.get(&read).copied().unwrap_or(0);
        if index < floor {
            self.found.push(Violation::WentBack { read, index, floor });
        }
        self.floor = self.floor.max(index);
    }

    fn finish(mut self) -> Vec<Violation> {
        for (command, index) in &self.accepted {
            let found = self.log.get(index).copied().flatten();
            if found != Some(*command) {
                self.found.push(Violation::Lost {
                    command: *command,
                    index: *index,
                    found,
                });
            }
        }
        for command in &self.refused {
            if let Some(index) = self.places.get(command) {
                self.found.push(Violation::RefusedButApplied {
                    command: *command,
                    index: *index,
                });
            }
        }
        for (command, floor) in &self.proposed_after {
            if let Some(index) = self.places.get(command)
                && index <= floor
            {
                self.found.push(Violation::Reordered {
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
                self.found.push(Violation::StateDiffers {
                    replica: *replica,
                    index: *index,
                });
            }
        }
        self.found
    }
}
