//! Tests of the memory for buffered bodies.

use nutmegdale_base::class;
use nutmegdale_gateway::buffer;
use std::sync;
use std::time;

mod stub;

use stub::raw::{Output, RawServer, id_of, is_health_check};

const STEP_BYTES: usize = 1024 * 1024;
/// Time within which bodies are dropped.
const WAIT: time::Duration = time::Duration::from_secs(5);
const STEP: time::Duration = time::Duration::from_millis(10);

/// Reserves memory in large steps until none is left.
fn exhaust(budget: &sync::Arc<buffer::Budget>) -> Vec<buffer::Reservation> {
    let mut reservations = Vec::new();
    loop {
        let mut reservation = buffer::Reservation::new(budget);
        if !reservation.extend_to(buffer::FREE_BYTES + STEP_BYTES) {
            return reservations;
        }
        reservations.push(reservation);
    }
}

/// Waits until no memory is reserved: a body may be dropped after its receiver has all of it.
async fn wait_until_unused(budget: &buffer::Budget) {
    for _ in 0..WAIT.as_millis() / STEP.as_millis() {
        if budget.used_bytes() == 0 {
            return;
        }
        tokio::time::sleep(STEP).await;
    }
    panic!("{} bytes are still reserved", budget.used_bytes());
}

/// Guards against bodies that together hold more than the process may use, and against memory that
/// stays reserved after its body has gone.
#[test]
fn reservations_share_one_budget_and_give_it_back() {
    let budget = sync::Arc::new(buffer::Budget::new());
    let reservations = exhaust(&budget);
    assert_eq!(budget.used_bytes(), reservations.len() * STEP_BYTES);
    assert_eq!(budget.exhausted_count(), 1);
    let mut small = buffer::Reservation::new(&budget);
    assert!(
        small.extend_to(buffer::FREE_BYTES),
        "a small body needs none"
    );
    assert!(!small.extend_to(buffer::FREE_BYTES + STEP_BYTES));
    drop(reservations);
    assert_eq!(budget.used_bytes(), 0);
    assert!(small.extend_to(buffer::FREE_BYTES + STEP_BYTES));
    assert!(small.extend_to(STEP_BYTES), "a smaller body fits already");
    assert_eq!(budget.used_bytes(), STEP_BYTES);
}

/// Guards against a large response that is cut or changed, with and without memory to buffer it.
#[tokio::test]
async fn large_responses_are_whole_without_memory_for_buffers() {
    const SIZES: [usize; 5] = [0, 16 * 1024, 100_000, 1024 * 1024, 3_000_000];
    for size in SIZES {
        let text: String = (0..)
            .flat_map(|n: usize| n.to_string().into_bytes())
            .map(char::from)
            .take(size)
            .collect();
        let body = text.clone();
        let respond = move |_: usize, head: &str| {
            let head = match is_health_check(head) {
                true => {
                    return Output::Bytes(
                        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
                    );
                }
                false => id_of(head),
            };
            Output::Bytes(format!(
                "HTTP/1.1 200 OK\r\nsigned: 1\r\nid: {head}\r\ncontent-length: {size}\r\n\r\n{body}"
            ))
        };
        let server = RawServer::start(&sync::Arc::default(), respond).await;
        let harness =
            stub::Harness::start_with(class::Class::UrgentLookup, &[server.address]).await;
        assert_eq!(harness.send("buffered").await.body, text);
        assert_eq!(harness.buffer_budget().exhausted_count(), 0);
        let reservations = exhaust(harness.buffer_budget());
        assert_eq!(harness.send("streamed").await.body, text);
        drop(reservations);
        wait_until_unused(harness.buffer_budget()).await;
    }
}
