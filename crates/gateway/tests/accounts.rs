//! Tests of client accounts on the path of a request, over loopback connections: what servers get to
//! see, and which requests reach none.

mod stub;

use nutmegdale_accounts::{account, key};
use nutmegdale_base::{class, clock};
use nutmegdale_gateway::settings;
use nutmegdale_quota::gate;
use nutmegdale_registry::config;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use stub::observe::{Answer, Heads};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time on the clock before anything happens, so that a confirmation may lie in the past.
const UPTIME_MS: clock::Millis = clock::Millis(100_000);
/// Time after which no key may be accepted once it is withdrawn.
const REVOCATION_MS: clock::Millis = clock::Millis(5_000);

fn account(name: &str, key: &str) -> account::Account {
    account::Account {
        name: name.to_owned(),
        keys: vec![key::Digest::of(key.as_bytes())],
        priority: None,
        limit: None,
        home_regions: Vec::new(),
    }
}

fn features() -> settings::Features {
    settings::Features {
        accounts: Some(settings::Accounts {
            revocation: Some(REVOCATION_MS),
        }),
        ..settings::Features::default()
    }
}

/// Gateway with recording servers.
struct Lab {
    harness: stub::Harness,
    heads: Heads,
}

impl Lab {
    /// Starts a gateway whose configuration has the account "acme" with the key "secret-1", and a
    /// public route at "/open/".
    async fn start(class: class::Class, answers: &[Answer]) -> Lab {
        Lab::start_with(class, answers, features(), None).await
    }

    async fn start_with(
        class: class::Class,
        answers: &[Answer],
        features: settings::Features,
        gate: Option<sync::Arc<dyn gate::Gate>>,
    ) -> Lab {
        let heads = Heads::default();
        let mut servers: Vec<(net::SocketAddr, &str)> = Vec::new();
        for answer in answers {
            let address = stub::observe::recording_server(*answer, &heads).await;
            servers.push((address, "zone"));
        }
        let setup = stub::Setup {
            features,
            gate,
            ..stub::Setup::default()
        };
        let mut harness = stub::Harness::start_setup(class, &servers, setup).await;
        harness.advance(UPTIME_MS);
        harness.reconfigure(|config| {
            config.accounts = Some(vec![account("acme", "secret-1")]);
            let mut open = config.routes[0].clone();
            open.name = "open".to_owned();
            open.prefix = "/open/".to_owned();
            open.is_public = true;
            config.routes.push(open);
        });
        harness.confirm(clock::Millis::ZERO);
        Lab { harness, heads }
    }

    fn set_accounts(&mut self, accounts: Option<Vec<account::Account>>) {
        self.harness
            .reconfigure(|config: &mut config::Config| config.accounts = accounts);
    }

    /// Returns the heads that servers received since the last call.
    fn take_heads(&self) -> Vec<hyper::HeaderMap> {
        std::mem::take(&mut *self.heads.lock().expect("no server panicked"))
    }

    /// Opens a connection and sends the head of a request with a body of four bytes.
    async fn begin(&self, path: &str, headers: &[u8]) -> TcpStream {
        let stream = TcpStream::connect(self.harness.address()).await;
        let mut stream = stream.expect("a gateway");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: host\r\nid: r\r\nconnection: close\r\n\
             content-length: 4\r\n"
        );
        let sent = [head.as_bytes(), headers, b"\r\n"].concat();
        stream.write_all(&sent).await.expect("an open connection");
        stream
    }

    /// Sends the body, and returns the status and the `retry-after` of the response.
    async fn end(&self, mut stream: TcpStream) -> (u16, Option<String>) {
        // A refusal may come before the body is read.
        drop(stream.write_all(b"body").await);
        let mut response = Vec::new();
        stream
            .read_to_end(&mut response)
            .await
            .expect("a whole response");
        let response = String::from_utf8_lossy(&response).to_lowercase();
        let status = response.split(' ').nth(1).and_then(|s| s.parse().ok());
        let retry_after = response
            .lines()
            .find_map(|line| line.strip_prefix("retry-after: "));
        (
            status.expect("a response with a status"),
            retry_after.map(str::to_owned),
        )
    }

    async fn send(&self, path: &str, headers: &[u8]) -> (u16, Option<String>) {
        let stream = self.begin(path, headers).await;
        self.end(stream).await
    }

    async fn status(&self, path: &str, headers: &[u8]) -> u16 {
        self.send(path, headers).await.0
    }

    fn counter(&self, name: &str) -> u64 {
        let text = self.harness.metrics_text();
        let name = format!("nutmegdale_callers_{name}_total ");
        let line = text.lines().find_map(|line| line.strip_prefix(&name));
        line.and_then(|value| value.parse().ok())
            .expect("a counter")
    }
}

const KEY: &[u8] = b"key: secret-1\r\n";

/// Guards against a server that learns a key, or takes a caller for an account that it only claims
/// to be; on a retry as on the first attempt, and on a public route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_get_the_account_and_neither_key_nor_forged_name() {
    let answers = [Answer::NotRun, Answer::NotRun, Answer::Complete];
    let lab = Lab::start(class::Class::UrgentLookup, &answers).await;
    let forged = b"Key: secret-1\r\nACCOUNT: other\r\naccount: root\r\n\
        Connection: account, close\r\n";
    let mut attempts_count = 0;
    for _ in 0..10 {
        lab.status("/path/x", forged).await;
        let heads = lab.take_heads();
        attempts_count += heads.len();
        for head in &heads {
            let names: Vec<_> = head.get_all("account").iter().collect();
            assert_eq!(names, ["acme"]);
            assert!(!head.contains_key("key"));
        }
    }
    assert!(attempts_count > 10, "no request was retried");
    for headers in [&forged[..], b"account: other\r\n", b""] {
        lab.status("/open/x", headers).await;
        for head in lab.take_heads() {
            assert!(!head.contains_key("account") && !head.contains_key("key"));
        }
    }
}

/// Guards against a hedge that lacks the account's name or carries the key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hedge_carries_the_account() {
    let lab = Lab::start(class::Class::UrgentLookup, &[Answer::Late; 3]).await;
    // A hedge is due at 270 ms of the target latency of 300 ms.
    lab.harness.expect_service_time(clock::Millis(20));
    let mut most = 0;
    for _ in 0..5 {
        assert_eq!(lab.status("/path/x", KEY).await, 200);
        let heads = lab.take_heads();
        most = most.max(heads.len());
        for head in &heads {
            assert_eq!(head["account"], "acme");
            assert!(!head.contains_key("key"));
        }
    }
    assert_eq!(most, 2, "no request was hedged");
}

/// Guards against a request that runs without a key of an account, and against a public route that
/// asks for one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_known_keys_and_public_routes_are_served() {
    let lab = Lab::start(class::Class::UrgentLookup, &[Answer::Complete]).await;
    for refused in [
        &b""[..],
        b"key: \r\n",
        b"key: secret-2\r\n",
        b"key: SECRET-1\r\n",
        b"key: secret-1, secret-1\r\n",
        b"key: secret-1\r\nkey: secret-1\r\n",
        b"key: secret-1\r\nKEY: secret-2\r\n",
        b"key: \xff\xfe\x80\r\n",
        b"key: secret-1\t\x80\r\n",
        b"account: acme\r\n",
        b"k_ey: secret-1\r\n",
    ] {
        let shown = String::from_utf8_lossy(refused);
        let refusal = lab.send("/path/x", refused).await;
        assert_eq!(refusal, (401, None), "{shown:?}");
        assert_eq!(lab.take_heads().len(), 0, "{shown:?}");
        assert_eq!(lab.status("/open/x", refused).await, 200, "{shown:?}");
        assert_eq!(lab.take_heads().len(), 1, "{shown:?}");
    }
    assert_eq!(lab.counter("unknown_key"), 11);
    assert_eq!(lab.status("/path/x", b"key:   secret-1  \r\n").await, 200);
}

/// Guards against a withdrawn key that is accepted by a process without contact to coordinators, and
/// against a final refusal of a key that a newer configuration may have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_without_confirmation_stops_accepting_keys() {
    let lab = Lab::start(class::Class::UrgentLookup, &[Answer::Complete]).await;
    let other = b"key: secret-2\r\n";
    lab.harness.confirm(clock::Millis::ZERO);
    lab.harness.advance(clock::Millis(2_700));
    assert_eq!(lab.status("/path/x", KEY).await, 200);
    let (status, retry_after) = lab.send("/path/x", other).await;
    assert_eq!((status, retry_after.as_deref()), (503, Some("0.200")));
    lab.take_heads();
    lab.harness.advance(clock::Millis(2_300));
    let (status, retry_after) = lab.send("/path/x", KEY).await;
    assert_eq!((status, retry_after.as_deref()), (503, Some("0.200")));
    assert_eq!(lab.status("/path/x", b"").await, 503);
    assert_eq!(lab.take_heads().len(), 0);
    assert_eq!(lab.status("/open/x", b"").await, 200);
    assert_eq!(lab.counter("stale_copy"), 3);
    lab.harness.confirm(clock::Millis::ZERO);
    assert_eq!(lab.status("/path/x", KEY).await, 200);
    assert_eq!(lab.status("/path/x", other).await, 401);
    let log = lab.harness.log_text();
    let position = |text| log.find(text).expect(text);
    assert!(position("account keys suspended") < position("account keys accepted"));
}

/// Guards against a request that is sent after its key was withdrawn or given to another account, or
/// after the copy became too old, while the request waited for its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_checked_again_before_the_send() {
    let accounts = |name, key| Some(vec![account(name, key)]);
    for (name, key, status) in [
        ("acme", "secret-1", 200),
        ("acme", "secret-2", 401),
        ("other", "secret-1", 503),
    ] {
        let mut lab = Lab::start(class::Class::OneTimeFiling, &[Answer::Complete]).await;
        let waiting = lab.begin("/path/x", KEY).await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        lab.set_accounts(accounts(name, key));
        assert_eq!(lab.end(waiting).await.0, status, "{name} {key}");
        let sent_count = usize::from(status == 200);
        assert_eq!(lab.take_heads().len(), sent_count, "{name} {key}");
    }
    let lab = Lab::start(class::Class::OneTimeFiling, &[Answer::Complete]).await;
    lab.harness.advance(clock::Millis(4_500));
    let waiting = lab.begin("/path/x", KEY).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    lab.harness.advance(clock::Millis(400));
    let (status, retry_after) = lab.end(waiting).await;
    assert_eq!(status, 503);
    assert!(retry_after.is_some());
    assert_eq!(lab.take_heads().len(), 0);
    assert_eq!(lab.counter("stale_copy"), 1);
}

/// Guards against a request that is served outside the home regions of its account, and against
/// retries of one that no region may serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn home_regions_of_the_account_hold() {
    let mut lab = Lab::start(class::Class::UrgentLookup, &[Answer::Complete]).await;
    let restricted = |regions: &[&str]| {
        let mut account = account("acme", "secret-1");
        account.home_regions = regions.iter().map(ToString::to_string).collect();
        Some(vec![account])
    };
    lab.set_accounts(restricted(&["region"]));
    assert_eq!(lab.status("/path/x", KEY).await, 200);
    lab.set_accounts(restricted(&["elsewhere"]));
    lab.take_heads();
    assert_eq!(lab.status("/path/x", KEY).await, 503, "no server there");
    lab.harness
        .reconfigure(|config| config.routes[0].home_regions = vec!["region".to_owned()]);
    let (status, retry_after) = lab.send("/path/x", KEY).await;
    assert_eq!(status, 503);
    assert!(retry_after.is_some());
    assert_eq!(lab.counter("no_common_region"), 1);
    lab.harness.advance(clock::Millis(2_500));
    assert_eq!(lab.status("/path/x", KEY).await, 503, "it may have changed");
    assert_eq!(lab.take_heads().len(), 0);
}

/// Gate with a fixed verdict that counts its calls.
struct FixedGate {
    verdict: gate::Verdict,
    acquired: atomic::AtomicUsize,
    refunded: atomic::AtomicUsize,
}

impl gate::Gate for FixedGate {
    fn acquire<'a>(
        &'a self,
        _account: &'a account::Account,
        _time_left: clock::Millis,
    ) -> gate::VerdictFuture<'a> {
        self.acquired.fetch_add(1, atomic::Ordering::SeqCst);
        Box::pin(std::future::ready(self.verdict))
    }

    fn refund(&self, _account: &account::Account) {
        self.refunded.fetch_add(1, atomic::Ordering::SeqCst);
    }
}

/// Guards against requests beyond the limit that reach a server, tokens that are kept although the
/// request did not run or returned although it ran, and costs for accounts without a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limited_accounts_take_and_return_tokens() {
    let retry_after = clock::Millis(120);
    for (verdict, answer, response, calls) in [
        (gate::Verdict::Granted, Answer::Complete, 200, (1, 0)),
        (gate::Verdict::Granted, Answer::NotRun, 503, (1, 1)),
        (
            gate::Verdict::OverLimit { retry_after },
            Answer::Complete,
            429,
            (1, 0),
        ),
        (
            gate::Verdict::Unavailable { retry_after },
            Answer::Complete,
            503,
            (1, 0),
        ),
    ] {
        let gate = sync::Arc::new(FixedGate {
            verdict,
            acquired: atomic::AtomicUsize::new(0),
            refunded: atomic::AtomicUsize::new(0),
        });
        let handle: sync::Arc<dyn gate::Gate> = sync::Arc::clone(&gate) as _;
        let class = class::Class::OneTimeFiling;
        let mut lab = Lab::start_with(class, &[answer], features(), Some(handle)).await;
        let counts = || {
            let count = |counter: &atomic::AtomicUsize| counter.load(atomic::Ordering::SeqCst);
            (count(&gate.acquired), count(&gate.refunded))
        };
        lab.status("/path/x", KEY).await;
        lab.status("/path/x", b"").await;
        assert_eq!(counts(), (0, 0), "{verdict:?}");
        let mut limited = account("acme", "secret-1");
        limited.limit = Some(account::Limit {
            rate_per_s: 1.0,
            burst: 1.0,
        });
        lab.set_accounts(Some(vec![limited]));
        lab.take_heads();
        let (status, after) = lab.send("/path/x", KEY).await;
        assert_eq!(status, response, "{verdict:?}");
        if verdict != gate::Verdict::Granted {
            assert_eq!(after.as_deref(), Some("0.120"));
            assert_eq!(lab.take_heads().len(), 0);
        }
        assert_eq!(counts(), calls, "{verdict:?} {answer:?}");
    }
}

/// Guards against a deployment without accounts that loses headers or refuses requests, at any age
/// of its copy. Only one whose settings ask for a revocation time refuses keys, once a newer
/// configuration may have withdrawn them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_accounts_nothing_is_required_or_removed() {
    let (class, answers) = (class::Class::UrgentLookup, [Answer::Complete]);
    let mut bound = Lab::start(class, &answers).await;
    let features = settings::Features::default();
    let mut lab = Lab::start_with(class, &answers, features, None).await;
    for lab in [&mut bound, &mut lab] {
        lab.set_accounts(None);
        assert_eq!(lab.status("/path/x", KEY).await, 200);
        lab.harness.advance(clock::Millis(60_000));
        assert_eq!(lab.status("/path/x", b"").await, 200);
        assert_eq!(lab.status("/open/x", KEY).await, 200);
        lab.take_heads();
    }
    assert_eq!(bound.status("/path/x", KEY).await, 503);
    assert_eq!(bound.take_heads().len(), 0);
    let headers = b"key: secret-9\r\nkey: two\r\naccount: mine\r\n";
    assert_eq!(lab.status("/path/x", headers).await, 200);
    let heads = lab.take_heads();
    assert_eq!(heads[0]["account"], "mine");
    assert_eq!(heads[0].get_all("key").iter().count(), 2);
    assert!(!lab.harness.metrics_text().contains("nutmegdale_callers_"));
    assert!(!lab.harness.log_text().contains("account"));
}

/// Guards against keys in logs and metrics, and against log lines that do not name the account.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn logs_and_metrics_name_the_account_and_no_key() {
    let answers = [Answer::NotRun, Answer::Complete];
    let lab = Lab::start(class::Class::UrgentLookup, &answers).await;
    lab.status("/path/x", KEY).await;
    lab.status("/path/x", b"key: secret-2\r\nkey: secret-3\r\n")
        .await;
    lab.status("/path/x", b"key: secret-4\r\n").await;
    lab.status("/open/x", b"key: secret-5\r\n").await;
    lab.harness.advance(clock::Millis(6_000));
    lab.status("/path/x", KEY).await;
    let (log, metrics) = (lab.harness.log_text(), lab.harness.metrics_text());
    assert!(log.contains("account=acme"), "{log}");
    assert!(log.contains("unknown-key age="), "{log}");
    assert!(log.contains("stale-copy age="), "{log}");
    for text in [&log, &metrics] {
        assert!(!text.contains("secret"), "{text}");
    }
}
