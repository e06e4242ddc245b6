//! Carries the state from a process to its successor over a Unix domain socket in a directory that both share.
//!
//! The successor connects, the predecessor writes one document and closes. Either side serves only processes of its own
//! user: the state steers where requests go.

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

/// How long one transfer may take. A start must not be delayed by a predecessor that hangs.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Permissions of the socket: its owner alone.
const SOCKET_MODE: u32 = 0o600;

/// Why the state could not be fetched from the process at a path.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The transfer did not end within [`TRANSFER_TIMEOUT`].
    #[error("{}: no answer in time", path.display())]
    TimedOut {
        /// The socket.
        path: PathBuf,
    },
    /// The socket failed, or belongs to a process of another user.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket.
        path: PathBuf,
        /// What the system reports.
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
        /// What is wrong with the document.
        source: DecodeError,
    },
}

/// The socket could not be created.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct BindError {
    path: PathBuf,
    source: io::Error,
}

/// The path of the socket of the process that listens on `listen_address`.
pub fn socket_path(directory: &Path, listen_address: SocketAddr) -> PathBuf {
    let (ip, port) = (listen_address.ip(), listen_address.port());
    directory.join(format!("woadstall-{ip}-{port}.state"))
}

/// Fetches the state from the process that serves it at `path`; `None` if no process does.
///
/// # Errors
///
/// Fails if the transfer takes longer than [`TRANSFER_TIMEOUT`], if the socket fails or belongs to another user, and if
/// the document is too large or not valid.
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

/// Reads all that the process at a path sends, up to one byte over the limit; `None` if nobody listens there.
async fn receive_document(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        Err(error) if is_absent(&error) => return Ok(None),
        Err(error) => return Err(error),
    };
    if !is_same_user(&stream)? {
        return Err(io::Error::new(
            ErrorKind::PermissionDenied,
            "another user's process listens there",
        ));
    }
    let mut document = Vec::new();
    let limit = MAX_STATE_BYTES as u64 + 1;
    (&mut stream).take(limit).read_to_end(&mut document).await?;
    Ok(Some(document))
}

/// Whether an error of a connection means that no process listens.
fn is_absent(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::NotFound | ErrorKind::ConnectionRefused
    )
}

/// Listens at a path, in place of any process that did so before.
///
/// # Errors
///
/// Fails if a former socket cannot be removed, or the new one cannot be created or restricted to its owner.
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

/// Sends the present state to each process of the same user that connects. Never returns.
pub async fn serve_state(listener: UnixListener, state: impl Fn() -> TransferredState) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Out of descriptors: another attempt at once would fail alike.
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
