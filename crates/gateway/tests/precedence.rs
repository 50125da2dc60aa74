//! Tests of a gateway whose service has requests of several priorities.

mod stub;

use nutmegdale_base::class;
use stub::Behaviour;

/// Guards against less urgent requests that take the last slots of a full service, and against a
/// service with one priority that refuses what it would have served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn less_urgent_request_leaves_the_last_slots_free() {
    let behaviours = [Behaviour::Answer; 8];
    let class = class::Class::UrgentLookup;
    let mut harness = stub::Harness::start(class, &behaviours).await;
    harness.report_load(4);
    assert_eq!(harness.send("single priority").await.status, 200);
    harness.add_patient_route();
    // Slots are kept free only while urgent requests come.
    for n in 0..4 {
        harness.report_load(1);
        assert_eq!(harness.send(&format!("usual {n}")).await.status, 200);
    }
    harness.report_load(4);
    let refused = harness.try_send_to("/patient/x", "patient").await;
    let refused = refused.expect("a complete response");
    assert_eq!(refused.status, 503);
    // The timeout of the route is 900 ms.
    let is_in_time = |secs: f64| secs > 0.0 && secs <= 0.3;
    assert!(refused.retry_after.is_some_and(is_in_time), "{refused:?}");
    assert_eq!(harness.runs("patient"), 0);
    harness.report_load(4);
    assert_eq!(harness.send("urgent").await.status, 200);
    harness.report_load(1);
    let served = harness.try_send_to("/patient/x", "calm").await;
    assert_eq!(served.expect("a complete response").status, 200);
}
