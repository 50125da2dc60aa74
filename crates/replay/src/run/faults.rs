//! Applies the events of a trace to servers and zones.

use super::{ANNOUNCEMENT_DELAY_US, Event, Run, Status};
use crate::entry;
use crate::trace;
use nutmegdale_base::rng::Rng;

impl Run<'_> {
    pub(super) fn broadcast_state(
        &mut self,
        server: usize,
        state: entry::ServerState,
        delay_us: u64,
    ) {
        if state == entry::ServerState::Cold && !self.plan.grants {
            return;
        }
        for entry in 0..self.entries.len() {
            let at = self.now_us + delay_us + self.rng.below(delay_us);
            self.schedule(
                at,
                Event::UpdateServer {
                    entry,
                    server,
                    state,
                },
            );
        }
    }

    pub(super) fn apply_trace_event(&mut self, event: trace::Event) {
        match event {
            trace::Event::Server(server, fault) => self.apply_fault(server, fault),
            trace::Event::ZoneOut(zone) => self.set_zone_state(zone, entry::ServerState::Out),
            trace::Event::ZoneIn(zone) => self.set_zone_state(zone, entry::ServerState::Cold),
        }
    }

    fn apply_fault(&mut self, server: usize, fault: trace::Fault) {
        self.servers[server].apply(fault);
        match fault {
            trace::Fault::Restart => {
                for send in 0..self.sends.len() {
                    if self.sends[send].server == server && !self.sends[send].has_ended {
                        self.schedule(self.now_us, Event::Answer(send, Status::Failed, None));
                    }
                }
                self.broadcast_state(server, entry::ServerState::Cold, ANNOUNCEMENT_DELAY_US);
            }
            trace::Fault::Drain => {
                self.broadcast_state(server, entry::ServerState::Out, ANNOUNCEMENT_DELAY_US);
            }
            _ => {}
        }
    }

    fn set_zone_state(&mut self, zone: usize, state: entry::ServerState) {
        let in_zone = |n: &usize| self.servers[*n].zone == zone;
        let servers: Vec<usize> = (0..self.servers.len()).filter(in_zone).collect();
        for server in servers {
            if state == entry::ServerState::Cold {
                self.servers[server].apply(trace::Fault::Restart);
                let announced = if self.plan.grants {
                    state
                } else {
                    entry::ServerState::Warm
                };
                self.broadcast_state(server, announced, ANNOUNCEMENT_DELAY_US);
            } else {
                self.broadcast_state(server, state, ANNOUNCEMENT_DELAY_US);
            }
        }
    }
}
