//! The frame format: a length of four bytes, the payload and, after the handshake, a tag of 16
//! bytes that authenticates the payload and its position in the stream.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use super::keys::FrameKey;

/// Size of the tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Bytes that a frame adds to its payload after the handshake.
pub const FRAME_OVERHEAD: usize = 4 + TAG_BYTES;

/// Largest frame, in bytes, before the peer is authenticated. Limits the memory that an
/// unauthenticated peer can make this router use.
pub const MAX_HELLO_BYTES: usize = 512;

/// Splits a byte stream into frames and checks their tags.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    sealed: Option<FrameSeal>,
}

#[derive(Debug)]
struct FrameSeal {
    write_key: FrameKey,
    read_key: FrameKey,
    written: u64,
    read: u64,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_HELLO_BYTES)
            .new_codec();
        Self {
            lengths,
            sealed: None,
        }
    }
}

impl FrameCodec {
    /// Starts to authenticate all further frames and limits their payload to `max_bytes`.
    pub fn seal(&mut self, write_key: FrameKey, read_key: FrameKey, max_bytes: usize) {
        self.lengths.set_max_frame_length(max_bytes + TAG_BYTES);
        self.sealed = Some(FrameSeal {
            write_key,
            read_key,
            written: 0,
            read: 0,
        });
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, payload: Bytes, target: &mut BytesMut) -> io::Result<()> {
        let Some(seal) = &mut self.sealed else {
            return self.lengths.encode(payload, target);
        };
        let tag = seal.write_key.tag(seal.written, &payload);
        seal.written += 1;
        let mut frame = BytesMut::with_capacity(payload.len() + TAG_BYTES);
        frame.extend_from_slice(&payload);
        frame.extend_from_slice(&tag);
        self.lengths.encode(frame.freeze(), target)
    }
}

impl Decoder for FrameCodec {
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Bytes>> {
        let Some(mut frame) = self.lengths.decode(source)? else {
            return Ok(None);
        };
        let Some(seal) = &mut self.sealed else {
            return Ok(Some(frame.freeze()));
        };
        let Some(length) = frame.len().checked_sub(TAG_BYTES) else {
            return Err(io::Error::other("frame is shorter than its tag"));
        };
        let tag = frame.split_off(length);
        // An attacker on the network who injects, alters, drops, repeats or reorders frames can't
        // compute the tag for the next frame number, so the connection ends here.
        if !seal.read_key.verify_tag(seal.read, &frame, &tag) {
            return Err(io::Error::other("frame has a wrong tag"));
        }
        seal.read += 1;
        Ok(Some(frame.freeze()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::peers::keys::PeerKeys;
    use crate::peers::keys::PeerSide;

    fn pair() -> (FrameCodec, FrameCodec) {
        let keys = PeerKeys::new(vec![vec![7; 32]]).expect("one key of 32 bytes");
        let (_, dialer) = keys.prove(PeerSide::Dialer, b"hellos");
        let (_, acceptor) = keys.prove(PeerSide::Acceptor, b"hellos");
        let mut left = FrameCodec::default();
        let mut right = FrameCodec::default();
        left.seal(dialer.clone(), acceptor.clone(), 1_000);
        right.seal(acceptor, dialer, 1_000);
        (left, right)
    }

    #[test]
    fn an_altered_repeated_or_swapped_frame_ends_the_connection() {
        let (mut left, mut right) = pair();
        let mut first = BytesMut::new();
        left.encode(Bytes::from_static(b"one"), &mut first)
            .expect("fits");
        let mut second = BytesMut::new();
        left.encode(Bytes::from_static(b"two"), &mut second)
            .expect("fits");
        let mut altered = first.clone();
        altered[5] ^= 1;
        assert!(right.decode(&mut altered).is_err());
        assert!(right.decode(&mut second.clone()).is_err(), "swapped");
        let read = right.decode(&mut first.clone()).expect("right tag");
        assert_eq!(read, Some(Bytes::from_static(b"one")));
        assert!(right.decode(&mut first).is_err(), "repeated");
    }

    #[test]
    fn oversized_frames_are_refused_at_both_ends() {
        let (mut left, _) = pair();
        let mut target = BytesMut::new();
        assert!(
            left.encode(Bytes::from(vec![0; 1_001]), &mut target)
                .is_err()
        );
        let mut source = BytesMut::from(&[0, 0, 4, 0][..]);
        assert!(FrameCodec::default().decode(&mut source).is_err());
    }
}
