//! The handshake: each end identifies itself and proves that it holds a peer key.
//!
//! The frames are the dialer's hello, the acceptor's hello, the dialer's proof and the acceptor's
//! proof. A proof is a keyed hash over both hellos with their nonces, the prover's side and, with
//! TLS, a secret of that TLS connection, so it can't be replayed, reflected or relayed into another
//! TLS connection. The acceptor's proof is sent last, so a dialer without a key learns nothing
//! from it.

use std::io;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use rand::Rng;
use tokio_util::codec::Framed;

use crate::units::HostName;
use crate::units::RouterIncarnation;
use crate::wire::WIRE_VERSION;
use crate::wire::handshake::HelloFrame;
use crate::wire::handshake::ProofFrame;

use super::error::PeerError;
use super::error::PeerStep;
use super::frames::FrameCodec;
use super::keys::PeerKeys;
use super::keys::PeerSide;
use super::tls::PeerStream;
use super::tls::channel_binding;
use super::traffic::TrafficCounters;
use super::traffic::TrafficKind;

/// Size of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// The purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPurpose {
    /// Control messages in both directions.
    Control,
    /// Forwarded requests, one at a time.
    Forward,
}

impl LinkPurpose {
    fn from_wire(number: u32) -> Option<Self> {
        match number {
            0 => Some(Self::Control),
            1 => Some(Self::Forward),
            _ => None,
        }
    }
}

/// The authenticated router at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemotePeer {
    /// Its host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: RouterIncarnation,
    /// The purpose in its hello; only the dialer's is used.
    pub purpose: LinkPurpose,
}

/// Input of this end for one handshake.
#[derive(Debug)]
pub(super) struct HandshakeParams<'params> {
    pub host: &'params HostName,
    pub incarnation: RouterIncarnation,
    pub keys: &'params PeerKeys,
    pub side: PeerSide,
    pub purpose: LinkPurpose,
    pub max_frame_bytes: usize,
    pub counters: &'params TrafficCounters,
    /// The peer's host or address, for errors.
    pub peer: &'params str,
}

/// A connection that is split into frames.
pub(super) type PeerFramed = Framed<PeerStream, FrameCodec>;

/// Runs the handshake on a new connection.
pub(super) async fn run_handshake(
    stream: PeerStream,
    params: &HandshakeParams<'_>,
) -> Result<(PeerFramed, RemotePeer), Report<PeerError>> {
    let fail = |step| PeerError::new(step, params.peer);
    let binding = channel_binding(&stream).change_context_lazy(|| fail(PeerStep::Tls))?;
    let mut framed = Framed::new(stream, FrameCodec::default());
    let mine = Bytes::from(own_hello(params).encode_to_vec());
    let theirs = match params.side {
        PeerSide::Dialer => {
            write(&mut framed, params, mine.clone()).await?;
            read(&mut framed, params, PeerStep::Hello).await?
        }
        PeerSide::Acceptor => {
            let hello = read(&mut framed, params, PeerStep::Hello).await?;
            write(&mut framed, params, mine.clone()).await?;
            hello
        }
    };
    let remote = check_hello(&theirs, params)?;
    let (dialed, accepted) = match params.side {
        PeerSide::Dialer => (&mine, &theirs),
        PeerSide::Acceptor => (&theirs, &mine),
    };
    let transcript = transcript_of(&binding, dialed, accepted);
    let (proof, write_key) = params.keys.prove(params.side, &transcript);
    let proof = ProofFrame {
        proof: proof.into(),
    };
    let proof = Bytes::from(proof.encode_to_vec());
    let answer = match params.side {
        PeerSide::Dialer => {
            write(&mut framed, params, proof).await?;
            read(&mut framed, params, PeerStep::Proof).await?
        }
        PeerSide::Acceptor => read(&mut framed, params, PeerStep::Proof).await?,
    };
    let answer = ProofFrame::decode(answer).change_context_lazy(|| fail(PeerStep::Proof))?;
    let Some(read_key) = params
        .keys
        .check(params.side.other(), &transcript, &answer.proof)
    else {
        return Err(
            Report::new(fail(PeerStep::Proof)).attach("the proof matches none of the peer keys")
        );
    };
    if params.side == PeerSide::Acceptor {
        let (proof, _) = params.keys.prove(params.side, &transcript);
        let proof = ProofFrame {
            proof: proof.into(),
        };
        write(&mut framed, params, Bytes::from(proof.encode_to_vec())).await?;
    }
    framed
        .codec_mut()
        .seal(write_key, read_key, params.max_frame_bytes);
    Ok((framed, remote))
}

fn own_hello(params: &HandshakeParams<'_>) -> HelloFrame {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    HelloFrame {
        version: WIRE_VERSION,
        host: params.host.to_string(),
        incarnation: params.incarnation.0,
        purpose: match params.purpose {
            LinkPurpose::Control => 0,
            LinkPurpose::Forward => 1,
        },
        nonce: nonce.into(),
    }
}

fn check_hello(
    bytes: &Bytes,
    params: &HandshakeParams<'_>,
) -> Result<RemotePeer, Report<PeerError>> {
    let fail = |step| PeerError::new(step, params.peer);
    let hello = HelloFrame::decode(bytes.clone()).change_context_lazy(|| fail(PeerStep::Hello))?;
    if hello.version != WIRE_VERSION {
        return Err(Report::new(fail(PeerStep::Version)).attach(format!(
            "the peer uses version {}, this router {WIRE_VERSION}",
            hello.version
        )));
    }
    if hello.nonce.len() != NONCE_BYTES {
        return Err(Report::new(fail(PeerStep::Hello)).attach("the nonce is not 32 bytes long"));
    }
    let host: HostName = hello
        .host
        .parse()
        .change_context_lazy(|| fail(PeerStep::Hello))?;
    if host == *params.host {
        return Err(
            Report::new(fail(PeerStep::Identity)).attach("the peer has this router's host name")
        );
    }
    let Some(purpose) = LinkPurpose::from_wire(hello.purpose) else {
        return Err(Report::new(fail(PeerStep::Hello)).attach("unknown connection purpose"));
    };
    Ok(RemotePeer {
        host,
        incarnation: RouterIncarnation(hello.incarnation),
        purpose,
    })
}

/// Joins the parts, each prefixed with its length, so that different parts never give the same
/// transcript.
fn transcript_of(binding: &[u8], dialed: &[u8], accepted: &[u8]) -> Vec<u8> {
    let mut transcript = Vec::new();
    for part in [binding, dialed, accepted] {
        transcript.extend_from_slice(&(part.len() as u64).to_be_bytes());
        transcript.extend_from_slice(part);
    }
    transcript
}

async fn write(
    framed: &mut PeerFramed,
    params: &HandshakeParams<'_>,
    frame: Bytes,
) -> Result<(), Report<PeerError>> {
    params
        .counters
        .add_sent(TrafficKind::Handshake, frame.len() + 4);
    framed
        .send(frame)
        .await
        .change_context_lazy(|| PeerError::new(PeerStep::Write, params.peer))
}

async fn read(
    framed: &mut PeerFramed,
    params: &HandshakeParams<'_>,
    step: PeerStep,
) -> Result<Bytes, Report<PeerError>> {
    let frame = framed
        .next()
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
        .change_context_lazy(|| PeerError::new(step, params.peer))?;
    params
        .counters
        .add_received(TrafficKind::Handshake, frame.len() + 4);
    Ok(frame)
}
