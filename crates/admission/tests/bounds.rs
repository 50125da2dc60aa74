//! Admission control: no limit, budget or share may admit more than it states.

use nutmegdale_admission::{bucket, bulk, deadline, hedge, limit, measuring, retry, shares};
use nutmegdale_base::clock::Millis;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_catalogue::spec;

/// Guards against a bucket that admits more than rate and burst allow, because it forgets units or
/// rounds in the wrong direction.
#[test]
fn bucket_admits_at_most_rate_and_burst_in_any_span() {
    for seed in 0..200 {
        let mut rng = SplitMix64::new(seed);
        let rate = bucket::Rate {
            per_sec: 1 + rng.below(5_000),
            burst: 1 + rng.below(50),
        };
        let bucket = bucket::Bucket::new();
        let (mut now, mut admitted) = (0, Vec::new());
        while now < 5_000 {
            let units = 1 + rng.below(rate.burst);
            match bucket.take(Millis(now), units, rate) {
                Ok(()) => admitted.push((now, units)),
                Err(wait) => {
                    assert_eq!(bucket.take(Millis(now), units, rate), Err(wait));
                    assert!(
                        bucket.take(Millis(now + wait.0), units, rate).is_ok(),
                        "seed {seed}"
                    );
                    admitted.push((now + wait.0, units));
                    now += wait.0;
                }
            }
            now += rng.below(20);
        }
        for (first, (from, _)) in admitted.iter().enumerate().step_by(7) {
            let mut sum = 0;
            for (at, units) in &admitted[first..] {
                sum += units;
                let max = rate.per_sec * (at - from + 1) / 1_000 + rate.burst + 1;
                assert!(sum <= max, "seed {seed}: {sum} units in {} ms", at - from);
            }
        }
    }
}

/// Guards against a retry storm, which turns a slow service into an unavailable one.
#[test]
fn retries_stay_within_a_tenth_of_the_calls_plus_the_floor() {
    let budget = retry::RetryBudget::new();
    let mut taken = 0;
    for call in 1..=10_000_u64 {
        budget.deposit();
        while budget.withdraw() {
            taken += 1;
        }
        assert!(taken <= retry::FLOOR_COUNT + call * retry::BUDGET_PERCENT / 100);
    }
    assert_eq!(taken, 1_010);
}

/// Guards against entry processes that together exceed a limit when callers move between them.
#[test]
fn limit_over_twenty_entries_stays_within_the_documented_error() {
    const ENTRIES: usize = 20;
    const LIMIT: u32 = 1_000;
    for seed in 0..20 {
        let mut rng = SplitMix64::new(seed);
        let limits = spec::Limits {
            requests_per_second: Some(LIMIT),
            ..spec::Limits::default()
        };
        let limiters: Vec<_> = (0..ENTRIES).map(|_| limit::Limiter::new()).collect();
        let mut table = shares::DemandTable::new();
        for limiter in &limiters {
            limiter.set_share(shares::even_share(ENTRIES));
        }
        let (mut admitted, mut last_offered) = (vec![0_u32; 10], [0_u64; ENTRIES]);
        // Every five seconds the callers move to other entry processes.
        let mut used_entries: Vec<usize> = Vec::new();
        for now in 0..10_000_u64 {
            if now % 5_000 == 0 {
                used_entries = (0..3).map(|_| rng.below(ENTRIES as u64) as usize).collect();
            }
            if now % 1_000 == 500 {
                for (n, limiter) in limiters.iter().enumerate() {
                    let per_sec =
                        u32::try_from(limiter.offered_count() - last_offered[n]).expect("small");
                    last_offered[n] = limiter.offered_count();
                    let limit = "route:reads".to_owned();
                    table.set_demand(&format!("entry-{n}"), &[shares::Demand { limit, per_sec }]);
                }
                for (n, limiter) in limiters.iter().enumerate() {
                    let assigned = table.shares_of(&format!("entry-{n}"), ENTRIES);
                    let milli = assigned
                        .first()
                        .map_or(shares::even_share(ENTRIES), |s| s.milli);
                    limiter.set_share(milli);
                }
            }
            for entry in &used_entries {
                if limiters[*entry].begin(Millis(now), &limits, None).is_ok() {
                    limiters[*entry].end();
                    admitted[now as usize / 1_000] += 1;
                }
            }
        }
        // The documented error: the shares that move within one sync, and one burst per process.
        for (second, count) in admitted.iter().enumerate() {
            assert!(*count <= LIMIT * 2, "seed {seed}, second {second}: {count}");
        }
        // Two syncs after a move, the shares match the demand again.
        for second in [3, 4, 8, 9] {
            let settled = admitted[second];
            assert!(
                (LIMIT * 9 / 10..=LIMIT * 11 / 10).contains(&settled),
                "seed {seed}: {admitted:?}"
            );
        }
    }
}

/// Guards against shares that add up to more than the whole, which would exceed the limit
/// permanently.
#[test]
fn shares_of_a_limit_never_exceed_the_whole() {
    let mut rng = SplitMix64::new(7);
    for _ in 0..1_000 {
        let entries = 1 + rng.below(20) as usize;
        let mut table = shares::DemandTable::new();
        for n in 0..entries {
            let per_sec = rng.below(1_000) as u32 * rng.below(2) as u32;
            let limit = "account:a".to_owned();
            table.set_demand(&n.to_string(), &[shares::Demand { limit, per_sec }]);
        }
        let sum = |n: usize| {
            table
                .shares_of(&n.to_string(), entries)
                .iter()
                .map(|s| s.milli)
                .sum::<u32>()
        };
        assert!((0..entries).map(sum).sum::<u32>() <= shares::WHOLE_MILLI);
    }
}

/// Guards against a refused request that is charged to some limit and so blocks later requests, and
/// against a refusal that names the wrong limit.
#[test]
fn refused_request_is_not_charged_and_names_the_limit() {
    let limits = spec::Limits {
        requests_per_second: Some(10),
        concurrency: Some(2),
        bytes_per_second: Some(1_000),
        body_bytes: Some(100),
    };
    let limiter = limit::Limiter::new();
    limiter.set_share(shares::WHOLE_MILLI);
    let now = Millis(0);
    let refused = limiter
        .begin(now, &limits, Some(101))
        .expect_err("too large");
    assert_eq!((refused.limit, refused.retry_after), ("body_bytes", None));
    assert_eq!(limiter.begin(now, &limits, Some(100)), Ok(()));
    let refused = limiter.begin(now, &limits, None).expect_err("too fast");
    assert_eq!(
        (refused.limit, limiter.in_flight()),
        ("requests_per_second", 1)
    );
    assert_eq!(limiter.begin(Millis(100), &limits, None), Ok(()));
    let refused = limiter
        .begin(Millis(300), &limits, None)
        .expect_err("too many");
    assert_eq!(refused.limit, "concurrency");
    limiter.end();
    limiter.charge_response(Millis(300), &limits, 1_100);
    let refused = limiter
        .begin(Millis(300), &limits, None)
        .expect_err("in debt");
    assert_eq!(
        (refused.limit, refused.retry_after),
        ("bytes_per_second", Some(Millis(1_000)))
    );
    assert_eq!(limiter.begin(Millis(1_300), &limits, None), Ok(()));
}

/// Guards P1: the system's own traffic stays within its budget when everything fails at once and
/// every message is sent again as soon as the budget allows it.
#[test]
fn measuring_stays_within_its_budget_when_everything_fails() {
    const BYTES_PER_SEC: u64 = 19_000;
    let budget = measuring::Budget::new(BYTES_PER_SEC);
    let mut rng = SplitMix64::new(3);
    for now in 0..20_000_u64 {
        for reach in measuring::Reach::ALL {
            for _ in 0..5 {
                if budget
                    .take(Millis(now), reach, 100 + rng.below(3_000))
                    .is_ok()
                {
                    budget.charge_response(Millis(now), reach, rng.below(5_000));
                }
            }
            let spent = budget.spent(reach);
            let max = BYTES_PER_SEC / 2 * (now + 1_000) / 1_000 + 8_100;
            assert!(spent.bytes <= max, "{} bytes at {now} ms", spent.bytes);
            let max = measuring::MESSAGES_PER_SEC / 2 * (now + 1_000) / 1_000 + 1;
            assert!(
                spent.messages_count <= max,
                "{} messages at {now} ms",
                spent.messages_count
            );
            assert!(now < 2_000 || spent.held_back_count > 0);
        }
    }
}

/// Guards against exports that stop because the share of a process is less than one bulk request.
#[test]
fn bulk_limit_is_the_share_and_at_least_one_request() {
    let slots = bulk::BulkSlots::new();
    assert!(
        !slots.begin(),
        "nothing is admitted before the limit is set"
    );
    for (count, shared, entries, max) in [(80, true, 20, 1), (80, true, 4, 5), (40, false, 4, 10)] {
        slots.set_limit(count, shared, entries);
        let begun = (0..100).take_while(|_| slots.begin()).count();
        assert_eq!(begun, max);
        (0..begun).for_each(|_| slots.end());
    }
    let link = bulk::BulkLink::new();
    link.set_entries(20);
    assert_eq!(link.charge(Millis(0), 200 * 1024), Millis(0));
    let pause = link.charge(Millis(0), 5_000_000);
    // The share of one of 20 processes in a fifth of 4 Gbit/s is 5 MB/s.
    assert!((900..=1_000).contains(&pause.0), "{pause}");
    assert!(link.check(Millis(500)).is_err() && link.check(Millis(1_000)).is_ok());
}

/// Guards against a deadline that grows from hop to hop, so that servers run requests that nobody
/// waits for.
#[test]
fn deadline_only_shrinks_and_malformed_header_is_refused() {
    let parse =
        |value: &str| deadline::Deadline::parse(Millis(1_000), Some(value.as_bytes()), Millis(5));
    let at = parse("250").expect("a number");
    assert_eq!(at.left(Millis(1_100)), Some(Millis(150)));
    assert_eq!(at.left(Millis(1_250)), None);
    assert_eq!(
        at.within(Millis(1_000), Millis(100)).left(Millis(1_040)),
        Some(Millis(60))
    );
    assert_eq!(
        at.within(Millis(1_000), Millis(900)).left(Millis(1_040)),
        Some(Millis(210))
    );
    let default = deadline::Deadline::parse(Millis(0), None, Millis(30)).expect("default");
    assert_eq!(default.left(Millis(0)), Some(Millis(30)));
    for malformed in ["", "-1", "1.5", "ten", "99999999999999999999999"] {
        assert_eq!(parse(malformed), Err(deadline::Malformed), "{malformed:?}");
    }
    let longest = parse("18446744073709551615").expect("a number");
    assert_eq!(longest.left(Millis(1_000)), Some(deadline::MAX_MS));
}

/// Guards against a hedge delay far below the 95th percentile, which would use up the retry budget.
#[test]
fn hedge_delay_converges_to_the_95th_percentile() {
    let delay = hedge::HedgeDelay::new();
    let mut rng = SplitMix64::new(1);
    for _ in 0..50_000 {
        delay.observe(10_000 + rng.below(10_000));
    }
    let settled = delay.delay_us();
    assert!((18_500..=20_000).contains(&settled), "{settled} us");
}
