//! Guards the bounds of admission: no limit, budget or share may let more pass than it states.

use nutmegdale_admission::{bucket, bulk, deadline, hedge, limit, measuring, retry, shares};
use nutmegdale_base::clock::Millis;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_catalogue::spec;

/// A bucket that forgets a moment or rounds the wrong way lets more pass than rate and burst.
#[test]
fn bucket_lets_no_more_than_rate_and_burst_pass_in_any_span() {
    for seed in 0..200 {
        let mut rng = SplitMix64::new(seed);
        let rate = bucket::Rate {
            per_sec: 1 + rng.below(5_000),
            burst: 1 + rng.below(50),
        };
        let bucket = bucket::Bucket::new();
        let (mut now, mut passed) = (0, Vec::new());
        while now < 5_000 {
            let units = 1 + rng.below(rate.burst);
            match bucket.take(Millis(now), units, rate) {
                Ok(()) => passed.push((now, units)),
                Err(wait) => {
                    assert_eq!(bucket.take(Millis(now), units, rate), Err(wait));
                    assert!(
                        bucket.take(Millis(now + wait.0), units, rate).is_ok(),
                        "seed {seed}"
                    );
                    passed.push((now + wait.0, units));
                    now += wait.0;
                }
            }
            now += rng.below(20);
        }
        for (first, (from, _)) in passed.iter().enumerate().step_by(7) {
            let mut sum = 0;
            for (at, units) in &passed[first..] {
                sum += units;
                let most = rate.per_sec * (at - from + 1) / 1_000 + rate.burst + 1;
                assert!(sum <= most, "seed {seed}: {sum} units in {} ms", at - from);
            }
        }
    }
}

/// Retries that are not bounded turn a slow service into a dead one.
#[test]
fn retries_stay_within_a_tenth_of_the_calls_and_a_floor() {
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

/// Many entry processes together must stay near a limit, wherever the callers connect.
#[test]
fn limit_over_twenty_entries_stays_within_its_stated_error() {
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
        let (mut passed, mut seen) = (vec![0_u32; 10], [0_u64; ENTRIES]);
        // Every five seconds the callers move to other addresses.
        let mut busy: Vec<usize> = Vec::new();
        for now in 0..10_000_u64 {
            if now % 5_000 == 0 {
                busy = (0..3).map(|_| rng.below(ENTRIES as u64) as usize).collect();
            }
            if now % 1_000 == 500 {
                for (n, limiter) in limiters.iter().enumerate() {
                    let per_sec = u32::try_from(limiter.offered_count() - seen[n]).expect("small");
                    seen[n] = limiter.offered_count();
                    let limit = "route:reads".to_owned();
                    table.set_demand(&format!("entry-{n}"), &[shares::Demand { limit, per_sec }]);
                }
                for (n, limiter) in limiters.iter().enumerate() {
                    let given = table.shares_of(&format!("entry-{n}"), ENTRIES);
                    let milli = given
                        .first()
                        .map_or(shares::even_share(ENTRIES), |s| s.milli);
                    limiter.set_share(milli);
                }
            }
            for entry in &busy {
                if limiters[*entry].begin(Millis(now), &limits, None).is_ok() {
                    limiters[*entry].end();
                    passed[now as usize / 1_000] += 1;
                }
            }
        }
        // The stated error: the shares that move within one sync, and a burst per process.
        for (second, count) in passed.iter().enumerate() {
            assert!(*count <= LIMIT * 2, "seed {seed}, second {second}: {count}");
        }
        // Two syncs after a move, the shares have followed the callers.
        for second in [3, 4, 8, 9] {
            let settled = passed[second];
            assert!(
                (LIMIT * 9 / 10..=LIMIT * 11 / 10).contains(&settled),
                "seed {seed}: {passed:?}"
            );
        }
    }
}

/// Shares of one limit that add up to more than the whole would exceed the limit for good.
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

/// A refusal must name the limit and take nothing, or a refused request blocks later ones.
#[test]
fn refused_request_takes_nothing_and_names_the_limit() {
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

/// P1: everything fails at once, and every message is repeated as soon as it may be.
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
            let most = BYTES_PER_SEC / 2 * (now + 1_000) / 1_000 + 8_100;
            assert!(spent.bytes <= most, "{} bytes at {now} ms", spent.bytes);
            let most = measuring::MESSAGES_PER_SEC / 2 * (now + 1_000) / 1_000 + 1;
            assert!(
                spent.messages_count <= most,
                "{} messages at {now} ms",
                spent.messages_count
            );
            assert!(now < 2_000 || spent.held_back_count > 0);
        }
    }
}

/// A share of less than one bulk request per process must not end all exports.
#[test]
fn bulk_gets_its_share_and_at_least_one_request() {
    let slots = bulk::BulkSlots::new();
    assert!(!slots.begin(), "nothing passes before the bound is set");
    for (count, shared, entries, most) in [(80, true, 20, 1), (80, true, 4, 5), (40, false, 4, 10)]
    {
        slots.set_limit(count, shared, entries);
        let begun = (0..100).take_while(|_| slots.begin()).count();
        assert_eq!(begun, most);
        (0..begun).for_each(|_| slots.end());
    }
    let link = bulk::BulkLink::new();
    link.set_entries(20);
    assert_eq!(link.charge(Millis(0), 200 * 1024), Millis(0));
    let pause = link.charge(Millis(0), 5_000_000);
    // 5 MB/s is the part of one process in a fifth of 4 Gbit/s.
    assert!((900..=1_000).contains(&pause.0), "{pause}");
    assert!(link.check(Millis(500)).is_err() && link.check(Millis(1_000)).is_ok());
}

/// A deadline that grows on the way lets work run that nobody waits for.
#[test]
fn deadline_shrinks_and_malformed_ones_are_refused() {
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
    for bad in ["", "-1", "1.5", "ten", "99999999999999999999999"] {
        assert_eq!(parse(bad), Err(deadline::Malformed), "{bad:?}");
    }
    let longest = parse("18446744073709551615").expect("a number");
    assert_eq!(longest.left(Millis(1_000)), Some(deadline::MAX_MS));
}

/// A hedge delay that does not settle at the slow end would use up the retry budget.
#[test]
fn hedge_delay_settles_near_the_95th_percentile() {
    let delay = hedge::HedgeDelay::new();
    let mut rng = SplitMix64::new(1);
    for _ in 0..50_000 {
        delay.observe(10_000 + rng.below(10_000));
    }
    let settled = delay.delay_us();
    assert!((18_500..=20_000).contains(&settled), "{settled} us");
}
