//! Events of a trace that change servers and zones.

use super::{Event, LEARN_US, Run, Status};
use crate::entry;
use crate::trace;
use nutmegdale_base::rng::Rng;

impl Run<'_> {
    pub(super) fn learn_all(&mut self, server: usize, known: entry::Known, after_us: u64) {
        if known == entry::Known::Cold && !self.plan.grants {
            return;
        }
        for entry in 0..self.entries.len() {
            let at = self.now_us + after_us + self.rng.below(after_us);
            self.at(
                at,
                Event::Learn {
                    entry,
                    server,
                    known,
                },
            );
        }
    }

    pub(super) fn trace_event(&mut self, event: trace::Event) {
        match event {
            trace::Event::Server(server, fault) => self.fault(server, fault),
            trace::Event::ZoneOut(zone) => self.zone(zone, entry::Known::Out),
            trace::Event::ZoneIn(zone) => self.zone(zone, entry::Known::Cold),
        }
    }

    fn fault(&mut self, server: usize, fault: trace::Fault) {
        self.servers[server].apply(fault);
        match fault {
            trace::Fault::Restart => {
                for send in 0..self.sends.len() {
                    if self.sends[send].server == server && !self.sends[send].is_over {
                        self.at(self.now_us, Event::Answer(send, Status::Failed, None));
                    }
                }
                self.learn_all(server, entry::Known::Cold, LEARN_US);
            }
            trace::Fault::Drain => self.learn_all(server, entry::Known::Out, LEARN_US),
            _ => {}
        }
    }

    fn zone(&mut self, zone: usize, known: entry::Known) {
        let in_zone = |n: &usize| self.servers[*n].zone == zone;
        let servers: Vec<usize> = (0..self.servers.len()).filter(in_zone).collect();
        for server in servers {
            if known == entry::Known::Cold {
                self.servers[server].apply(trace::Fault::Restart);
                let learnt = if self.plan.grants {
                    known
                } else {
                    entry::Known::Warm
                };
                self.learn_all(server, learnt, LEARN_US);
            } else {
                self.learn_all(server, known, LEARN_US);
            }
        }
    }
}
