//! A TCP socket that is driven by hyper while its owner can still look at it and end it.

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

/// A socket with several handles. It is closed with the last of them.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Shares a socket. Small writes go out at once.
    pub fn new(tcp: TcpStream) -> Self {
        set_nodelay(&tcp);
        Self(Arc::new(tcp))
    }

    /// The socket.
    pub fn tcp(&self) -> &TcpStream {
        &self.0
    }

    /// Whether nothing has come that was not read, as the kernel knows it: the runtime may not have reported it yet.
    pub fn has_no_pending_input(&self) -> bool {
        let peeked = SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed or reset the connection, as far as the runtime has reported it, behind any unread
    /// bytes.
    pub fn is_read_closed(&self) -> bool {
        let cx = &mut Context::from_waker(Waker::noop());
        let ready = pin!(self.0.ready(Interest::READABLE)).poll(cx);
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits for something new to come, without reading it: what is there already does not count. Bytes that are left
    /// unread so must be read with [`SharedStream::read_now`] first when reading goes on.
    pub fn poll_new_input(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Clears the readiness that the runtime has noted.
        let cleared: io::Result<()> = self
            .0
            .try_io(Interest::READABLE, || Err(ErrorKind::WouldBlock.into()));
        drop(cleared);
        self.0.poll_read_ready(cx)
    }

    /// Reads what the kernel has, whether or not the runtime has reported it.
    ///
    /// # Errors
    ///
    /// Fails as `read` does, with `WouldBlock` where there is nothing.
    pub fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let socket = SockRef::from(&*self.0);
        (&mut &*socket).read(buffer)
    }

    /// Ends the sending side.
    ///
    /// # Errors
    ///
    /// Fails if the peer has reset the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Has the connection reset when it is closed, so that the peer cannot take what it got for a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the socket refuses the option.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&*self.0).set_linger(Some(Duration::ZERO))
    }

    /// Writes the slices, as `AsyncWrite::poll_write_vectored` does.
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

    /// Tries an operation each time the socket is ready, until it would not block.
    fn poll_io(
        &self,
        mut poll_ready: impl FnMut(&TcpStream) -> Poll<io::Result<()>>,
        mut operation: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(poll_ready(&self.0))?;
            match operation(&self.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
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
