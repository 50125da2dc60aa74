//! Traffic split by weight, for many processes that see few requests each.

use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;
use nutmegdale_dispatch::split;

/// Guards against processes that all start with the first service, which gives it more than its
/// share while each process has seen only a few requests.
#[test]
fn few_requests_of_many_processes_keep_the_weights() {
    let mut rng = rng::SplitMix64::new(7);
    let sums = [90.0, 100.0];
    let mut counts = [0_u32; 2];
    for _ in 0..20 {
        let splitter = split::Splitter::new(rng.next_u64());
        for _ in 0..15 {
            counts[splitter.next(&sums)] += 1;
        }
    }
    let share = f64::from(counts[1]) / 300.0;
    assert!((share - 0.1).abs() < 0.05, "share {share}");
}

/// Guards against a share that drifts in one process over many requests.
#[test]
fn one_process_keeps_the_weights_over_many_requests() {
    let splitter = split::Splitter::new(1);
    let sums = [1.0, 4.0, 10.0];
    let mut counts = [0_u32; 3];
    for _ in 0..10_000 {
        counts[splitter.next(&sums)] += 1;
    }
    for (count, expected) in counts.iter().zip([1_000, 3_000, 6_000]) {
        assert!(count.abs_diff(expected) < 30, "{counts:?}");
    }
}
