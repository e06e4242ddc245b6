//! Tests of the watch with simulated discovery services, in virtual time.

use super::*;
use crate::FailureNotice;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, timeout};

/// A source that responds to no call before `responds_from` and to every call from then on; never responds if
/// `responds_from` is `None`.
struct UnresponsiveUntil {
    responds_from: Option<Instant>,
    revision: u64,
}

impl ListSource for UnresponsiveUntil {
    async fn call(&mut self, call: &Call) -> Result<EndpointList, CallError> {
        let responds = self
            .responds_from
            .is_some_and(|from| Instant::now() >= from);
        if !responds {
            sleep(call.timeout).await;
            return Err(CallError::TimedOut);
        }
        sleep(Duration::from_millis(1)).await;
        self.revision += 1;
        let list = format!(r#"{{"rev":{},"all":true,"targets":[]}}"#, self.revision);
        Ok(serde_json::from_str(&list)?)
    }

    fn close(&mut self) {}
}

/// A source that refuses each call immediately.
struct Refusing;

impl ListSource for Refusing {
    async fn call(&mut self, _: &Call) -> Result<EndpointList, CallError> {
        Err(CallError::Io(std::io::ErrorKind::ConnectionRefused.into()))
    }

    fn close(&mut self) {}
}

/// A reported event.
#[derive(Debug)]
struct Report {
    /// Time since the start of the watch.
    time: Duration,
    event: WatchEvent,
}

/// A failure that is logged.
struct LoggedFailure {
    /// Time since the start of the watch.
    time: Duration,
    notice: FailureNotice,
}

/// Watches an agent for `duration`, beginning with a call for the complete list.
async fn watch_agent(source: impl ListSource, duration: Duration) -> Vec<Report> {
    let (_subscribe, mut subscriptions) = unbounded_channel();
    let began = Instant::now();
    let mut reports = Vec::new();
    let mut on_event = |event| {
        let time = began.elapsed();
        reports.push(Report { time, event });
        true
    };
    let watcher = Watcher {
        source,
        on_demand: false,
        revision: 0,
        needs_complete_list: true,
        streak: FailureStreak::default(),
        has_repeated_poll: false,
        random: &mut Rng::with_seed(7),
        on_event: &mut on_event,
        subscriptions: &mut subscriptions,
    };
    timeout(duration, watcher.run()).await.ok();
    reports
}

fn logged_failures(reports: &[Report]) -> Vec<LoggedFailure> {
    let failures = reports.iter().filter_map(|report| match &report.event {
        WatchEvent::CallFailed(failed) => Some(LoggedFailure {
            time: report.time,
            notice: failed.notice,
        }),
        _ => None,
    });
    failures
        .filter(|failure| failure.notice != FailureNotice::Quiet)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn discovery_that_never_responds_is_reported_again_at_growing_intervals() {
    let source = UnresponsiveUntil {
        responds_from: None,
        revision: 0,
    };
    let reports = watch_agent(source, Duration::from_secs(600)).await;
    let logged = logged_failures(&reports);
    assert_eq!(logged[0].notice, FailureNotice::First);
    assert!(
        logged[1..]
            .iter()
            .all(|failure| failure.notice == FailureNotice::Reminder)
    );
    let gaps: Vec<Duration> = logged
        .windows(2)
        .map(|pair| pair[1].time - pair[0].time)
        .collect();
    // A call takes up to 2 s to fail and is followed by a pause of 0.25 s, so a reminder may be late by their sum.
    let tolerance = Duration::from_millis(2_250);
    let mut interval = Duration::from_secs(1);
    for gap in &gaps {
        assert!((interval..=interval + tolerance).contains(gap), "{gaps:?}");
        interval = (interval * 2).min(Duration::from_secs(60));
    }
    assert!(
        gaps.len() >= 12,
        "reminders continue until the end: {gaps:?}"
    );
    let failures: Vec<u32> = reports
        .iter()
        .filter_map(|report| match &report.event {
            WatchEvent::CallFailed(failed) => Some(failed.failures),
            _ => None,
        })
        .collect();
    assert!(failures.iter().copied().eq(1..=failures.len() as u32));
}

/// Guards against a busy loop of calls and log lines when discovery refuses connections immediately.
#[tokio::test(start_paused = true)]
async fn refused_calls_are_neither_made_nor_reported_in_a_loop() {
    let reports = watch_agent(Refusing, Duration::from_secs(60)).await;
    assert!((200..=250).contains(&reports.len()), "{}", reports.len());
    assert!(
        (6..=8).contains(&logged_failures(&reports).len()),
        "{reports:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn discovery_that_responds_after_30_s_is_used_at_once() {
    let outage = Duration::from_secs(30);
    let source = UnresponsiveUntil {
        responds_from: Some(Instant::now() + outage),
        revision: 0,
    };
    let reports = watch_agent(source, Duration::from_secs(40)).await;
    let failed_calls = reports
        .iter()
        .take_while(|report| matches!(report.event, WatchEvent::CallFailed(_)))
        .count();
    let Report {
        time,
        event: recovered,
    } = &reports[failed_calls];
    assert!(
        matches!(recovered, WatchEvent::Recovered { failures } if *failures as usize == failed_calls),
        "{recovered:?} after {failed_calls}"
    );
    // Allows for a call that begins just before the recovery, the pause after it, and the successful call.
    assert!(*time < outage + Duration::from_millis(2_300), "{time:?}");
    assert!(matches!(&reports[failed_calls + 1].event, WatchEvent::List(list) if list.is_complete));
    assert!(
        reports[failed_calls + 2..]
            .iter()
            .all(|report| matches!(report.event, WatchEvent::List(_)))
    );
}
