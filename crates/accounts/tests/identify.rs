//! Tests of whose request it is, for every key and every age of the copy.

use nutmegdale_accounts::{account, identify, index, key, lease};
use nutmegdale_base::clock;

const REVOCATION_MS: clock::Millis = clock::Millis(5_000);

fn account(name: &str, keys: &[&[u8]]) -> account::Account {
    account::Account {
        name: name.to_owned(),
        keys: keys.iter().copied().map(key::Digest::of).collect(),
        priority: None,
        limit: None,
        home_regions: Vec::new(),
    }
}

fn two_accounts() -> index::Index {
    index::Index::new(&[account("a", &[b"k1", b"k2"]), account("b", &[b"\xff\x00"])])
}

/// Returns the name of the account, "" for a public route, or the refusal.
fn identify(
    index: &index::Index,
    revocation: Option<clock::Millis>,
    age: u64,
    is_public: bool,
    presented: key::Presented<'_>,
) -> Result<String, identify::Refusal> {
    let copy = identify::Copy {
        index,
        lease: lease::Lease::new(revocation),
        age: clock::Millis(age),
    };
    copy.identify(is_public, presented)
        .map(|caller| match caller {
            identify::Caller::Public => String::new(),
            identify::Caller::Account(account, _) => account.name.clone(),
        })
}

/// Guards against a caller who is taken for another account, or for one without a valid key.
#[test]
fn keys_identify_their_account_only() {
    use identify::Refusal::UnknownKey;
    let index = two_accounts();
    let identify = |presented| identify(&index, Some(REVOCATION_MS), 0, false, presented);
    let of = |key| identify(key::Presented::One(key));
    assert_eq!(of(b"k1").as_deref(), Ok("a"));
    assert_eq!(of(b"k2").as_deref(), Ok("a"));
    assert_eq!(of(b"\xff\x00").as_deref(), Ok("b"));
    for unknown in [&b"K1"[..], b"k1 ", b"k", b"k1k2", b"k1,k2", b"\xff", b""] {
        assert_eq!(of(unknown), Err(UnknownKey), "{unknown:?}");
    }
    assert_eq!(identify(key::Presented::Missing), Err(UnknownKey));
    assert_eq!(identify(key::Presented::Several), Err(UnknownKey));
}

/// Guards against a key that counts although the request has several, and an empty one.
#[test]
fn values_of_a_header_are_one_key_or_none() {
    let presented = |values: &[&'static [u8]]| key::Presented::from_values(values.iter().copied());
    assert_eq!(presented(&[]), key::Presented::Missing);
    assert_eq!(presented(&[b""]), key::Presented::Missing);
    assert_eq!(presented(&[b"k1"]), key::Presented::One(b"k1"));
    assert_eq!(presented(&[b"k1", b"k1"]), key::Presented::Several);
    assert_eq!(presented(&[b"k1", b""]), key::Presented::Several);
    assert_eq!(presented(&[b"", b"k1"]), key::Presented::Several);
}

/// Guards against a withdrawn key that is accepted a millisecond too long, a lease that ends while
/// it need not, and a 401 from a copy that may lack a new key.
#[test]
fn lease_and_refusals_change_at_their_exact_age() {
    use identify::Refusal::{StaleCopy, UnknownKey};
    let index = two_accounts();
    let known = key::Presented::One(b"k1");
    let at = |age, presented| identify(&index, Some(REVOCATION_MS), age, false, presented);
    for (age, accepted, unknown) in [
        (0, Ok("a"), UnknownKey),
        (2_499, Ok("a"), UnknownKey),
        (2_500, Ok("a"), StaleCopy),
        (4_899, Ok("a"), StaleCopy),
        (4_900, Err(StaleCopy), StaleCopy),
        (u64::MAX, Err(StaleCopy), StaleCopy),
    ] {
        let accepted = accepted.map(str::to_owned);
        assert_eq!(at(age, known), accepted, "known key at {age}");
        for presented in [
            key::Presented::One(b"x"),
            key::Presented::Missing,
            key::Presented::Several,
        ] {
            assert_eq!(at(age, presented), Err(unknown), "{presented:?} at {age}");
        }
        let public = identify(&index, Some(REVOCATION_MS), age, true, known);
        assert_eq!(public.as_deref(), Ok(""), "public route at {age}");
        let unlimited = identify(&index, None, age, false, known);
        assert_eq!(unlimited.as_deref(), Ok("a"), "no revocation at {age}");
    }
}

/// Guards against a clock that stands still while the VM is suspended, and against a process that
/// stays expired after it has new evidence: the age is all that counts.
#[test]
fn time_of_a_suspension_counts() {
    use nutmegdale_base::clock::Clock;
    let index = two_accounts();
    let known = key::Presented::One(b"k1");
    let clock = clock::ManualClock::new(clock::Millis(1_000));
    let mut confirmed_at = clock.now();
    let decide = |confirmed_at| {
        let age = clock.now().since(confirmed_at);
        identify(&index, Some(REVOCATION_MS), age.0, false, known).is_ok()
    };
    assert!(decide(confirmed_at));
    clock.advance(clock::Millis(6_000));
    assert!(!decide(confirmed_at), "nothing was checked meanwhile");
    confirmed_at = clock.now();
    assert!(decide(confirmed_at));
}

/// Guards against a request that is sent with a key that was withdrawn, or given to another account,
/// while the request waited.
#[test]
fn key_is_confirmed_against_the_current_copy() {
    let before = account("a", &[b"k1"]);
    let digest = key::Digest::of(b"k1");
    let confirm = |accounts: &[account::Account], age| {
        let index = index::Index::new(accounts);
        let copy = identify::Copy {
            index: &index,
            lease: lease::Lease::new(Some(REVOCATION_MS)),
            age: clock::Millis(age),
        };
        copy.confirm(&before, &digest)
    };
    use identify::Refusal;
    let changed = account("a", &[b"k0", b"k1"]);
    assert_eq!(confirm(std::slice::from_ref(&changed), 4_899), Ok(()));
    assert_eq!(confirm(&[changed], 4_900), Err(Refusal::StaleCopy));
    let withdrawn = account("a", &[b"k2"]);
    let withdrawn = std::slice::from_ref(&withdrawn);
    assert_eq!(confirm(withdrawn, 2_499), Err(Refusal::UnknownKey));
    assert_eq!(confirm(withdrawn, 2_500), Err(Refusal::StaleCopy));
    let other = account("b", &[b"k1"]);
    assert_eq!(confirm(&[other], 0), Err(Refusal::Reassigned));
    assert_eq!(confirm(&[], 0), Err(Refusal::UnknownKey));
}

/// Guards against a request that leaves the regions of its route or of its account.
#[test]
fn regions_of_route_and_account_both_apply() {
    let list = |names: &[&str]| -> Vec<String> { names.iter().map(ToString::to_string).collect() };
    let common = |route: &[&str], account: &[&str]| {
        let (route, account) = (list(route), list(account));
        identify::common_regions(&route, &account).map(std::borrow::Cow::into_owned)
    };
    assert_eq!(common(&[], &[]), Some(list(&[])));
    assert_eq!(common(&["x"], &[]), Some(list(&["x"])));
    assert_eq!(common(&[], &["y"]), Some(list(&["y"])));
    assert_eq!(common(&["x", "y"], &["y", "z"]), Some(list(&["y"])));
    assert_eq!(common(&["x"], &["y"]), None);
}

/// Guards against an index that loses or mixes up keys when there are many, and against keys or
/// digests in the text that a developer may print.
#[test]
fn index_finds_each_of_many_keys_and_prints_none() {
    const ACCOUNTS_COUNT: usize = 1_000;
    let accounts: Vec<_> = (0..ACCOUNTS_COUNT)
        .map(|n| account(&format!("name-{n}"), &[format!("secret-{n}").as_bytes()]))
        .collect();
    let index = index::Index::new(&accounts);
    assert_eq!(index.accounts_count(), ACCOUNTS_COUNT);
    for account in &accounts {
        let found = index.find(&account.keys[0]);
        assert_eq!(found.map(|found| &found.name), Some(&account.name));
    }
    assert!(index.find(&key::Digest::of(b"secret-1000")).is_none());
    let presented = key::Presented::One(b"secret-1");
    let printed = format!("{index:?} {:?} {presented:?}", accounts[1]);
    assert!(!printed.contains("secret"), "{printed}");
    let byte = key::Digest::of(b"secret-1").bytes()[0];
    assert!(!printed.contains(&format!("{byte},")), "{printed}");
}

/// Guards against digests in configurations that are misread, which would lock an account out.
#[test]
fn digests_are_parsed_from_hexadecimal_digits() {
    let text = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    let digest = key::Digest::parse_hex(text).expect("a valid digest");
    assert!(digest.is_of(b"secret") && !digest.is_of(b"Secret"));
    for invalid in ["", &text[1..], &text.to_uppercase(), &format!("{text}0")] {
        assert_eq!(key::Digest::parse_hex(invalid), None, "{invalid:?}");
    }
    let not_hex = text.replace('b', "g");
    assert_eq!(key::Digest::parse_hex(&not_hex), None);
}
