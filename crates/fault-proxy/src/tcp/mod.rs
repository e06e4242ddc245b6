//! TCP proxies.

mod forward;
mod listener;
mod pair;

pub(crate) use listener::ProxyListener;
pub(crate) use pair::LinkPair;

use crate::state::{NodeId, SharedState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Creates a proxy for streams from `from` to `to`. Returns its address and its task.
pub(crate) fn proxy(
    state: Arc<SharedState>,
    from: NodeId,
    to: NodeId,
    target: SocketAddr,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send + 'static)> {
    let listener = ProxyListener::bind(from.proxy_ip())?;
    let address = listener.address();
    let running = state.watch_running(to);
    let links = LinkPair::new(state, from, to, target);
    Ok((address, links.accept_streams(listener, running)))
}
