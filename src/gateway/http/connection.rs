//! A TCP connection with a buffer of bytes that were read and not yet consumed.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time;
use tokio::time::Instant;

use crate::gateway::link::LinkMeter;

use super::overdue::OverdueReads;

/// Buffer space reserved before a read, in bytes: enough for a whole head or several events in one
/// system call.
const READ_BYTES: usize = 8_192;

/// Bytes that are read from one connection before other tasks run, also if more are ready.
const TURN_BYTES: usize = 65_536;

/// Most unconsumed bytes up to which a connection is read while a write waits.
const MAX_READ_AHEAD_BYTES: usize = 65_536;

/// Error of a write that ended because the peer closed its side in an orderly way.
const PEER_CLOSED: io::ErrorKind = io::ErrorKind::ConnectionAborted;

/// A TCP connection and its read buffer.
#[derive(Debug)]
pub struct WireStream {
    stream: TcpStream,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
    /// Reads after a time limit has passed.
    pub overdue: OverdueReads,
    /// Why a write failed, if one did because the peer had reset the connection.
    reset: Option<io::ErrorKind>,
    /// Bytes read since other tasks last had a turn.
    read_in_turn: usize,
    meter: Option<Arc<LinkMeter>>,
}

impl WireStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            overdue: OverdueReads::default(),
            reset: None,
            read_in_turn: 0,
            meter: None,
        }
    }

    /// Counts the bytes that are sent and received from now on.
    #[must_use]
    pub fn metered(mut self, meter: &Arc<LinkMeter>) -> Self {
        self.meter = Some(Arc::clone(meter));
        self
    }

    fn count_received(&self, bytes: usize) {
        if let Some(meter) = &self.meter {
            meter.received(bytes);
        }
    }

    fn count_sent(&self, bytes: usize) {
        if let Some(meter) = &self.meter {
            meter.sent(bytes);
        }
    }

    /// Sets `TCP_NODELAY`, so that small writes are sent at once. An answer sent in one write does
    /// not need it and saves the system call.
    pub fn disable_nagle(&self) {
        if let Err(fault) = self.stream.set_nodelay(true) {
            spdlog::debug!("gateway: step=nodelay fault=\"{fault}\"");
        }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    /// If the address does not respond in time or refuses the connection.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = time::timeout(limit, TcpStream::connect(address));
        let stream = Self::new(connecting.await.map_err(|_| io::ErrorKind::TimedOut)??);
        stream.disable_nagle();
        Ok(stream)
    }

    /// Reads more bytes into the buffer. Returns 0 if the peer closed its side.
    ///
    /// Guards against a reset that looks like an orderly close, and the part of an answer before it
    /// like a whole one: the system reports a reset once, and to a write if that comes first.
    ///
    /// # Errors
    /// If the connection broke, also if a write has found that before.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.end_turn().await;
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await?;
        if read == 0
            && let Some(kind) = self.reset
        {
            return Err(kind.into());
        }
        self.read_in_turn += read;
        self.count_received(read);
        Ok(read)
    }

    /// Lets other tasks run if enough bytes were read from this connection since they last did.
    ///
    /// Guards against a peer that always has bytes to read: its task would go on for as long as the
    /// runtime lets it, and all others would wait.
    pub async fn end_turn(&mut self) {
        if self.read_in_turn >= TURN_BYTES {
            self.read_in_turn = 0;
            yield_now().await;
        }
    }

    /// Reads more bytes into the buffer like [`Self::fill`]; `None` if none have arrived by `until`,
    /// or by the time at which a late process looks.
    pub async fn fill_until(&mut self, until: Instant) -> Option<io::Result<usize>> {
        if let Ok(read) = time::timeout_at(until, self.fill()).await {
            return Some(read);
        }
        if self.has_unread_bytes() {
            return Some(self.fill().await);
        }
        None
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// If the connection broke.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.count_sent(bytes.len());
        let sent = self.stream.write_all(bytes).await;
        self.record_reset(&sent);
        sent
    }

    /// Records that a write failed, unless the peer had closed its side before: all that it sent has
    /// then arrived, and the system reports a broken pipe.
    fn record_reset(&mut self, sent: &io::Result<()>) {
        if let Err(fault) = sent
            && !matches!(fault.kind(), PEER_CLOSED | io::ErrorKind::BrokenPipe)
        {
            self.reset = Some(fault.kind());
        }
    }

    /// Writes all of `bytes`. If they don't fit the socket's buffer at once, keeps reading while it
    /// waits, to notice early if the peer leaves.
    ///
    /// Guards against a peer that sends without reading: what it sends would be collected without a
    /// bound, and as there is always something to read, the wait would never let a time limit pass.
    ///
    /// # Errors
    /// If the connection broke, or the peer closed its side while the write waited.
    pub async fn send_while_reading(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.count_sent(bytes.len());
        let sent = self.write_while_reading(bytes).await;
        self.record_reset(&sent);
        sent
    }

    async fn write_while_reading(&mut self, bytes: &[u8]) -> io::Result<()> {
        // Almost every write fits the socket's buffer, so that nothing has to be read meanwhile.
        let mut sent = match self.stream.try_write(bytes) {
            Ok(count) => count,
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => 0,
            Err(fault) => return Err(fault),
        };
        while sent < bytes.len() {
            let may_read = self.buffer.len() < MAX_READ_AHEAD_BYTES;
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write(&bytes[sent..]) => sent += written?,
                read = reader.read_buf(&mut self.buffer), if may_read => {
                    if read? == 0 {
                        return Err(PEER_CLOSED.into());
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns whether an idle connection can take another request: it is open and has no
    /// unrequested bytes to read.
    ///
    /// Peeks at the socket directly: what arrives while other tasks run is not known to the runtime
    /// until its next poll.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let mut ahead = [MaybeUninit::uninit(); 1];
        self.buffer.is_empty()
            && SockRef::from(&self.stream)
                .peek(&mut ahead)
                .is_err_and(|fault| fault.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether bytes have arrived that were not read yet.
    ///
    /// Peeks at the socket directly: after a pause of the process the runtime may fire timers before
    /// it learns what has arrived meanwhile. [`Self::fill`] then reads the bytes without a long wait.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        let mut ahead = [MaybeUninit::uninit(); 1];
        SockRef::from(&self.stream)
            .peek(&mut ahead)
            .is_ok_and(|count| count > 0)
    }

    /// Returns whether the peer has closed its side, as far as this host knows.
    ///
    /// Peeks at the socket directly: the runtime notices a close only at its next poll, and a
    /// lagging router, where most callers leave, polls late. If the peer sent bytes before it
    /// closed its side, the close is not seen until these bytes are read.
    #[must_use]
    pub fn peer_has_closed(&self) -> bool {
        let mut ahead = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut ahead) {
            Ok(count) => count == 0,
            Err(fault) => fault.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
