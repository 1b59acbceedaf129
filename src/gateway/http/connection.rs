//! A TCP connection with the bytes that were read and not yet used.

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
use tokio::time;

use crate::gateway::link::LinkMeter;

/// Space made before a read, in bytes: a whole head or some events in one system call.
const READ_BYTES: usize = 8_192;

/// A connection and its unread bytes.
#[derive(Debug)]
pub struct WireStream {
    stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub buffer: BytesMut,
    meter: Option<Arc<LinkMeter>>,
}

impl WireStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            meter: None,
        }
    }

    /// Counts what it moves from now on.
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

    /// Sends small pieces at once. An answer in one piece needs no such setting, which costs a
    /// system call.
    pub fn send_pieces_at_once(&self) {
        if let Err(fault) = self.stream.set_nodelay(true) {
            spdlog::debug!("gateway: step=nodelay fault=\"{fault}\"");
        }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    /// If the address does not answer in time or refuses.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = time::timeout(limit, TcpStream::connect(address));
        let stream = Self::new(connecting.await.map_err(|_| io::ErrorKind::TimedOut)??);
        stream.send_pieces_at_once();
        Ok(stream)
    }

    /// Reads more bytes into the buffer; 0 at the connection's orderly end.
    ///
    /// # Errors
    /// If the connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await?;
        self.count_received(read);
        Ok(read)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// If the connection broke.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.count_sent(bytes.len());
        self.stream.write_all(bytes).await
    }

    /// Writes all of `bytes` while it goes on reading; ends early when the peer has left.
    ///
    /// # Errors
    /// If the connection broke or the peer closed its side.
    pub async fn send_watching(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.count_sent(bytes.len());
        // Almost every write fits the socket's buffer and needs no watching.
        let mut sent = match self.stream.try_write(bytes) {
            Ok(count) => count,
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => 0,
            Err(fault) => return Err(fault),
        };
        while sent < bytes.len() {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write(&bytes[sent..]) => sent += written?,
                read = reader.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
            }
        }
        Ok(())
    }

    /// Whether an idle connection can take another request: open, and nothing unasked arrived.
    #[must_use]
    pub fn is_clean(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0_u8; 1];
        matches!(
            self.stream.try_read(&mut probe),
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock
        )
    }

    /// Whether the peer has closed its side, as far as this host has heard.
    ///
    /// Asks the socket itself: the runtime notes an end only when it next polls, and a router that
    /// lags, where callers leave most, polls late. Bytes that were sent ahead hide an end behind
    /// them until they are read.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let mut ahead = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut ahead) {
            Ok(count) => count == 0,
            Err(fault) => fault.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
