//! Validation of configurations.

use nutmegdale_base::{class, clock};
use nutmegdale_registry::config;

fn route() -> config::Route {
    config::Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/p/".to_owned(),
        class: class::Class::UrgentLookup,
        timeout: clock::Millis(800),
        target_latency: clock::Millis(250),
        priority: 1,
        targets: vec![config::Target {
            service: "s".to_owned(),
            weight: 1.0,
        }],
        attempts_max: 2,
        home_regions: Vec::new(),
        is_public: false,
    }
}

fn check(routes: Vec<config::Route>) -> Result<(), config::Error> {
    config::check(&config::Config {
        version: 1,
        routes,
        services: vec![config::Service {
            name: "s".to_owned(),
            health_path: "/health".to_owned(),
            connections_max: 10,
            warmup: clock::Millis::ZERO,
            cold_requests_per_s: 1.0,
        }],
        listeners: config::Listeners {
            head_max_bytes: 16_384,
            body_max_bytes: 1_000,
            header_timeout: clock::Millis(3_000),
            idle_timeout: clock::Millis(15_000),
        },
        accounts: None,
    })
}

/// Guards against accepting an invalid configuration.
#[test]
fn each_violated_rule_is_reported() {
    assert_eq!(check(vec![route()]), Ok(()));
    let check_changed = |change: &dyn Fn(&mut config::Route)| {
        let mut route = route();
        change(&mut route);
        check(vec![route])
    };
    let name = "r".to_owned();
    let result = check_changed(&|r| r.timeout = clock::Millis::ZERO);
    assert_eq!(result, Err(config::Error::InvalidTimeout(name.clone())));
    let result = check_changed(&|r| r.timeout = clock::Millis(600_001));
    assert_eq!(result, Err(config::Error::InvalidTimeout(name.clone())));
    let result = check_changed(&|r| r.attempts_max = 0);
    assert_eq!(result, Err(config::Error::NoAttempts(name.clone())));
    let result = check_changed(&|r| r.targets[0].weight = 0.0);
    assert_eq!(result, Err(config::Error::InvalidWeights(name.clone())));
    let result = check_changed(&|r| r.targets[0].weight = f64::NAN);
    assert_eq!(result, Err(config::Error::InvalidWeights(name.clone())));
    let result = check_changed(&|r| r.prefix = "p/".to_owned());
    assert_eq!(result, Err(config::Error::InvalidPrefix(name.clone())));
    let result = check_changed(&|r| r.targets[0].service = "t".to_owned());
    assert!(matches!(result, Err(config::Error::UnknownService { .. })));
    let result = check(vec![route(), route()]);
    assert!(matches!(result, Err(config::Error::DuplicateRoute { .. })));
}
