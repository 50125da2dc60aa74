//! Server selection: servers that seem better than they are must not attract requests.

use nutmegdale_base::clock::Millis;
use nutmegdale_base::entity::{EntityRef, Region, Server};
use nutmegdale_base::{class, rng};
use nutmegdale_choice::policy::Policy;
use nutmegdale_choice::{baseline, least_cost, p2c, policy, report, signal};
use std::sync;

fn candidates(distances: &[u8]) -> Vec<policy::Candidate> {
    let candidate = |(n, distance): (usize, &u8)| policy::Candidate {
        server: Server::new(n),
        region: Region::new(usize::from(*distance / 2)),
        distance: *distance,
        slots: 4,
        is_cold: false,
        signal: sync::Arc::new(signal::Signal::new()),
    };
    distances.iter().enumerate().map(candidate).collect()
}

fn context() -> policy::Context {
    policy::Context {
        rng: Box::new(rng::SplitMix64::new(11)),
    }
}

fn view(now: u64, tried: &[Server]) -> policy::RequestView<'_> {
    policy::RequestView {
        class: class::Class::UrgentLookup,
        now: Millis(now),
        tried,
        regions_mask: u64::MAX,
    }
}

fn view_of_regions(mask: u64, tried: &[Server]) -> policy::RequestView<'_> {
    policy::RequestView {
        regions_mask: mask,
        ..view(5, tried)
    }
}

/// Sends one request per millisecond for `span` ms and returns how many each candidate got;
/// `respond` returns whether a server succeeds and its response time in microseconds.
fn simulate(
    servers: &[policy::Candidate],
    span: u64,
    respond: impl Fn(usize) -> (bool, u64),
) -> Vec<u32> {
    let (mut cx, policy) = (context(), least_cost::LeastCost::default());
    let mut counts = vec![0; servers.len()];
    for now in 1_000..1_000 + span {
        let server = policy
            .choose(&mut cx, servers, view(now, &[]))
            .expect("a server");
        let signal = &servers[server.index()].signal;
        counts[server.index()] += 1;
        let (is_ok, took_us) = respond(server.index());
        if is_ok {
            signal.record_success(Millis(now), took_us);
        } else {
            signal.record_failure(Millis(now));
        }
    }
    counts
}

/// Guards against a server that attracts traffic because it fails fast, and against one that is
/// never tried again.
#[test]
fn fast_failing_server_attracts_no_traffic() {
    let servers = candidates(&[0; 6]);
    let respond = |n| if n == 2 { (false, 100) } else { (true, 5_000) };
    let counts = simulate(&servers, 20_000, respond);
    assert!(counts[2] <= 20, "{counts:?}");
    assert!(
        counts[2] >= 2,
        "a failing server must be retried: {counts:?}"
    );
}

/// Guards against a slow server that keeps attracting requests, and against one that is never tried
/// again.
#[test]
fn slow_server_gets_few_requests_but_some() {
    let servers = candidates(&[0; 6]);
    let respond = |n| (true, if n == 1 { 100_000 } else { 5_000 });
    let counts = simulate(&servers, 20_000, respond);
    assert!(counts[1] <= 100 && counts[1] >= 2, "{counts:?}");
}

/// Guards against traffic on the billed link between regions while servers of the region have free
/// slots, and against bulk requests on it even when they are full.
#[test]
fn other_region_gets_requests_only_when_near_servers_are_full() {
    let servers = candidates(&[0, 1, 1, 2, 2, 2]);
    let counts = simulate(&servers, 5_000, |_| (true, 5_000));
    assert_eq!(counts[3..], [0, 0, 0]);
    let (mut cx, policy) = (context(), least_cost::LeastCost::default());
    for near in &servers[..3] {
        (0..60).for_each(|_| near.signal.begin());
    }
    let chosen = policy
        .choose(&mut cx, &servers, view(6_000, &[]))
        .expect("a server");
    assert!(chosen.index() >= 3, "{chosen:?} is full");
    let bulk = policy::RequestView {
        class: class::Class::BulkExport,
        ..view(6_000, &[])
    };
    let chosen = policy.choose(&mut cx, &servers, bulk).expect("a server");
    assert!(
        chosen.index() < 3,
        "bulk request crosses regions to {chosen:?}"
    );
}

/// Guards P2, P4 and P8: no policy may select a server that is cold, draining, already tried or in
/// a region that must not serve the request.
#[test]
fn no_policy_selects_an_ineligible_server() {
    let policies: [Box<dyn Policy>; 5] = [
        Box::new(baseline::RoundRobin::default()),
        Box::new(baseline::Random),
        Box::new(baseline::LeastInFlight),
        Box::new(p2c::PowerOfTwo),
        Box::new(least_cost::LeastCost::default()),
    ];
    let mut servers = candidates(&[0, 0, 0, 1, 2, 2]);
    servers[0].is_cold = true;
    let report_of = |state| report::Report {
        running: 0,
        waiting: 0,
        state: Some(state),
    };
    servers[1]
        .signal
        .record_report(Millis(1), &report_of(report::State::Cold));
    servers[2]
        .signal
        .record_report(Millis(1), &report_of(report::State::Draining));
    for policy in &policies {
        let mut cx = context();
        for _ in 0..200 {
            let chosen = policy
                .choose(&mut cx, &servers, view_of_regions(1, &[]))
                .expect("server 3");
            assert_eq!(chosen, Server::new(3), "{policy:?}");
            let tried = [chosen];
            let again = policy.choose(&mut cx, &servers, view_of_regions(1, &tried));
            assert_eq!(again, None, "{policy:?}");
            let other_region = policy
                .choose(&mut cx, &servers, view_of_regions(2, &[]))
                .expect("server 4 or 5");
            assert!(other_region.index() >= 4, "{policy:?}");
        }
        assert_eq!(policy.choose(&mut cx, &[], view(5, &[])), None);
    }
}

/// Guards against a burst from all entry processes at once to a server that has just become warm
/// and seems idle.
#[test]
fn server_that_became_warm_gets_a_slow_start() {
    let servers = candidates(&[0; 4]);
    for c in &servers[1..] {
        c.signal.record_success(Millis(999), 5_000);
    }
    servers[0].signal.set_warm_since(Millis(1_000));
    let early = simulate(&servers, 300, |_| (true, 5_000));
    assert!(early[0] < 300 / 4 / 2, "{early:?}");
    let servers = candidates(&[0; 4]);
    servers[0].signal.set_warm_since(Millis(1));
    let late = simulate(&servers, 4_000, |_| (true, 5_000));
    assert!(late[0] > 4_000 / 4 / 2, "{late:?}");
}

/// Guards against own requests that count twice, and against old reports that keep their weight.
#[test]
fn report_excludes_own_requests_and_decays() {
    let signal = signal::Signal::new();
    (0..2).for_each(|_| signal.begin());
    let report =
        report::Report::parse("running=4, waiting=3, slots=4, state=warm").expect("report");
    signal.record_report(Millis(1_000), &report);
    // Two requests are this process's; the server no longer counts the one it has responded to.
    assert_eq!(signal.others_milli(Millis(1_000)), 6_000);
    let half = Millis(1_000 + signal::REPORT_HALF_LIFE_MS);
    assert_eq!(signal.others_milli(half), 3_000);
    assert_eq!(signal.others_milli(Millis(60_000)), 0);
}

#[test]
fn malformed_report_is_rejected() {
    let parsed = report::Report::parse("state=cold,new=1, running=1").expect("report");
    assert_eq!(
        (parsed.running, parsed.state),
        (1, Some(report::State::Cold))
    );
    for bad in [
        "",
        "waiting=1",
        "running=x",
        "running=1, state=hot",
        "running=-1",
        "running",
    ] {
        assert_eq!(report::Report::parse(bad), None, "{bad:?}");
    }
}

/// Guards against a slow server that seems fast because its requests are all cancelled once a hedge
/// has won.
#[test]
fn cancelled_requests_raise_the_latency_estimate() {
    let signal = signal::Signal::new();
    signal.record_success(Millis(1), 5_000);
    (0..8).for_each(|_| signal.record_cancellation(Millis(2), 40_000));
    assert!(signal.latency_us(Millis(2)) > 30_000);
    let estimate = signal.latency_us(Millis(2));
    signal.record_cancellation(Millis(2), 1_000);
    assert_eq!(
        signal.latency_us(Millis(2)),
        estimate,
        "an early cancellation must not lower the estimate"
    );
}
