//! Guards against request smuggling: a forwarded hop-by-hop header, or a path that a server resolves
//! to another route, would let a caller bypass the checks.

use hyper::header as http;
use nutmegdale_entry::head;

fn stripped(pairs: &[(&'static str, &'static str)]) -> Vec<String> {
    let mut headers = http::HeaderMap::new();
    for (name, value) in pairs {
        headers.append(
            http::HeaderName::from_static(name),
            http::HeaderValue::from_static(value),
        );
    }
    head::strip_hop_headers(&mut headers);
    let mut names: Vec<_> = headers.keys().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let names = stripped(&[
        ("connection", "close, x-internal"),
        ("x-internal", "1"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "keep-alive"),
        ("te", "trailers"),
        ("accept", "*/*"),
    ]);
    assert_eq!(names, ["accept"]);
}

#[test]
fn connection_header_cannot_remove_framing_account_or_key() {
    let preserved = [
        ("content-length", "3"),
        ("host", "registry"),
        ("idempotency-key", "k"),
        ("nutmegdale-account", "inspector"),
    ];
    let mut pairs = preserved.to_vec();
    pairs.push((
        "connection",
        "content-length, host, nutmegdale-account, idempotency-key",
    ));
    assert_eq!(stripped(&pairs), preserved.map(|(name, _)| name.to_owned()));
}

#[test]
fn ambiguous_paths_are_rejected() {
    for path in [
        "/logs/../admin",
        "/logs/./x",
        "/logs/%2e%2e/admin",
        "/logs/%2E./admin",
        "/logs%2Fadmin",
        "/logs%2fadmin",
        "/logs%5cadmin",
        "/logs\\admin",
        "*",
        "",
    ] {
        assert!(!head::is_plain_path(path), "{path}");
    }
    for path in [
        "/",
        "/logs/hall-7",
        "/logs/a%20b",
        "/logs/..x",
        "/logs/%25",
        "/%",
    ] {
        assert!(head::is_plain_path(path), "{path}");
    }
}

#[test]
fn request_ids_differ_by_boot_id_and_number() {
    let id = head::request_id(0xab, 0x10);
    assert_eq!(id, "00000000000000ab-0000000000000010");
    assert_ne!(id, head::request_id(0xab, 0x11));
    assert_ne!(id, head::request_id(0xac, 0x10));
}

/// Guards against a status that no caller understands, or a switch of protocols, that is forwarded as
/// an answer.
#[test]
fn only_statuses_of_final_responses_are_answers() {
    let is_final = |status: u16| hyper::StatusCode::from_u16(status).map(head::is_final_status);
    for status in [200, 204, 404, 500, 599] {
        assert!(matches!(is_final(status), Ok(true)), "{status}");
    }
    for status in [100, 101, 199, 600, 999] {
        assert!(matches!(is_final(status), Ok(false)), "{status}");
    }
    for status in [0, 99, 1_000] {
        assert!(is_final(status).is_err(), "{status}");
    }
}
