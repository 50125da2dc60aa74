//! Rules of configurations.

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
            cold_per_s: 1.0,
        }],
        listeners: config::Listeners {
            head_max_bytes: 16_384,
            body_max_bytes: 1_000,
            header_timeout: clock::Millis(3_000),
            idle_timeout: clock::Millis(15_000),
        },
    })
}

/// Guards against an invalid configuration that is put in force.
#[test]
fn each_broken_rule_is_named() {
    assert_eq!(check(vec![route()]), Ok(()));
    let faulty = |change: &dyn Fn(&mut config::Route)| {
        let mut route = route();
        change(&mut route);
        check(vec![route])
    };
    let name = "r".to_owned();
    let fault = faulty(&|r| r.timeout = clock::Millis::ZERO);
    assert_eq!(fault, Err(config::Error::Timeout(name.clone())));
    let fault = faulty(&|r| r.timeout = clock::Millis(600_001));
    assert_eq!(fault, Err(config::Error::Timeout(name.clone())));
    let fault = faulty(&|r| r.attempts_max = 0);
    assert_eq!(fault, Err(config::Error::NoAttempt(name.clone())));
    let fault = faulty(&|r| r.targets[0].weight = 0.0);
    assert_eq!(fault, Err(config::Error::NoTarget(name.clone())));
    let fault = faulty(&|r| r.targets[0].weight = f64::NAN);
    assert_eq!(fault, Err(config::Error::NoTarget(name.clone())));
    let fault = faulty(&|r| r.prefix = "p/".to_owned());
    assert_eq!(fault, Err(config::Error::Prefix(name.clone())));
    let fault = faulty(&|r| r.targets[0].service = "t".to_owned());
    assert!(matches!(fault, Err(config::Error::UnknownService { .. })));
    let fault = check(vec![route(), route()]);
    assert!(matches!(fault, Err(config::Error::DuplicateRoute { .. })));
}
