//! Serves the HTTP API: hands requests to the process and waits for their responses.

use super::CoreError;
use super::api::{request, response};
use super::event::{Event, EventSender};
use crate::http_server;
use crate::settings::{Endpoint, NodeSettings};
use rouille::{Request, Response};
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

/// How long a request waits for its response; the machine itself gives up a little sooner.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Threads that answer requests. Some wait for a quorum; at most eight orders are under way at a
/// time.
const WORKERS: usize = 24;

/// Serves the API on the addresses of the control and directory endpoints, which may be the same.
///
/// # Errors
///
/// An address can't be bound.
pub(super) fn start(
    settings: &NodeSettings,
    control: SocketAddr,
    events: &EventSender,
) -> Result<(), CoreError> {
    let directory = settings
        .listen_address(Endpoint::Directory)
        .filter(|address| *address != control);
    for address in std::iter::once(control).chain(directory) {
        let events = events.clone();
        http_server::spawn(address, Some(WORKERS), move |request| {
            handle(request, &events)
        })?;
    }
    Ok(())
}

fn handle(http_request: &Request, events: &EventSender) -> Response {
    let request = match request::parse(http_request) {
        Ok(request) => request,
        Err(error) => return response::rejection(&error),
    };
    let (responder, response) = sync_channel(1);
    let event = Event::Api {
        request,
        received_at: Instant::now(),
        responder,
    };
    if events.send(event).is_err() {
        return response::unavailable();
    }
    match response.recv_timeout(RESPONSE_TIMEOUT) {
        Ok(response) => response::render(response),
        Err(_) => response::unavailable(),
    }
}
