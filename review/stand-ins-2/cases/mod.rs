//! The cases. Each returns whether the rule was broken.

pub mod fractions;
pub mod late_heartbeats;
pub mod resume_after_leave;
pub mod stream_memory;

use crate::deployment::{Deployment, HOST};
use crate::http::{self, Message};
use std::io;
use std::time::Duration;

/// Headers of a client's request.
pub fn client_headers(id: &str, deadline_ms: u64) -> String {
    format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline: {deadline_ms}\r\n")
}

/// Sends a request as a client and reads the answer.
pub fn send(
    front: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<Message> {
    let timeout = Duration::from_millis(deadline_ms + 1_000);
    http::call(
        front,
        "POST",
        path,
        &client_headers(id, deadline_ms),
        body,
        timeout,
    )
}

/// Says in a word how a request ended.
pub fn outcome(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => format!("{} {:?}", answer.status(), answer.text().trim_end()),
        Err(error) => format!("no answer ({error})"),
    }
}

/// Starts a deployment and puts its first configuration in force.
pub fn deploy(fronts: usize, configuration: &str) -> Result<Deployment, String> {
    let deployment = Deployment::start(fronts)?;
    deployment.configure("PUT", 0, configuration)?;
    deployment.wait_until_ready()?;
    Ok(deployment)
}
