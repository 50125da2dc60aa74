//! Which requests a crash of a server is attributed to.

use nutmegdale_base::clock;
use nutmegdale_dispatch::crash;

/// Guards against crashes that are attributed to requests that only ran beside the one at fault.
#[test]
fn request_with_earlier_crashes_explains_the_next_one() {
    assert_eq!(crash::attributed(&[('a', 0), ('b', 0)], true), ['a', 'b']);
    assert_eq!(
        crash::attributed(&[('a', 0), ('b', 1), ('c', 0)], true),
        ['b']
    );
    assert_eq!(
        crash::attributed(&[('a', 1), ('b', 2), ('c', 2)], true),
        ['b', 'c']
    );
    assert_eq!(crash::attributed::<char>(&[], true), []);
}

/// Guards against requests that are suspected when a zone loses power, and against one that goes
/// unnoticed since it comes many times at once.
#[test]
fn crashes_of_several_servers_at_once_are_laid_to_repeated_requests_only() {
    let recent = crash::Recent::default();
    let at = clock::Millis;
    assert!(recent.record(at(1_000), 1));
    assert!(recent.record(at(1_050), 2));
    assert!(recent.record(at(1_060), 2), "the same server");
    assert!(!recent.record(at(1_100), 3));
    assert!(!recent.record(at(1_200), 4));
    assert!(recent.record(at(2_000), 5));
    assert_eq!(crash::attributed(&[('a', 0), ('b', 0)], false), []);
    assert_eq!(crash::attributed(&[('a', 0), ('b', 1)], false), ['b']);
}
