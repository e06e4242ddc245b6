//! A TCP socket that hyper reads and writes while the owner of the connection can still inspect and close it.

use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Duration;
use woadstall_socket_options::set_nodelay;

/// A handle of a TCP socket. Clones share the socket, which is closed when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Creates the first handle of a socket, and disables Nagle's algorithm so that small writes are sent at once.
    pub fn new(tcp: TcpStream) -> Self {
        set_nodelay(&tcp);
        Self(Arc::new(tcp))
    }

    /// The underlying socket.
    pub fn tcp(&self) -> &TcpStream {
        &self.0
    }

    /// Whether the kernel holds neither unread bytes nor the end of the stream or an error. Asks the kernel, because
    /// the runtime may not have reported the latest readiness yet.
    pub fn has_no_pending_input(&self) -> bool {
        let peeked = SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the runtime has reported that the peer closed or reset the connection. Unread bytes may precede the
    /// close.
    pub fn is_read_closed(&self) -> bool {
        let cx = &mut Context::from_waker(Waker::noop());
        let ready = pin!(self.0.ready(Interest::READABLE)).poll(cx);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits for new input without reading it; input that has already been reported does not count. When reading
    /// resumes, the bytes left unread must first be read with [`SharedStream::read_now`], since their readiness has
    /// been cleared.
    pub fn poll_new_input(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `WouldBlock` makes the runtime clear the recorded readiness.
        let cleared: io::Result<()> = self
            .0
            .try_io(Interest::READABLE, || Err(ErrorKind::WouldBlock.into()));
        drop(cleared);
        self.0.poll_read_ready(cx)
    }

    /// Reads bytes that the kernel holds, whether or not the runtime has reported them.
    ///
    /// # Errors
    ///
    /// Returns the errors of `read`, with `WouldBlock` if there is nothing to read.
    pub fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let socket = SockRef::from(&*self.0);
        (&mut &*socket).read(buffer)
    }

    /// Shuts down the sending side.
    ///
    /// # Errors
    ///
    /// Fails if the peer has reset the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Makes closing the socket reset the connection, so that the peer cannot take a truncated response for a complete
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if the socket refuses the option.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&*self.0).set_linger(Some(Duration::ZERO))
    }

    /// Writes the slices like `AsyncWrite::poll_write_vectored`.
    pub fn poll_write_slices(
        &self,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_io(
            |tcp| tcp.poll_write_ready(cx),
            |tcp| tcp.try_write_vectored(slices),
        )
    }

    /// Waits until the socket is ready and tries the operation, repeatedly until it does not return `WouldBlock`.
    fn poll_io(
        &self,
        mut poll_ready: impl FnMut(&TcpStream) -> Poll<io::Result<()>>,
        mut operation: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(poll_ready(&self.0))?;
            match operation(&self.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unfilled = buffer.initialize_unfilled();
        let read = self.poll_io(|tcp| tcp.poll_read_ready(cx), |tcp| tcp.try_read(unfilled));
        let bytes = ready!(read)?;
        buffer.advance(bytes);
        Poll::Ready(Ok(()))
    }
}
