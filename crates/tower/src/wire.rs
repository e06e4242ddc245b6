//! The protocol towards upstreams, as set for the plug-in.

use http::Response;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use woadstall_engine::{LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, AttemptProgress, Transport};
use woadstall_transport::{Http1, Http2, OutboundRequest, ResponseBody};

pub(crate) enum Wire {
    Http1(Http1),
    Http2(Http2),
}

impl Transport for Wire {
    type Request = OutboundRequest;
    type Response = Response<ResponseBody>;

    fn attempt(
        &self,
        request: &mut OutboundRequest,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<ResponseBody>>> + Send + 'static {
        // On the heap from here on: a future that is wrapped is held twice over in each wrapper.
        let attempt: Pin<Box<dyn Future<Output = AttemptProgress<Response<ResponseBody>>> + Send>> =
            match self {
                Self::Http1(wire) => match request.to_buffered() {
                    Some(whole) => {
                        let ended = wire.buffered_attempt(&whole, attempt);
                        Box::pin(async move {
                            AttemptProgress::Ended(
                                ended.await.map(|answer| answer.map(ResponseBody::new)),
                            )
                        })
                    }
                    None => Box::pin(std::future::ready(AttemptProgress::Ended(
                        Outcome::Moot.into(),
                    ))),
                },
                Self::Http2(wire) => Box::pin(wire.attempt(request, attempt)),
            };
        attempt
    }

    fn probe(
        &self,
        peer: Peer,
        patience: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        let probe = match self {
            Self::Http1(wire) => Some(wire.probe(peer, patience)),
            Self::Http2(_) => None,
        };
        async move {
            match probe {
                Some(probe) => probe.await,
                None => (Outcome::Moot, None),
            }
        }
    }

    fn close_idle(&self, server: ServerId) {
        match self {
            Self::Http1(wire) => wire.close_idle(server),
            Self::Http2(wire) => wire.close_idle(server),
        }
    }

    fn retire(&self, server: ServerId) {
        match self {
            Self::Http1(wire) => wire.retire(server),
            Self::Http2(wire) => wire.retire(server),
        }
    }

    fn sweep(&self) {
        match self {
            Self::Http1(wire) => wire.sweep(),
            Self::Http2(wire) => wire.sweep(),
        }
    }
}
