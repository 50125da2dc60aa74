//! Tests the stand-in itself: if it did not collapse, refuse or count as documented, tests that check
//! guarantees by its counters would pass without testing anything.

use nutmegdale_membership::announcement;
use nutmegdale_testkit::{addresses, http, link, standin};
use std::net;
use std::sync;
use std::time;

struct Server {
    address: net::SocketAddr,
    shared: sync::Arc<standin::Shared>,
    _standin: standin::StandIn,
}

async fn start(change: impl FnOnce(&mut standin::Behaviour)) -> Server {
    let address = addresses::Addresses::reserve().next_address();
    let announced = announcement::Announcement {
        server: "reads-1".to_owned(),
        service: "reads".to_owned(),
        address,
        zone: "zone-a".to_owned(),
        slots: 2,
        connections: 8,
        cold_slots: 1,
        state: announcement::ServerState::Warm,
        incarnation: 1,
        sequence: 0,
    };
    let mut behaviour = standin::Behaviour {
        service_time: time::Duration::from_millis(50),
        ..standin::Behaviour::default()
    };
    change(&mut behaviour);
    let started = standin::StandIn::start(announced, Vec::new(), behaviour).await;
    let standin = started.expect("address is free");
    Server {
        address,
        shared: sync::Arc::clone(&standin.shared),
        _standin: standin,
    }
}

async fn send_many(address: net::SocketAddr, count: usize) -> Vec<http::Answer> {
    let sent = (0..count).map(|_| {
        tokio::spawn(async move { http::send(address, &http::Request::get("/a", &[])).await })
    });
    let mut answers = Vec::new();
    for task in sent.collect::<Vec<_>>() {
        answers.push(task.await.expect("no panic").expect("answer"));
    }
    answers
}

#[tokio::test]
async fn full_queue_refuses_requests_and_slots_limit_concurrency() {
    let server = start(|b| b.queue_max_count = 2).await;
    let answers = send_many(server.address, 7).await;
    let refused = answers
        .iter()
        .filter(|a| a.header("nutmegdale-refused") == "not-run");
    let refused = refused.count();
    assert!(refused > 0);
    assert_eq!(server.shared.refused.get(), refused as u64);
    assert_eq!(server.shared.executions().len(), 7 - refused);
    assert_eq!(server.shared.running_max(), 2);
}

#[tokio::test]
async fn cold_server_collapses_over_its_cold_slots_and_warms_up_within_them() {
    let server = start(|b| {
        b.state = announcement::ServerState::Cold;
        b.collapse_time = time::Duration::from_millis(400);
        b.warm_after_count = Some(2);
    })
    .await;
    let begin = time::Instant::now();
    send_many(server.address, 2).await;
    assert!(begin.elapsed() >= time::Duration::from_millis(400));
    assert_eq!(server.shared.collapses.get(), 1);
    assert_eq!(server.shared.cold_max(), 2);
    send_many(server.address, 1).await;
    let answer = send_many(server.address, 1).await.remove(0);
    assert!(answer.header("nutmegdale-load").ends_with("state=warm"));
}

#[tokio::test]
async fn client_disconnect_is_counted_as_cancelled() {
    let server = start(|b| b.service_time = time::Duration::from_secs(5)).await;
    let address = server.address;
    let sent = tokio::spawn(async move {
        let req = http::Request::get("/a", &[]);
        let sent = http::send(address, &req);
        tokio::time::timeout(time::Duration::from_millis(100), sent)
            .await
            .is_err()
    });
    assert!(sent.await.expect("no panic"));
    for _ in 0..100 {
        if server.shared.cancelled.get() == 1 && server.shared.load().running == 0 {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("the cancelled request was not counted");
}

#[tokio::test]
async fn deadline_ends_a_running_request() {
    let server = start(|b| b.service_time = time::Duration::from_secs(5)).await;
    let headers = [("nutmegdale-deadline-ms", "50")];
    let answer = http::send(server.address, &http::Request::get("/a", &headers)).await;
    assert_eq!(answer.expect("answer").status, 504);
    assert_eq!(server.shared.expired.get(), 1);
}

#[tokio::test]
async fn late_arrivals_and_silent_cold_start_are_counted() {
    let server = start(|_| ()).await;
    server
        .shared
        .set(|b| b.state = announcement::ServerState::Draining);
    send_many(server.address, 1).await;
    assert_eq!(server.shared.late_arrivals().len(), 1);
    server.shared.turn_cold_silently();
    send_many(server.address, 1).await;
    assert_eq!(server.shared.cold_max(), 1);
}

#[tokio::test]
async fn partitioned_link_holds_the_answer_until_it_heals() {
    let server = start(|b| b.service_time = time::Duration::ZERO).await;
    let state = link::State {
        delay: time::Duration::from_millis(5),
        is_back_cut: true,
        ..link::State::default()
    };
    let near = addresses::Addresses::reserve().next_address();
    let link = link::Link::start(near, server.address, state)
        .await
        .expect("address is free");
    let sent = tokio::spawn(async move { http::send(near, &http::Request::get("/a", &[])).await });
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(server.shared.executed.get(), 1);
    assert!(!sent.is_finished());
    link.set(|state| state.is_back_cut = false);
    assert_eq!(sent.await.expect("no panic").expect("answer").status, 200);
}
