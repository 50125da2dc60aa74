//! Accepts and serves the connections of a stand-in.

use super::shared;
use hyper::server::conn::http1;
use hyper_util::rt;
use std::convert;
use std::sync;
use tokio::task;

/// Accepts connections until the task is aborted, which breaks every connection as a kill does.
pub(super) async fn run(shared: sync::Arc<shared::Shared>, listener: tokio::net::TcpListener) {
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= shared.limits.connections as usize {
            shared.counts.connections_refused.add_one();
            continue;
        }
        let connect_time = shared.behaviour().connect_time;
        if !connect_time.is_zero() {
            tokio::time::sleep(connect_time).await;
        }
        shared.counts.connections.add_one();
        connections.spawn(serve(sync::Arc::clone(&shared), stream));
    }
}

async fn serve(shared: sync::Arc<shared::Shared>, stream: tokio::net::TcpStream) {
    let _open = shared.counts.open.enter();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handler = hyper::service::service_fn(|req| {
        let shared = sync::Arc::clone(&shared);
        async move { Ok::<_, convert::Infallible>(shared.answer(req).await) }
    });
    let conn = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), handler);
    // Errors of the connection are ignored; its unanswered requests are counted as cancelled.
    drop(conn.await);
}
