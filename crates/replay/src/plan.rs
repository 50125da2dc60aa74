//! Load-balancing configurations that a replay compares.

use nutmegdale_choice::{baseline, least_cost, p2c, policy};

/// Policy of a plan for choosing a server.
#[derive(Debug, Clone, Copy)]
pub enum Choice {
    /// Round robin over all servers.
    RoundRobin,
    /// Uniformly at random.
    Random,
    /// Server with the fewest requests in flight from this entry process.
    LeastInFlight,
    /// Power of two choices by the requests in flight from this entry process.
    PowerOfTwo,
    /// Server with the lowest predicted cost.
    LeastCost(least_cost::LeastCost),
}

/// Load-balancing configuration.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Name in tables and in `expect` statements.
    pub name: &'static str,
    /// Policy for choosing a server.
    pub choice: Choice,
    /// Whether slow reads are hedged.
    pub hedges: bool,
    /// Whether cold servers need a grant; without it they are treated as warm.
    pub grants: bool,
    /// Load probes per hundred requests.
    pub probes_percent: u64,
}

impl Plan {
    const fn new(name: &'static str, choice: Choice) -> Plan {
        Plan {
            name,
            choice,
            hedges: false,
            grants: true,
            probes_percent: 0,
        }
    }

    /// Creates the policy of one entry process.
    pub fn policy(&self) -> Box<dyn policy::Policy> {
        match self.choice {
            Choice::RoundRobin => Box::new(baseline::RoundRobin::default()),
            Choice::Random => Box::new(baseline::Random),
            Choice::LeastInFlight => Box::new(baseline::LeastInFlight),
            Choice::PowerOfTwo => Box::new(p2c::PowerOfTwo),
            Choice::LeastCost(policy) => Box::new(policy),
        }
    }
}

/// Returns every plan in the order of the tables; the entry service uses `least-cost+hedge`.
pub fn all() -> Vec<Plan> {
    let full = least_cost::LeastCost::default();
    let cost = Choice::LeastCost(full);
    let mut plans = vec![
        Plan::new("round-robin", Choice::RoundRobin),
        Plan::new("random", Choice::Random),
        Plan::new("least-in-flight", Choice::LeastInFlight),
        Plan::new("p2c", Choice::PowerOfTwo),
        Plan::new("least-cost", cost),
    ];
    let without = |name, change: fn(&mut least_cost::LeastCost)| {
        let mut policy = full;
        change(&mut policy);
        Plan::new(name, Choice::LeastCost(policy))
    };
    plans.push(without("-reports", |p| p.uses_reports = false));
    plans.push(without("-latency", |p| p.uses_latency = false));
    plans.push(without("-errors", |p| p.uses_errors = false));
    plans.push(without("-near", |p| p.prefers_near = false));
    plans.push(without("two-choices", |p| p.compared_count = 2));
    plans.push(Plan {
        probes_percent: 100,
        ..Plan::new("+probes", cost)
    });
    plans.push(Plan {
        hedges: true,
        ..Plan::new("least-cost+hedge", cost)
    });
    plans.push(Plan {
        hedges: true,
        grants: false,
        ..Plan::new("no-grants", cost)
    });
    plans
}
