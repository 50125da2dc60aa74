//! Task that serves one connection.

use super::{Bounds, Service, activity, ahead, stream, tracked};
use hyper_util::rt;
use hyper_util::server::conn;
use nutmegdale_base::clock;
use std::convert;
use std::net;
use std::pin;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time left for a newly connected client to send its first request after `stop` turned true.
const FIRST_REQUEST_GRACE: time::Duration = time::Duration::from_millis(250);

/// Serves one connection until it closes, times out, or is idle after `stop` turned true.
pub(super) async fn serve(
    builder: conn::auto::Builder<rt::TokioExecutor>,
    stream: tokio::net::TcpStream,
    client: net::SocketAddr,
    service: sync::Arc<dyn Service>,
    bounds: Bounds,
    mut stop: watch::Receiver<bool>,
) {
    let activity = sync::Arc::new(activity::Activity::default());
    let ahead = ahead::Ahead::new(service, client, sync::Arc::clone(&activity));
    let ahead = sync::Arc::new(ahead);
    let calls = sync::Arc::clone(&ahead);
    let handler = hyper::service::service_fn(move |req| {
        let in_flight = calls.activity.begin_request(&req);
        let response = calls.call(req);
        let calls = sync::Arc::clone(&calls);
        async move {
            let mut response = response.await;
            calls.defer_close(&mut response);
            let body = |body| tracked::ResponseBody {
                body,
                _in_flight: in_flight,
            };
            Ok::<_, convert::Infallible>(response.map(body))
        }
    });
    let socket = tracked::Socket {
        io: rt::TokioIo::new(stream::Stream::new(
            stream,
            sync::Arc::clone(&ahead),
            bounds.head_max_bytes,
        )),
        activity: sync::Arc::clone(&activity),
    };
    let mut conn = pin::pin!(builder.serve_connection(socket, handler));
    let interval = tick_interval(&bounds);
    let mut ticks = tokio::time::interval(time::Duration::from_millis(interval.0));
    ticks.reset();
    let mut monitor = activity::TimeoutMonitor::new(timeouts(&bounds), &activity);
    let mut is_shutting_down = false;
    let mut shuts_down_at_tick = false;
    let mut shuts_down_when_emptied = false;
    loop {
        tokio::select! {
            biased;
            // Connection errors are not logged here: the client sees them, and requests log their
            // outcome.
            _ = conn.as_mut() => return,
            () = ahead.emptied(), if shuts_down_when_emptied => {
                shuts_down_when_emptied = false;
                conn.as_mut().graceful_shutdown();
            }
            _ = ticks.tick() => {
                if shuts_down_at_tick {
                    shuts_down_at_tick = false;
                    conn.as_mut().graceful_shutdown();
                    continue;
                }
                if monitor.tick(&activity, interval) {
                    if is_shutting_down || !activity.is_idle() {
                        return;
                    }
                    // Shut down gracefully, so that a client that is about to send sees a clean
                    // close.
                    is_shutting_down = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
            _ = stop.wait_for(|is_stopping| *is_stopping), if !is_shutting_down => {
                is_shutting_down = true;
                ahead.close();
                // A request may be on its way. If the connection closed now, the client could not
                // tell whether the request ran.
                if activity.is_new() {
                    shuts_down_at_tick = true;
                    ticks.reset_after(FIRST_REQUEST_GRACE);
                } else {
                    // Responses to pipelined requests in progress are still sent.
                    shuts_down_when_emptied = true;
                }
            }
        }
    }
}

fn timeouts(bounds: &Bounds) -> activity::Timeouts {
    activity::Timeouts {
        header_read: bounds.header_read_ms,
        write_stall: bounds.write_stall_ms,
        idle: bounds.idle_ms,
    }
}

/// Returns a quarter of the shortest timeout, so that a connection exceeds it by at most a quarter.
fn tick_interval(bounds: &Bounds) -> clock::Millis {
    let shortest = bounds.header_read_ms.min(bounds.write_stall_ms);
    clock::Millis((shortest.min(bounds.idle_ms).0 / 4).max(1))
}
