//! Decoders of answers' bytes, on bytes that arrive in small pieces or have no end.

use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;

use verbenaturn::gateway::http::BodyDecoder;
use verbenaturn::gateway::http::BodyFraming;
use verbenaturn::gateway::http::EventSplitter;
use verbenaturn::gateway::http::OverdueReads;
use verbenaturn::gateway::http::events::MAX_EVENT_BYTES;

/// Bytes of one read in these tests.
const PIECE_BYTES: usize = 16;

/// Longest time for an event of the largest size in pieces; it takes some ms.
const SPLIT_LIMIT: Duration = Duration::from_secs(1);

/// Guards against an incomplete event that is searched from its start for each piece: the time
/// grows with the square of its size.
#[test]
fn an_event_is_searched_once() {
    let begun = Instant::now();
    let mut splitter = EventSplitter::default();
    for _ in 0..MAX_EVENT_BYTES / PIECE_BYTES {
        splitter.input().extend_from_slice(&[b'x'; PIECE_BYTES]);
        assert!(splitter.take().is_empty());
    }
    let took = begun.elapsed();
    assert!(took < SPLIT_LIMIT, "{took:?}");
}

/// Guards against an event that is collected without a bound.
#[test]
fn an_event_without_end_is_too_large() {
    let mut splitter = EventSplitter::default();
    splitter.input().resize(MAX_EVENT_BYTES, b'x');
    assert!(splitter.take().is_empty() && !splitter.is_too_large());
    splitter.input().extend_from_slice(b"x");
    assert!(splitter.take().is_empty() && splitter.is_too_large());
}

/// Guards against an end of an event that is missed when it arrives in two pieces, or after the
/// splitter was started again.
#[test]
fn events_end_wherever_their_bytes_are_split() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\nid: 3\n\n";
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        splitter
            .input()
            .extend_from_slice(b"data: of a broken connection");
        assert!(splitter.take().is_empty());
        splitter.restart();
        let mut taken = BytesMut::new();
        for piece in [&text[..split], &text[split..]] {
            splitter.input().extend_from_slice(piece);
            taken.extend_from_slice(&splitter.take());
        }
        assert_eq!((&taken[..], splitter.last_id()), (&text[..], Some(3)));
        assert!(!splitter.is_inside_event());
    }
}

/// Decodes a chunked body that ends with these trailer lines; returns whether it is complete, or
/// nothing if it is refused.
fn decode_trailer(lines: usize) -> Option<bool> {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut body = BytesMut::new();
    let mut buffer = BytesMut::from(&b"1\r\nx\r\n0\r\n"[..]);
    for _ in 0..lines {
        buffer.extend_from_slice(b"X-Trailer: x\r\n");
        decoder.decode(&mut buffer, &mut body).ok()?;
    }
    buffer.extend_from_slice(b"\r\n");
    decoder.decode(&mut buffer, &mut body).ok()?;
    Some(decoder.is_complete())
}

/// Guards against trailer lines that are skipped without a bound, each of them sound.
#[test]
fn a_trailer_without_end_is_refused() {
    assert_eq!(decode_trailer(0), Some(true));
    assert_eq!(decode_trailer(100), Some(true));
    assert_eq!(decode_trailer(10_000), None);
}

/// Guards against an endpoint that always has bytes ready, which keeps a time limit from being
/// seen, and against an answer that is lost though it arrived before a late router came round.
#[test]
fn reads_after_a_time_limit_end_soon() {
    let limit = tokio::time::Instant::now();
    let ms = Duration::from_millis;
    let late = limit + ms(700);
    let mut reads = OverdueReads::default();
    assert!(reads.allows(limit - ms(1), limit));
    assert!(reads.allows(late, limit));
    assert!(reads.allows(late + ms(20), limit));
    assert!(!reads.allows(late + ms(60), limit));
    assert!(!reads.allows(late + ms(900), limit));
    // The next limit, of the same call or another one.
    assert!(reads.allows(late + ms(900), limit + ms(900)));
    assert!(reads.allows(late + ms(1_700), late + ms(900)));
}
