//! Transfers the state to a successor process over a Unix domain socket in a shared directory.
//!
//! The successor connects; the predecessor writes one document and closes the connection. Both sides accept only peers
//! that run as the same user, because the state determines the routing of requests.

use crate::{DecodeError, MAX_STATE_BYTES, TransferredState};
use std::fs;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// Time limit of one transfer. Keeps an unresponsive predecessor from delaying the start of its successor.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Permissions of the socket file: access for the owner only.
const SOCKET_MODE: u32 = 0o600;

/// The error of a failed fetch of the predecessor's state.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The transfer was not complete within [`TRANSFER_TIMEOUT`].
    #[error("{}: no answer in time", path.display())]
    TimedOut {
        /// The socket.
        path: PathBuf,
    },
    /// The socket reported an error, or belongs to a process of another user.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The document is larger than [`MAX_STATE_BYTES`].
    #[error("{}: over {MAX_STATE_BYTES} bytes", path.display())]
    TooLarge {
        /// The socket.
        path: PathBuf,
    },
    /// The document could not be decoded.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The socket.
        path: PathBuf,
        /// The decoding error.
        source: DecodeError,
    },
}

/// The error of a socket that could not be created.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct BindError {
    path: PathBuf,
    source: io::Error,
}

/// Returns the socket path of the process that listens on `listen_address`.
pub fn socket_path(directory: &Path, listen_address: SocketAddr) -> PathBuf {
    let (ip, port) = (listen_address.ip(), listen_address.port());
    directory.join(format!("woadstall-{ip}-{port}.state"))
}

/// Fetches the state from the process that serves it at `path`; `None` if no process listens there.
///
/// # Errors
///
/// Fails if the transfer exceeds [`TRANSFER_TIMEOUT`], if the socket reports an error or belongs to another user, or if
/// the document is too large or invalid.
pub async fn fetch_state(path: &Path) -> Result<Option<TransferredState>, FetchError> {
    let io_error = |source| FetchError::Io {
        path: path.to_owned(),
        source,
    };
    let received = timeout(TRANSFER_TIMEOUT, receive_document(path))
        .await
        .map_err(|_| FetchError::TimedOut {
            path: path.to_owned(),
        })?;
    let Some(document) = received.map_err(io_error)? else {
        return Ok(None);
    };
    if document.len() > MAX_STATE_BYTES {
        return Err(FetchError::TooLarge {
            path: path.to_owned(),
        });
    }
    match TransferredState::decode(&document) {
        Ok(state) => Ok(Some(state)),
        Err(source) => Err(FetchError::Decode {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Reads the document from the process at `path`; `None` if no process listens there. Reads at most one byte more than
/// [`MAX_STATE_BYTES`], which is enough to detect an oversized document.
async fn receive_document(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        Err(error) if means_no_listener(&error) => return Ok(None),
        Err(error) => return Err(error),
    };
    if !is_same_user(&stream)? {
        return Err(io::Error::new(
            ErrorKind::PermissionDenied,
            "a process of another user listens on the socket",
        ));
    }
    let mut document = Vec::new();
    let limit = MAX_STATE_BYTES as u64 + 1;
    (&mut stream).take(limit).read_to_end(&mut document).await?;
    Ok(Some(document))
}

/// Whether a connect error means that no process listens at the path.
fn means_no_listener(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::NotFound | ErrorKind::ConnectionRefused
    )
}

/// Listens at `path`, replacing the socket of any earlier process.
///
/// # Errors
///
/// Fails if an earlier socket cannot be removed, or if the new socket cannot be created or restricted to its owner.
pub fn bind(path: &Path) -> Result<UnixListener, BindError> {
    bind_owner_only(path).map_err(|source| BindError {
        path: path.to_owned(),
        source,
    })
}

fn bind_owner_only(path: &Path) -> io::Result<UnixListener> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, fs::Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

/// Sends the current state to each connecting process of the same user. Never returns.
pub async fn serve_state(listener: UnixListener, state: impl Fn() -> TransferredState) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // The process is out of file descriptors; an immediate retry would fail as well.
            tokio::time::sleep(TRANSFER_TIMEOUT).await;
            continue;
        };
        if is_same_user(&stream).unwrap_or(false) {
            let document = state().encode();
            timeout(TRANSFER_TIMEOUT, stream.write_all(&document))
                .await
                .ok();
        }
    }
}

/// Whether the peer runs as the user of this process.
fn is_same_user(stream: &UnixStream) -> io::Result<bool> {
    Ok(stream.peer_cred()?.uid() == fs::metadata("/proc/self")?.uid())
}
