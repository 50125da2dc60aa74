//! Task of one connection.

use super::activity;
use super::watched;
use super::{Bounds, Service};
use hyper_util::rt;
use hyper_util::server::conn;
use nutmegdale_base::clock;
use std::convert;
use std::net;
use std::pin;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time for a client that has just connected to send its request when the listener ends.
const LAST_HEAD: time::Duration = time::Duration::from_millis(250);

/// Serves one connection until it ends, is idle for too long, or is idle after `stop` turned true.
pub(super) async fn serve(
    builder: conn::auto::Builder<rt::TokioExecutor>,
    stream: tokio::net::TcpStream,
    client: net::SocketAddr,
    service: sync::Arc<dyn Service>,
    bounds: Bounds,
    mut stop: watch::Receiver<bool>,
) {
    let activity = sync::Arc::new(activity::Activity::default());
    let counted = sync::Arc::clone(&activity);
    let handler = hyper::service::service_fn(move |req| {
        let open = counted.begin();
        let answer = service.call(req, client);
        async move {
            let response = answer.await;
            let body = |body| watched::Answer { body, _open: open };
            Ok::<_, convert::Infallible>(response.map(body))
        }
    });
    let socket = watched::Socket {
        io: rt::TokioIo::new(stream),
        activity: sync::Arc::clone(&activity),
    };
    let mut conn = pin::pin!(builder.serve_connection(socket, handler));
    let span = tick_span(&bounds);
    let mut ticks = tokio::time::interval(time::Duration::from_millis(span.0));
    ticks.reset();
    let mut judge = activity::Judge::new(patience(&bounds), &activity);
    let mut is_ending = false;
    let mut ends_at_tick = false;
    loop {
        tokio::select! {
            biased;
            // A broken connection is the client's to notice; requests log their own outcome.
            _ = conn.as_mut() => return,
            _ = ticks.tick() => {
                if ends_at_tick {
                    ends_at_tick = false;
                    conn.as_mut().graceful_shutdown();
                    continue;
                }
                if judge.tick(&activity, span) {
                    if is_ending || !activity.is_idle() {
                        return;
                    }
                    // A client that is about to send sees an orderly end if there is one.
                    is_ending = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
            _ = stop.wait_for(|is_stopping| *is_stopping), if !is_ending => {
                is_ending = true;
                // A request may be on its way; closed now, its caller could not tell whether it ran.
                if activity.is_new() {
                    ends_at_tick = true;
                    ticks.reset_after(LAST_HEAD);
                } else {
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn patience(bounds: &Bounds) -> activity::Patience {
    activity::Patience {
        head: bounds.header_read_ms,
        blocked: bounds.write_stall_ms,
        idle: bounds.idle_ms,
    }
}

/// Four ticks fit into the shortest patience, so a connection outlives it by a quarter at most.
fn tick_span(bounds: &Bounds) -> clock::Millis {
    let least = bounds.header_read_ms.min(bounds.write_stall_ms);
    clock::Millis((least.min(bounds.idle_ms).0 / 4).max(1))
}
