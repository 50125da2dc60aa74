//! The operator: configurations, and how they are sent.

use crate::http;
use crate::record;
use std::net;
use std::time;

/// Time after which a caller of the control processes tries another one.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Returns a configuration with the given rows of routes, in the format of the platform.
pub fn document(version: u32, routes: &[&str], service: &str) -> String {
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","pathPrefix","type","timeout","targetLatency","priority","trafficSplit","maxAttempts","allowedRegions","service"],"rows":[{}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls","warmup","warmupPerS"],"rows":[["{service}","/health",880,"h1",false,"3s",6.7]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        routes.join(",")
    )
}

/// Sends a configuration once; returns the status, or `None` without a response.
pub fn put(address: net::SocketAddr, base: u32, document: &str) -> Option<u16> {
    let base = format!("{base:08x}");
    let headers = [
        ("X-Base-Version", base.as_str()),
        ("Content-Type", "application/json"),
    ];
    let sent = http::send(
        address,
        "POST /Config.Put",
        &headers,
        document.as_bytes(),
        CALL_TIMEOUT,
    );
    sent.ok().map(|response| response.status)
}

/// Sends a configuration to one process after the other until one gives a clear answer, for at most
/// `limit`; returns that status.
pub fn put_until_answered(
    record: &record::Record,
    addresses: &[net::SocketAddr],
    base: u32,
    document: &str,
    limit: time::Duration,
) -> Option<u16> {
    let end = time::Instant::now() + limit;
    let mut unclear_count = 0;
    while time::Instant::now() < end {
        for address in addresses {
            match put(*address, base, document) {
                Some(status) if status < 500 && status != 408 && status != 429 => {
                    record.line(&format!(
                        "operator: {address} answers {status}, after {unclear_count} unclear answers"
                    ));
                    return Some(status);
                }
                answer => {
                    unclear_count += 1;
                    if unclear_count <= 12 {
                        record.line(&format!("operator: {address}: {answer:?}"));
                    }
                }
            }
            std::thread::sleep(time::Duration::from_millis(200));
        }
    }
    record.line(&format!(
        "operator: gives up after {unclear_count} unclear answers"
    ));
    None
}

/// Returns the configuration in force, from the first process that gives it.
pub fn get(addresses: &[net::SocketAddr]) -> Option<String> {
    let read = |address: &net::SocketAddr| {
        http::send(*address, "GET /Config.Get", &[], b"", CALL_TIMEOUT).ok()
    };
    let mut read = addresses.iter().filter_map(read);
    let found = read.find(|response| response.status == 200)?;
    Some(String::from_utf8_lossy(&found.body).into_owned())
}
