//! The way to a successor: a Unix socket in a folder that the two processes share.

use crate::{MOST_BYTES, State};
use std::fs;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// How long a predecessor is waited for: a start is not to be held up by one that hangs.
pub const PATIENCE: Duration = Duration::from_millis(300);

/// The socket of the process that serves at an address.
pub fn path(folder: &Path, serves_at: SocketAddr) -> PathBuf {
    folder.join(format!(
        "woadstall-{}-{}.state",
        serves_at.ip(),
        serves_at.port()
    ))
}

/// Asks the process at a path for what it has learned; `None` if there is none. The error is one line.
pub async fn ask(path: &Path) -> Result<Option<State>, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let asked = async {
        let mut stream = match UnixStream::connect(path).await {
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) =>
            {
                return Ok(None);
            }
            stream => stream?,
        };
        if !same_user(&stream)? {
            return Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "another user's process listens there",
            ));
        }
        let mut text = Vec::new();
        (&mut stream)
            .take(MOST_BYTES as u64 + 1)
            .read_to_end(&mut text)
            .await?;
        Ok(Some(text))
    };
    let text = timeout(PATIENCE, asked)
        .await
        .map_err(|_| failed(&"no answer in time"))?;
    match text.map_err(|error| failed(&error))? {
        None => Ok(None),
        Some(text) if text.len() > MOST_BYTES => {
            Err(failed(&format_args!("over {MOST_BYTES} bytes")))
        }
        Some(text) => State::read(&text).map(Some).map_err(|error| failed(&error)),
    }
}

/// Listens at a path, in place of a process that did so before.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let failed = |error: io::Error| format!("{}: {error}", path.display());
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(failed(error)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(failed)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(failed)?;
    Ok(listener)
}

/// Tells each process of the same user that asks, for ever.
pub async fn tell(listener: UnixListener, state: impl Fn() -> State) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(PATIENCE).await; // out of descriptors: the next try would fail alike
            continue;
        };
        if same_user(&stream).unwrap_or(false) {
            let text = state().write();
            timeout(PATIENCE, stream.write_all(&text)).await.ok();
        }
    }
}

fn same_user(stream: &UnixStream) -> io::Result<bool> {
    Ok(stream.peer_cred()?.uid() == fs::metadata("/proc/self")?.uid())
}
