//! Rollouts in the registry: resent, concurrent and late commands, and what followers learn.

use nutmegdale_base::clock;
use nutmegdale_registry::{feed, follow, rollout, server, state};
use nutmegdale_rollout::plan;
use std::net;

const DURATION_MS: clock::Millis = clock::Millis(12_000);

fn order(target: &str) -> rollout::Order {
    rollout::Order {
        service: "reads".to_owned(),
        target: target.to_owned(),
        duration: DURATION_MS,
    }
}

fn apply(state: &mut state::State, cmd: state::Command) -> (state::Reply, Vec<feed::Change>) {
    let mut changes = Vec::new();
    let index = state.index + 1;
    let reply = state.apply(index, cmd, &mut changes);
    (reply, changes)
}

fn start(state: &mut state::State, target: &str, previous: u64) -> state::Reply {
    let order = order(target);
    let cmd = state::Command::StartRollout(rollout::Start { order, previous });
    apply(state, cmd).0
}

fn advance(state: &mut state::State, order: u64, stage: plan::Stage) -> Vec<feed::Change> {
    let advance = rollout::Advance {
        service: "reads".to_owned(),
        order,
        stage,
        elapsed: clock::Millis(2_000),
    };
    apply(state, state::Command::AdvanceRollout(advance)).1
}

fn announce(state: &mut state::State, id: u8, version: &str) {
    let announcement = server::Announcement {
        id: format!("s{id}"),
        born: 1,
        sequence: 1,
        service: "reads".to_owned(),
        address: ([10, 0, 0, id], 80).into(),
        zone: "a".to_owned(),
        slots: 4,
        state: server::State::Ready,
        cold_left: clock::Millis::ZERO,
        version: version.to_owned(),
    };
    apply(state, state::Command::Announce(announcement));
}

/// Returns a registry with a server of each of two versions.
fn two_versions() -> state::State {
    let mut state = state::State::default();
    announce(&mut state, 1, "v1");
    announce(&mut state, 2, "v2");
    state
}

fn states(state: &state::State) -> Vec<server::State> {
    let records = state.servers.values();
    records.map(|record| record.announcement.state).collect()
}

fn stage(state: &state::State) -> plan::Stage {
    state.rollouts["reads"].stage
}

/// Guards against refusing the resend of an accepted order, and against accepting two different
/// ones.
#[test]
fn one_of_two_orders_wins_and_its_resend_is_accepted() {
    let mut state = two_versions();
    assert_eq!(start(&mut state, "v2", 0), state::Reply::Done);
    let order = state.index;
    assert_eq!(start(&mut state, "v2", 0), state::Reply::Done);
    assert_eq!(start(&mut state, "v2", order), state::Reply::Done);
    let conflict = state::Reply::Conflict { current: order };
    assert_eq!(start(&mut state, "v3", 0), conflict);
    assert_eq!(start(&mut state, "v3", order), conflict);
    assert_eq!(state.rollouts["reads"].order, order);
}

/// Guards against a delayed copy of an order that starts a second rollout after the first has
/// ended, and against refusing a later equal order.
#[test]
fn ended_rollout_is_started_again_only_by_a_new_order() {
    let mut state = two_versions();
    start(&mut state, "v2", 0);
    let order = state.index;
    advance(&mut state, order, plan::Stage::RolledBack);
    assert_eq!(start(&mut state, "v2", 0), state::Reply::Done);
    assert_eq!(stage(&state), plan::Stage::RolledBack);
    assert_eq!(start(&mut state, "v2", order), state::Reply::Done);
    assert_eq!(stage(&state), plan::Stage::Canary);
}

/// Guards against a late command of an earlier leader that moves a rollout back, skips a stage or
/// touches another order.
#[test]
fn late_steps_change_nothing() {
    let mut state = two_versions();
    start(&mut state, "v2", 0);
    let order = state.index;
    assert!(advance(&mut state, order, plan::Stage::Completed).is_empty());
    assert!(advance(&mut state, order + 1, plan::Stage::RolledBack).is_empty());
    assert!(advance(&mut state, order, plan::Stage::Canary).is_empty());
    assert_eq!(state.rollouts["reads"].elapsed, clock::Millis(2_000));
    advance(&mut state, order, plan::Stage::Promoting);
    advance(&mut state, order, plan::Stage::Completed);
    assert!(advance(&mut state, order, plan::Stage::RolledBack).is_empty());
    assert_eq!(stage(&state), plan::Stage::Completed);
}

/// Guards against servers that stay in service, or leave it, by the wrong outcome, and against
/// servers that are excluded from ordinary releases after a rollout.
#[test]
fn outcome_decides_which_servers_are_gone() {
    let mut completed = two_versions();
    start(&mut completed, "v2", 0);
    let order = completed.index;
    advance(&mut completed, order, plan::Stage::Promoting);
    advance(&mut completed, order, plan::Stage::Completed);
    assert_eq!(
        states(&completed),
        [server::State::Gone, server::State::Ready]
    );
    announce(&mut completed, 3, "v1");
    announce(&mut completed, 4, "v3");
    assert_eq!(states(&completed)[2..], [server::State::Ready; 2]);
    assert!(!copy_of(&completed).is_excluded("reads", "v1"));

    let mut rolled_back = two_versions();
    start(&mut rolled_back, "v2", 0);
    let order = rolled_back.index;
    advance(&mut rolled_back, order, plan::Stage::RolledBack);
    assert_eq!(
        states(&rolled_back),
        [server::State::Ready, server::State::Gone]
    );
    let copy = copy_of(&rolled_back);
    assert!(copy.is_excluded("reads", "v2"));
    assert!(!copy.is_excluded("reads", "v1") && !copy.is_excluded("other", "v2"));
    start(&mut rolled_back, "v2", order);
    assert!(!copy_of(&rolled_back).is_excluded("reads", "v2"));
}

/// Guards against a rollout whose end leaves a service without servers.
#[test]
fn last_servers_of_a_service_stay() {
    let mut only_old = state::State::default();
    announce(&mut only_old, 1, "v1");
    start(&mut only_old, "v2", 0);
    let order = only_old.index;
    advance(&mut only_old, order, plan::Stage::Promoting);
    advance(&mut only_old, order, plan::Stage::Completed);
    assert_eq!(states(&only_old), [server::State::Ready]);
    let mut only_new = state::State::default();
    announce(&mut only_new, 1, "v2");
    start(&mut only_new, "v2", 0);
    let order = only_new.index;
    advance(&mut only_new, order, plan::Stage::RolledBack);
    assert_eq!(states(&only_new), [server::State::Ready]);
}

fn copy_of(state: &state::State) -> follow::LocalCopy {
    let mut copy = follow::LocalCopy::default();
    let reply = follow::SyncReply {
        is_current: true,
        index: state.index,
        is_whole: true,
        changes: state.full_changes(),
        entries: None,
        coordinators: Vec::new(),
        confirmation_age: None,
    };
    copy.apply(clock::Millis(1), reply);
    copy
}

/// Guards against a follower that gets a superseded stage, or whose copy differs from the registry.
#[test]
fn followers_get_the_newest_stage() {
    let mut state = two_versions();
    let mut feed = feed::Feed::default();
    start(&mut state, "v2", 0);
    let order = state.index;
    let begun = feed::Change::Rollout("reads".to_owned(), state.rollouts["reads"].clone());
    feed.extend(order, [begun.clone()]);
    assert_eq!(feed.since(0), Some(vec![begun]));
    let changes = advance(&mut state, order, plan::Stage::Promoting);
    feed.extend(state.index, changes.clone());
    assert_eq!(feed.since(0), Some(changes));
    assert_eq!(copy_of(&state).rollouts["reads"].1, state.rollouts["reads"]);
}

/// Guards against stored records and messages that change without rollouts, so that other builds
/// cannot decode them.
#[test]
fn records_without_versions_are_unchanged() {
    type Former = (
        String,
        u64,
        u64,
        String,
        net::SocketAddr,
        String,
        u32,
        server::State,
        u64,
    );
    let mut state = state::State::default();
    announce(&mut state, 1, "");
    let announcement = &state.servers["s1"].announcement;
    let encoded = rmp_serde::to_vec(announcement).expect("it can be encoded");
    let former: Former = rmp_serde::from_slice(&encoded).expect("the former fields only");
    assert_eq!(former.0, "s1");
    assert_eq!(
        rmp_serde::from_slice(&encoded).ok().as_ref(),
        Some(announcement)
    );
    let named = rmp_serde::to_vec_named(&state).expect("it can be encoded");
    let text = String::from_utf8_lossy(&named);
    assert!(!text.contains("rollouts"));
    assert_eq!(text.matches("version").count(), 1, "only that of the state");
    assert_eq!(rmp_serde::from_slice(&named).ok(), Some(state));
}
