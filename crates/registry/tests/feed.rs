//! Changes that followers fetch.

use nutmegdale_registry::{document, feed};

fn configuration(version: u64) -> feed::Change {
    feed::Change::Configuration {
        version,
        document: document::Document::pack(format!("version {version}").as_bytes()),
    }
}

/// Guards against followers on slow links that fetch every version of a large configuration which
/// changed several times since their last sync.
#[test]
fn follower_gets_the_newest_of_changes_that_replace_each_other() {
    let mut feed = feed::Feed::default();
    for version in 1..=25 {
        feed.extend(version, [configuration(version)]);
        feed.extend(
            version,
            [feed::Change::ZonesOut(vec![format!("z{version}")])],
        );
    }
    feed.extend(26, [feed::Change::Forgotten("s1".to_owned())]);
    feed.extend(27, [feed::Change::Forgotten("s2".to_owned())]);
    let changes = feed.since(3).expect("nothing was dropped");
    let expected = [
        configuration(25),
        feed::Change::ZonesOut(vec!["z25".to_owned()]),
        feed::Change::Forgotten("s1".to_owned()),
        feed::Change::Forgotten("s2".to_owned()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(feed.since(27).expect("nothing was dropped"), []);
}
