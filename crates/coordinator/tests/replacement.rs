//! Tests of coordinators that are replaced by others at new addresses.

use std::time;

mod group;

/// Time from the loss of a coordinator until its replacement starts.
const REPLACEMENT_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time from the start of a replacement until the next coordinator may be lost.
const NEXT_LOSS_DELAY: time::Duration = time::Duration::from_secs(6);

/// Guards against lost voters that pile up: each of them raised the quorum until it had been
/// unreachable for 8 s, so that a second loss, after the first replacement had caught up, left the
/// group without a quorum for good.
#[tokio::test(flavor = "multi_thread")]
async fn group_survives_replacements_one_after_the_other() {
    let mut group = group::Group::start(3).await;
    for _ in 0..2 {
        group.stop(0).await;
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        group.add();
        tokio::time::sleep(NEXT_LOSS_DELAY).await;
    }
    group.configure(1, 2).await;
}
