//! Framing of server-sent events.

use std::time::{Duration, Instant};

use peridotslip::events::EventFramer;
use proptest::{collection, prelude::*, sample};

/// Bytes of the longest event that the framer has to accept.
const LONG_EVENT_BYTES: usize = 256 * 1024;
/// Time in which a long event must be framed whatever its pieces are.
const FRAMING_LIMIT: Duration = Duration::from_secs(10);

/// Returns the events that the framer finds in `pieces`, and whether an
/// incomplete event remains.
fn frame<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Vec<u8>>, bool) {
    let mut framer = EventFramer::default();
    let mut events = Vec::new();
    for piece in pieces {
        framer.push(piece).unwrap();
        while let Some(event) = framer.next_event() {
            events.push(event.to_vec());
        }
    }
    (events, framer.is_partial())
}

/// Bytes of a stream, in which ends of lines are frequent.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    collection::vec(sample::select(b"\n\n\r\rax:".as_slice()), 0..200)
}

proptest! {
    /// Guards against events that depend on how the network split the stream.
    #[test]
    fn events_do_not_depend_on_the_pieces(
        bytes in stream_bytes(),
        sizes in collection::vec(1_usize..9, 200),
    ) {
        let mut rest = bytes.as_slice();
        let mut pieces = Vec::new();
        for size in sizes {
            let (piece, tail) = rest.split_at(size.min(rest.len()));
            pieces.push(piece);
            rest = tail;
        }

        let framed = frame(pieces);

        prop_assert_eq!(framed, frame([bytes.as_slice()]));
    }
}

/// Guards against a scan of the whole buffer for each piece of an event, which
/// takes quadratic time.
#[test]
fn long_event_that_arrives_byte_by_byte_is_framed_in_linear_time() {
    let mut framer = EventFramer::default();
    let started = Instant::now();

    for at in 0..LONG_EVENT_BYTES {
        framer.push(b"x").unwrap();
        assert!(framer.next_event().is_none());
        assert!(
            started.elapsed() < FRAMING_LIMIT,
            "framed only {at} bytes of the event in {FRAMING_LIMIT:?}"
        );
    }
    framer.push(b"\n\n").unwrap();

    let event = framer.next_event().unwrap();
    assert_eq!(event.len(), LONG_EVENT_BYTES + 2);
}

/// Guards against an event without end that fills the memory.
#[test]
fn event_without_end_is_rejected() {
    for piece_bytes in [1_000, 100_000, 5_000_000] {
        let mut framer = EventFramer::default();
        let piece = vec![b'x'; piece_bytes];

        let pushed = (0..5_000_000 / piece_bytes).try_for_each(|_| framer.push(&piece));

        assert!(pushed.is_err(), "pieces of {piece_bytes} bytes");
    }
}
