//! Hot restart: transfers the learned state from a process to its successor at the same address.

use super::config::Config;
use super::log::log;
use super::server::ServiceSettings;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::watch;
use woadstall_hot_restart::{TransferredState, socket};
use woadstall_runtime::LoadBalancer;
use woadstall_settings::ActiveSettings;
use woadstall_transport::Http1;

/// Restores the learned state of a predecessor at the same address, if one serves it in the shared directory.
pub async fn restore_state(config: &Config, load_balancer: &LoadBalancer<Http1>) {
    // With port 0, the system chooses a new port, so there is no predecessor at the same address.
    let has_fixed_port = config.listen.port() != 0;
    let Some(directory) = config
        .shared_directory
        .as_deref()
        .filter(|_| has_fixed_port)
    else {
        return;
    };
    match socket::fetch_state(&socket::socket_path(directory, config.listen)).await {
        Ok(None) => {}
        Ok(Some(state)) => {
            load_balancer.restore_learned_state(|upstreams| {
                let class_position = |name: &str| config.names.class(name);
                state.learned(class_position, |name| upstreams.get(name).copied())
            });
            log(format_args!("hot_restart_state_restored"));
        }
        Err(error) => log(format_args!(
            "hot_restart_state_unavailable error=\"{error}\""
        )),
    }
}

/// Serves the learned state of this process to a successor at the same address.
pub fn serve_state(
    directory: &Path,
    address: SocketAddr,
    load_balancer: &LoadBalancer<Http1>,
    settings: &watch::Receiver<Arc<ServiceSettings>>,
) {
    let (load_balancer, settings) = (load_balancer.clone(), settings.clone());
    let state = move || transferred_state(&load_balancer, &settings.borrow().active);
    match socket::bind(&socket::socket_path(directory, address)) {
        Ok(listener) => drop(tokio::spawn(socket::serve_state(listener, state))),
        Err(error) => log(format_args!("hot_restart_socket_failed error=\"{error}\"")),
    }
}

fn transferred_state(
    load_balancer: &LoadBalancer<Http1>,
    settings: &ActiveSettings,
) -> TransferredState {
    let (learned, names) = load_balancer.learned_state();
    // A changed class has several positions under one name; only the active position is transferred.
    let class_name = |position: usize| {
        let name = settings.names().classes.get(position)?.as_str();
        (settings.class(name) == Some(position)).then_some(name)
    };
    TransferredState::new(&learned, class_name, |server| names.get(&server).cloned())
}
