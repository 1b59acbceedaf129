//! The keys that all routers of a fleet share, proofs of holding one, and the keys of single
//! connections.

use std::fmt;

use error_stack::Report;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use super::error::PeerError;
use super::error::PeerStep;

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// Maximum number of keys at a time.
pub const MAX_KEYS: usize = 4;

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSide {
    /// The end that dialed.
    Dialer,
    /// The end that accepted.
    Acceptor,
}

impl PeerSide {
    /// Returns the other end.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Acceptor => b"acceptor",
        }
    }
}

/// The keys that all routers share: this router proves the first, and accepts proofs of any. There
/// are several only during a key rotation.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKeys {
    keys: Vec<Vec<u8>>,
}

/// The key that authenticates the frames of one direction of one connection.
#[derive(Clone)]
pub struct FrameKey(Hmac<Sha256>);

impl PeerKeys {
    /// Creates the set from one key, or from several during a rotation.
    ///
    /// # Errors
    /// No key, more than [`MAX_KEYS`] keys, or a key shorter than [`MIN_KEY_BYTES`].
    pub fn new(keys: Vec<Vec<u8>>) -> Result<Self, Report<PeerError>> {
        let count_fits = (1..=MAX_KEYS).contains(&keys.len());
        if !count_fits || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            return Err(Report::new(PeerError::new(PeerStep::Settings, "self"))
                .attach("give one to four peer keys of at least 32 bytes each"));
        }
        Ok(Self { keys })
    }

    /// Returns the proof of the first key by `side` over a transcript, and the frame key of that
    /// direction.
    #[must_use]
    pub fn prove(&self, side: PeerSide, transcript: &[u8]) -> (Vec<u8>, FrameKey) {
        let key = &self.keys[0];
        let proof = keyed_hash(key, b"proof", side, transcript);
        (
            proof.finalize().into_bytes().to_vec(),
            frame_key(key, side, transcript),
        )
    }

    /// Returns the frame key of `side`'s direction if its `proof` is valid for any of the keys. The
    /// comparison with a key takes constant time.
    #[must_use]
    pub fn check(&self, side: PeerSide, transcript: &[u8], proof: &[u8]) -> Option<FrameKey> {
        self.keys
            .iter()
            .find(|key| {
                keyed_hash(key, b"proof", side, transcript)
                    .verify_slice(proof)
                    .is_ok()
            })
            .map(|key| frame_key(key, side, transcript))
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "PeerKeys({} keys)", self.keys.len())
    }
}

impl FrameKey {
    /// Computes the tag of the frame with this number in this direction.
    #[must_use]
    pub fn tag(&self, number: u64, payload: &[u8]) -> [u8; 16] {
        let mut mac = self.0.clone();
        mac.update(&number.to_be_bytes());
        mac.update(payload);
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; 16];
        tag.copy_from_slice(&whole[..16]);
        tag
    }

    /// Checks a frame's tag in constant time.
    #[must_use]
    pub fn verify_tag(&self, number: u64, payload: &[u8], tag: &[u8]) -> bool {
        let mut mac = self.0.clone();
        mac.update(&number.to_be_bytes());
        mac.update(payload);
        tag.len() == 16 && mac.verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for FrameKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FrameKey")
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC takes keys of any length, so this can't fail; `PeerKeys::new` refuses an empty key.
    Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes any key length"))
}

fn keyed_hash(key: &[u8], use_label: &[u8], side: PeerSide, transcript: &[u8]) -> Hmac<Sha256> {
    let mut mac = new_mac(key);
    mac.update(b"verbenaturn ");
    mac.update(use_label);
    mac.update(b" ");
    mac.update(side.label());
    mac.update(b"\0");
    mac.update(transcript);
    mac
}

fn frame_key(key: &[u8], side: PeerSide, transcript: &[u8]) -> FrameKey {
    let derived = keyed_hash(key, b"frames", side, transcript)
        .finalize()
        .into_bytes();
    FrameKey(new_mac(&derived))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(first: u8, second: Option<u8>) -> PeerKeys {
        let all = std::iter::once(first)
            .chain(second)
            .map(|byte| vec![byte; MIN_KEY_BYTES])
            .collect();
        PeerKeys::new(all).expect("keys are long enough")
    }

    #[test]
    fn a_proof_is_bound_to_key_side_and_transcript() {
        let (proof, _) = keys(1, None).prove(PeerSide::Dialer, b"hellos");
        let both = keys(2, Some(1));
        assert!(both.check(PeerSide::Dialer, b"hellos", &proof).is_some());
        assert!(both.check(PeerSide::Acceptor, b"hellos", &proof).is_none());
        assert!(both.check(PeerSide::Dialer, b"others", &proof).is_none());
        assert!(
            keys(2, None)
                .check(PeerSide::Dialer, b"hellos", &proof)
                .is_none()
        );
        assert!(
            both.check(PeerSide::Dialer, b"hellos", &proof[..31])
                .is_none()
        );
    }

    #[test]
    fn a_tag_is_bound_to_number_and_payload() {
        let (_, key) = keys(1, None).prove(PeerSide::Dialer, b"hellos");
        let tag = key.tag(3, b"payload");
        assert!(key.verify_tag(3, b"payload", &tag));
        assert!(!key.verify_tag(4, b"payload", &tag));
        assert!(!key.verify_tag(3, b"payloae", &tag));
        assert!(!key.verify_tag(3, b"payload", &tag[..8]));
    }

    #[test]
    fn short_missing_and_too_many_keys_are_refused() {
        assert!(PeerKeys::new(Vec::new()).is_err());
        assert!(PeerKeys::new(vec![vec![1; MIN_KEY_BYTES - 1]]).is_err());
        assert!(PeerKeys::new(vec![vec![1; MIN_KEY_BYTES]; MAX_KEYS + 1]).is_err());
    }
}
