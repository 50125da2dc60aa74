//! Tests the history checker itself: it must find each kind of violation and accept a correct
//! history.

use nutmegdale_verifier::history::{Event, Violation, check};

fn applied(replica: u64, index: u64, command: u64) -> Event {
    let command = Some(command);
    Event::Applied {
        replica,
        index,
        command,
    }
}

fn accepted(command: u64, index: u64) -> [Event; 2] {
    [
        Event::Proposed { command },
        Event::Accepted { command, index },
    ]
}

fn correct_history() -> Vec<Event> {
    let mut events = vec![Event::Leads {
        term: 1,
        replica: 1,
    }];
    events.extend([applied(1, 1, 10), applied(2, 1, 10)]);
    events.extend(accepted(10, 1));
    events.push(Event::ReadStarted { read: 1 });
    events.push(Event::ReadDone { read: 1, index: 1 });
    events.push(Event::Restored {
        replica: 3,
        index: 1,
        commands: vec![10],
    });
    events.push(applied(3, 2, 20));
    events
}

fn violation_kinds(extra: &[Event]) -> Vec<String> {
    let mut events = correct_history();
    events.extend_from_slice(extra);
    let kind = |v: &Violation| {
        format!("{v:?}")
            .split([' ', '{'])
            .next()
            .unwrap_or("")
            .to_owned()
    };
    check(&events).iter().map(kind).collect()
}

#[test]
fn correct_history_has_no_violations() {
    assert_eq!(check(&correct_history()), []);
}

#[test]
fn each_violation_is_found() {
    let restored = |commands| Event::Restored {
        replica: 4,
        index: 1,
        commands,
    };
    let refused = Event::Refused { command: 20 };
    let read = [
        Event::ReadStarted { read: 2 },
        Event::ReadDone { read: 2, index: 0 },
    ];
    assert_eq!(
        violation_kinds(&[Event::Leads {
            term: 1,
            replica: 2
        }]),
        ["TwoLeaders"]
    );
    assert_eq!(violation_kinds(&[applied(3, 4, 40)]), ["OutOfOrder"]);
    assert_eq!(violation_kinds(&[applied(2, 2, 21)]), ["Differs"]);
    assert_eq!(violation_kinds(&[applied(3, 3, 10)]), ["AppliedTwice"]);
    assert_eq!(violation_kinds(&accepted(11, 1)), ["Lost"]);
    assert_eq!(violation_kinds(&accepted(30, 3)), ["Lost"]);
    assert_eq!(violation_kinds(&[refused]), ["RefusedButApplied"]);
    assert_eq!(
        violation_kinds(&[Event::Proposed { command: 10 }]),
        ["Reordered"]
    );
    assert_eq!(violation_kinds(&read), ["StaleRead"]);
    assert_eq!(violation_kinds(&[restored(vec![])]), ["StateDiffers"]);
    assert_eq!(
        violation_kinds(&[Event::Settled { replica: 9 }]),
        ["Behind"]
    );
}
