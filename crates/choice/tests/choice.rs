//! Guards the server choice against servers that look better than they are.

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

fn home(mask: u64, tried: &[Server]) -> policy::RequestView<'_> {
    policy::RequestView {
        regions_mask: mask,
        ..view(5, tried)
    }
}

/// Sends requests for `span` ms and returns how many each candidate got; `answers` says whether a
/// server succeeds and how long it takes.
fn drive(
    list: &[policy::Candidate],
    span: u64,
    answers: impl Fn(usize) -> (bool, u64),
) -> Vec<u32> {
    let (mut cx, policy) = (context(), least_cost::LeastCost::default());
    let mut counts = vec![0; list.len()];
    for now in 1_000..1_000 + span {
        let server = policy
            .choose(&mut cx, list, view(now, &[]))
            .expect("a server");
        let signal = &list[server.index()].signal;
        counts[server.index()] += 1;
        let (is_ok, took_us) = answers(server.index());
        if is_ok {
            signal.record_success(Millis(now), took_us);
        } else {
            signal.record_failure(Millis(now));
        }
    }
    counts
}

/// A server that answers fast because it fails must draw no traffic, and be tried again at times.
#[test]
fn failing_server_draws_no_traffic_however_fast_it_is() {
    let list = candidates(&[0; 6]);
    let answers = |n| if n == 2 { (false, 100) } else { (true, 5_000) };
    let counts = drive(&list, 20_000, answers);
    assert!(counts[2] <= 20, "{counts:?}");
    assert!(
        counts[2] >= 2,
        "a server that recovered must be found: {counts:?}"
    );
}

/// A server that turns slow keeps its requests for long and must get few.
#[test]
fn slow_server_gets_few_requests_and_some_later() {
    let list = candidates(&[0; 6]);
    let answers = |n| (true, if n == 1 { 100_000 } else { 5_000 });
    let counts = drive(&list, 20_000, answers);
    assert!(counts[1] <= 100 && counts[1] >= 2, "{counts:?}");
}

/// The link between regions is paid, so it carries traffic only if the near servers are full.
#[test]
fn other_region_gets_requests_only_when_near_servers_are_full() {
    let list = candidates(&[0, 1, 1, 2, 2, 2]);
    let counts = drive(&list, 5_000, |_| (true, 5_000));
    assert_eq!(counts[3..], [0, 0, 0]);
    let (mut cx, policy) = (context(), least_cost::LeastCost::default());
    for near in &list[..3] {
        (0..60).for_each(|_| near.signal.begin());
    }
    let chosen = policy
        .choose(&mut cx, &list, view(6_000, &[]))
        .expect("a server");
    assert!(chosen.index() >= 3, "{chosen:?} is full");
    let bulk = policy::RequestView {
        class: class::Class::BulkExport,
        ..view(6_000, &[])
    };
    let chosen = policy.choose(&mut cx, &list, bulk).expect("a server");
    assert!(chosen.index() < 3, "bulk work takes the link to {chosen:?}");
}

/// P2, P4 and P8: no policy may choose a server that is cold, draining, tried or abroad.
#[test]
fn no_policy_chooses_an_unusable_server() {
    let policies: [Box<dyn Policy>; 5] = [
        Box::new(baseline::RoundRobin::default()),
        Box::new(baseline::Random),
        Box::new(baseline::LeastInFlight),
        Box::new(p2c::PowerOfTwo),
        Box::new(least_cost::LeastCost::default()),
    ];
    let mut list = candidates(&[0, 0, 0, 1, 2, 2]);
    list[0].is_cold = true;
    let heard = |state| report::Report {
        running: 0,
        waiting: 0,
        state: Some(state),
    };
    list[1]
        .signal
        .record_report(Millis(1), &heard(report::State::Cold));
    list[2]
        .signal
        .record_report(Millis(1), &heard(report::State::Draining));
    for policy in &policies {
        let mut cx = context();
        for _ in 0..200 {
            let chosen = policy
                .choose(&mut cx, &list, home(1, &[]))
                .expect("server 3");
            assert_eq!(chosen, Server::new(3), "{policy:?}");
            let tried = [chosen];
            let again = policy.choose(&mut cx, &list, home(1, &tried));
            assert_eq!(again, None, "{policy:?}");
            let abroad = policy
                .choose(&mut cx, &list, home(2, &[]))
                .expect("server 4 or 5");
            assert!(abroad.index() >= 4, "{policy:?}");
        }
        assert_eq!(policy.choose(&mut cx, &[], view(5, &[])), None);
    }
}

/// A server that has just become warm looks idle to every entry process at once.
#[test]
fn server_that_became_warm_gets_its_share_slowly() {
    let list = candidates(&[0; 4]);
    for c in &list[1..] {
        c.signal.record_success(Millis(999), 5_000);
    }
    list[0].signal.set_warm_since(Millis(1_000));
    let early = drive(&list, 300, |_| (true, 5_000));
    assert!(early[0] < 300 / 4 / 2, "{early:?}");
    let list = candidates(&[0; 4]);
    list[0].signal.set_warm_since(Millis(1));
    let late = drive(&list, 4_000, |_| (true, 5_000));
    assert!(late[0] > 4_000 / 4 / 2, "{late:?}");
}

/// A report counts other processes' requests only, and less with age.
#[test]
fn report_leaves_out_own_requests_and_fades() {
    let signal = signal::Signal::new();
    (0..2).for_each(|_| signal.begin());
    let report =
        report::Report::parse("running=4, waiting=3, slots=4, state=warm").expect("report");
    signal.record_report(Millis(1_000), &report);
    // Two of one's own, of which the answered one is no longer counted by the server.
    assert_eq!(signal.others_milli(Millis(1_000)), 6_000);
    let half = Millis(1_000 + signal::REPORT_HALF_LIFE_MS);
    assert_eq!(signal.others_milli(half), 3_000);
    assert_eq!(signal.others_milli(Millis(60_000)), 0);
}

#[test]
fn malformed_report_is_dropped_whole() {
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

/// A slow server whose every request is overtaken by a hedge never answers, but must look slow.
#[test]
fn overtaken_requests_raise_the_latency_estimate() {
    let signal = signal::Signal::new();
    signal.record_success(Millis(1), 5_000);
    (0..8).for_each(|_| signal.record_cancellation(Millis(2), 40_000));
    assert!(signal.latency_us(Millis(2)) > 30_000);
    let known = signal.latency_us(Millis(2));
    signal.record_cancellation(Millis(2), 1_000);
    assert_eq!(
        signal.latency_us(Millis(2)),
        known,
        "an early end says nothing"
    );
}
