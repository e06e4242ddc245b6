//! The operators' calls, on an address of their own.

use super::evacuation::{self, Evacuating};
use super::figures::{Figures, Now};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use woadstall_inbound::lock;
use woadstall_membership_net::Membership;
use woadstall_runtime::LoadBalancer;
use woadstall_transport::Http1;

/// Connections at most. One more takes the place of the oldest without a whole call, so that whoever holds
/// connections open keeps nobody out.
pub const MOST: usize = 8;
/// How long a connection may last in all.
const PATIENCE: Duration = Duration::from_secs(10);
/// Wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the operators' calls read and set.
pub struct Admin {
    balance: LoadBalancer<Http1>,
    figures: Arc<Figures>,
    ready: watch::Receiver<bool>,
    stopping: watch::Receiver<bool>,
    away: watch::Sender<bool>,
    instances: Option<Membership>,
    evacuating: Option<Evacuating>,
    calls: Mutex<BTreeMap<u64, Arc<Held>>>,
}

/// A connection.
#[derive(Default)]
struct Held {
    whole: AtomicBool,
    cut: Notify,
}

impl Admin {
    /// `away` turns true while clients are to be sent away.
    pub fn new(
        balance: LoadBalancer<Http1>,
        figures: Arc<Figures>,
        stopping: watch::Receiver<bool>,
        away: watch::Sender<bool>,
        instances: Option<Membership>,
        evacuating: Option<Evacuating>,
    ) -> Self {
        let (ready, calls) = (balance.ready(), Mutex::default());
        Self {
            ready,
            balance,
            figures,
            stopping,
            away,
            instances,
            evacuating,
            calls,
        }
    }

    /// Serves for as long as the process lives.
    pub async fn run(self, listener: TcpListener) {
        let admin = Arc::new(self);
        for number in 0.. {
            match listener.accept().await {
                Ok((tcp, _)) => admin.clone().take(number, tcp),
                Err(error) => {
                    super::log(format_args!(
                        "cannot take an operator's connection: {error}"
                    ));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn take(self: Arc<Self>, number: u64, tcp: TcpStream) {
        tcp.set_nodelay(true).ok();
        let held = Arc::new(Held::default());
        {
            let mut calls = lock(&self.calls);
            if calls.len() >= MOST {
                let oldest = calls
                    .iter()
                    .find(|(_, held)| !held.whole.load(Ordering::Relaxed));
                if let Some(oldest) = oldest
                    .or(calls.first_key_value())
                    .map(|(number, _)| *number)
                {
                    calls
                        .remove(&oldest)
                        .into_iter()
                        .for_each(|held| held.cut.notify_one());
                }
            }
            calls.insert(number, held.clone());
        }
        tokio::spawn(async move {
            let service = service_fn(|request| {
                held.whole.store(true, Ordering::Relaxed);
                let reply = self.reply(&request);
                async { Ok::<_, Infallible>(reply) }
            });
            let connection = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(tcp), service);
            tokio::select! {
                _ = timeout(PATIENCE, connection) => {}
                () = held.cut.notified() => {}
            }
            lock(&self.calls).remove(&number);
        });
    }

    /// An operator's word on a place.
    fn order(&self, evacuating: &Evacuating, order: &str) -> (StatusCode, String) {
        let Some((what, kind, name, holds)) = evacuation::read_order(order) else {
            return (
                StatusCode::BAD_REQUEST,
                "the call is WHAT/KIND/NAME/SECONDS\n".to_owned(),
            );
        };
        match evacuating.order(what, kind, name, holds) {
            Ok(()) => {
                let kind = evacuation::word(kind);
                super::log(format_args!(
                    "places: {kind} {name}: told to {}",
                    what.as_str()
                ));
                (StatusCode::OK, "yes\n".to_owned())
            }
            Err(error) => (StatusCode::CONFLICT, error + "\n"),
        }
    }

    fn reply(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let order = request
            .uri()
            .path()
            .strip_prefix("/control/places/")
            .zip(self.evacuating.as_ref());
        if let Some((order, evacuating)) = order.filter(|_| request.method() == Method::POST) {
            let (code, text) = self.order(evacuating, order);
            return reply(code, text);
        }
        let (method, code, text) = match request.uri().path() {
            "/control/ready" => {
                let yes = *self.ready.borrow() && !*self.stopping.borrow();
                (
                    Method::GET,
                    if yes {
                        StatusCode::OK
                    } else {
                        StatusCode::SERVICE_UNAVAILABLE
                    },
                    None,
                )
            }
            "/control/counters" => match request.method() == Method::GET {
                true => match self.figures.text(&self.now()) {
                    Ok(text) => (Method::GET, StatusCode::OK, Some(text)),
                    Err(error) => (Method::GET, StatusCode::INTERNAL_SERVER_ERROR, Some(error)),
                },
                false => (Method::GET, StatusCode::OK, None),
            },
            path @ ("/control/out-of-service" | "/control/in-service") => {
                let away = path == "/control/out-of-service";
                if request.method() == Method::POST && self.away.send_replace(away) != away {
                    super::log(format_args!(
                        "{} service",
                        if away { "sent out of" } else { "back in" }
                    ));
                }
                (Method::POST, StatusCode::OK, None)
            }
            "/control/instances" if self.instances.is_some() => {
                let report = self.instances.as_ref().map(Membership::report);
                match serde_json::to_string(&report) {
                    Ok(text) => (Method::GET, StatusCode::OK, Some(text + "\n")),
                    Err(error) => (
                        Method::GET,
                        StatusCode::INTERNAL_SERVER_ERROR,
                        Some(error.to_string()),
                    ),
                }
            }
            "/control/places" if self.evacuating.is_some() => {
                let status = self.evacuating.as_ref().map(Evacuating::status);
                match serde_json::to_string(&status) {
                    Ok(text) => (Method::GET, StatusCode::OK, Some(text + "\n")),
                    Err(error) => (
                        Method::GET,
                        StatusCode::INTERNAL_SERVER_ERROR,
                        Some(error.to_string()),
                    ),
                }
            }
            _ => return reply(StatusCode::NOT_FOUND, "no such call\n".into()),
        };
        if request.method() != method {
            let mut reply = reply(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("this call is a {method}\n"),
            );
            let allowed = if method == Method::GET { "GET" } else { "POST" };
            reply
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static(allowed));
            return reply;
        }
        let yes = if code.is_success() { "yes\n" } else { "no\n" };
        reply(code, text.unwrap_or_else(|| yes.to_owned()))
    }

    fn now(&self) -> Now {
        let (listed, avoided) = self.balance.upstreams();
        Now {
            tries: self.balance.transport().written(),
            listed,
            avoided,
        }
    }
}

fn reply(code: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = code;
    reply.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    reply
}
