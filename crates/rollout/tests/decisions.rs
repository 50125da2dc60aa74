//! Share, reports and plan by themselves.

use nutmegdale_base::clock;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_rollout::{bound, evidence, plan, reports, share, test};

const BOUND: bound::Bound = bound::Bound {
    share: 0.1,
    slack: 50.0,
    rollback: clock::Millis(5_000),
};

/// Guards against more canary requests than the limit allows over all processes, however the
/// requests are distributed, and against a share that is not used.
#[test]
fn shares_of_all_processes_stay_below_the_limit() {
    for count in [1, 2, 16, 129, 400] {
        let names: Vec<_> = (0..count).map(|n| format!("p{n}")).collect();
        let share =
            |name: &String| share::Share::new(&BOUND, 9, name, names.iter().map(String::as_str));
        let shares: Vec<_> = names.iter().map(share).collect();
        let mut rng = SplitMix64::new(count);
        let (mut sent, mut claimed) = (0_u64, 0_u64);
        // The excess of a process is highest right after a claim.
        for share in &shares {
            let claims = 1 + rng.below(3);
            let mut own = 0;
            while own < claims {
                sent += 1;
                own += u64::from(share.claim());
            }
            claimed += own;
        }
        let limit = sent as f64 * 0.08 + 40.0;
        assert!(claimed as f64 <= limit, "{count}: {claimed} of {sent}");
        let more = 20_000;
        let used = (0..more)
            .filter(|n| shares[n % shares.len()].claim())
            .count();
        assert!(
            used as f64 >= 0.07 * more as f64,
            "{count}: {used} of {more}"
        );
    }
}

/// Guards against a claim that is lost when no server was there for it.
#[test]
fn released_claim_is_used_by_a_later_request() {
    let share = share::Share::new(&BOUND, 9, "p", ["p"].into_iter());
    let first = (0..100).position(|_| share.claim()).expect("a claim");
    assert!(first <= 12);
    assert!(!share.claim());
    share.release();
    assert!(share.claim());
}

/// Guards against canary servers that run above or below the usual load, and against none.
#[test]
fn canary_servers_match_the_share() {
    assert_eq!(share::canary_servers_count(&BOUND, 146), 12);
    assert_eq!(share::canary_servers_count(&BOUND, 3), 1);
}

fn report(boot: u64, sequence: u64, stage: plan::Stage, old_in_flight: u32) -> evidence::Report {
    let mut evidence = evidence::Evidence::default();
    let counts = evidence::Counts {
        failures: sequence as u32,
        ..evidence::Counts::default()
    };
    let route = evidence::Route {
        new: counts,
        ..evidence::Route::default()
    };
    evidence.routes.insert("route".to_owned(), route);
    evidence::Report {
        process: "p".to_owned(),
        boot,
        sequence,
        services: vec![evidence::ServiceReport {
            service: "s".to_owned(),
            order: 9,
            stage,
            old_in_flight,
            evidence,
        }],
    }
}

/// Guards against evidence that is counted twice or forgotten: reports that are repeated, reordered,
/// or of an earlier start of the process.
#[test]
fn evidence_is_counted_once_for_each_start() {
    let mut reports = reports::Reports::default();
    let now = clock::Millis(1_000);
    let canary = plan::Stage::Canary;
    for (boot, sequence) in [(1, 2), (1, 3), (1, 2), (1, 3), (2, 1), (1, 1)] {
        reports.record(now, report(boot, sequence, canary, 0));
    }
    assert_eq!(reports.evidence("s", 9).totals(), (0, 3 + 1));
    assert_eq!(reports.evidence("s", 8).totals(), (0, 0));
    let mut sent = [(("p".to_owned(), 1), 2)].into_iter().collect();
    assert_eq!(reports.batch(now, &sent).reports.len(), 2);
    sent.insert(("p".to_owned(), 1), 3);
    sent.insert(("p".to_owned(), 2), 1);
    assert!(reports.batch(now, &sent).reports.is_empty());
}

/// Guards against a completion while a process may still send to old servers: one that knows only
/// the canary, has requests in flight, has started again, or has not reported at all.
#[test]
fn completion_waits_for_every_process() {
    let (canary, promoting) = (plan::Stage::Canary, plan::Stage::Promoting);
    let now = clock::Millis(10_000);
    let unreleased = |reports: &reports::Reports, at, live: &[&str]| {
        let names = reports.unreleased(at, "s", 9, live.iter().copied());
        names.len()
    };
    let mut reports = reports::Reports::default();
    assert_eq!(unreleased(&reports, now, &["p"]), 1, "no report");
    for (sequence, stage, in_flight, expected) in [
        (1, canary, 0, 1),
        (2, promoting, 3, 1),
        (3, promoting, 0, 0),
    ] {
        reports.record(now, report(1, sequence, stage, in_flight));
        assert_eq!(unreleased(&reports, now, &["p"]), expected);
    }
    assert_eq!(unreleased(&reports, now, &["p", "q"]), 1, "another process");
    reports.record(now, report(2, 1, canary, 0));
    assert_eq!(
        unreleased(&reports, now, &[]),
        1,
        "the process started again"
    );
    let later = now + reports::ALIVE_MS;
    assert_eq!(unreleased(&reports, later, &[]), 0, "the process is gone");
    assert_eq!(unreleased(&reports, later, &["p"]), 1, "the process syncs");
}

const DURATION_MS: clock::Millis = clock::Millis(12_000);

fn view(stage: plan::Stage, elapsed_ms: u64) -> plan::View {
    plan::View {
        stage,
        elapsed: clock::Millis(elapsed_ms),
        duration: DURATION_MS,
        verdict: test::Verdict::Good,
        uncompared_verdict: test::Verdict::Good,
        attempts: (3_000, 250),
        servers: (146, 146),
        is_released: false,
    }
}

/// Guards against a promotion that comes too early for late faults, too late to complete, or without
/// evidence.
#[test]
fn canary_is_promoted_late_and_only_on_evidence() {
    let canary = |elapsed_ms| view(plan::Stage::Canary, elapsed_ms);
    assert_eq!(plan::next(&canary(8_100)), plan::Step::Keep);
    assert_eq!(plan::next(&canary(8_200)), plan::Step::Promote);
    let roll_back = plan::Step::RollBack;
    let cases = [
        (test::Verdict::Bad, (9, 9), (146, 146), plan::Reason::Bad),
        (
            test::Verdict::Suspect,
            (3_000, 250),
            (146, 146),
            plan::Reason::Suspect,
        ),
        (
            test::Verdict::Good,
            (3_000, 250),
            (146, 30),
            plan::Reason::TooFewServers,
        ),
        (
            test::Verdict::Good,
            (3_000, 0),
            (146, 146),
            plan::Reason::Unreachable,
        ),
    ];
    for (verdict, attempts, servers, reason) in cases {
        let at = |elapsed_ms| plan::View {
            verdict,
            attempts,
            servers,
            ..canary(elapsed_ms)
        };
        assert_eq!(plan::next(&at(8_900)), roll_back(reason));
        let is_early = plan::next(&at(8_200)) == roll_back(reason);
        assert_eq!(is_early, verdict == test::Verdict::Bad, "{reason:?}");
    }
    assert_eq!(plan::next(&canary(11_300)), roll_back(plan::Reason::NoTime));
    let moved = plan::View {
        servers: (0, 146),
        verdict: test::Verdict::Bad,
        ..canary(100)
    };
    assert_eq!(plan::next(&moved), plan::Step::Promote);
}

/// Guards against a completion before the old servers are released, or less than 1.5 s before the
/// end.
#[test]
fn promotion_is_completed_once_released_or_when_due() {
    let promoting = |elapsed_ms| view(plan::Stage::Promoting, elapsed_ms);
    assert_eq!(plan::next(&promoting(10_000)), plan::Step::Keep);
    assert_eq!(plan::next(&promoting(10_100)), plan::Step::Complete);
    let released = plan::View {
        is_released: true,
        ..promoting(8_700)
    };
    assert_eq!(plan::next(&released), plan::Step::Complete);
    let bad = plan::View {
        uncompared_verdict: test::Verdict::Bad,
        ..released
    };
    assert_eq!(plan::next(&bad), plan::Step::RollBack(plan::Reason::Bad));
}
