//! Encoding of frames, and decoding of complete, incomplete and corrupt frames.

use bytes::{Bytes, BytesMut};
use shaleshunt_peer::{Frame, FrameError, HeartbeatEcho, JobProgress, PeerHeartbeat};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

fn heartbeat() -> Frame {
    Frame::Heartbeat(PeerHeartbeat {
        epoch: Epoch(7),
        leader: "n-1".into(),
        is_leader: true,
        store_contact_age_ms: 12,
        process_id: 1_700_000_000_000,
        sent_at_ms: 5000,
        echo: HeartbeatEcho { process_id: 1_700_000_000_001, sent_at_ms: 4000 },
        lease_extension_age_ms: 31,
        pending_user_writes: 5,
    })
}

fn progress() -> Frame {
    let first = JobProgress { job: "wk-1".into(), record_version: Revision(412), done: 3, running: 4 };
    let second = JobProgress { job: "wk-2".into(), record_version: Revision(9), done: 0, running: 1 };
    Frame::JobProgress { epoch: Epoch(7), jobs: vec![first, second] }
}

fn samples() -> Vec<Frame> {
    vec![
        Frame::Hello { node: "n-0".into() },
        heartbeat(),
        progress(),
        Frame::ForwardedRequest { id: 9, body: Bytes::from_static(b"{}") },
        Frame::ForwardedResponse { id: 9, status: 409, body: Bytes::from_static(b"{\"a\":1}") },
    ]
}

/// Encoding of each sample, field by field: length, version, kind, payload.
fn golden_bytes() -> Vec<String> {
    vec![
        ["00000007", "03", "01", "0003", "6e2d30"].concat(),
        [
            "0000003c",
            "03",
            "02",
            "0000000000000007",
            "0003",
            "6e2d31",
            "01",
            "0000000c",
            "0000018bcfe56800",
            "0000000000001388",
            "0000018bcfe56801",
            "0000000000000fa0",
            "0000001f",
            "00000005",
        ]
        .concat(),
        [
            "0000003a",
            "03",
            "03",
            "0000000000000007",
            "00000002",
            "0004",
            "776b2d31",
            "000000000000019c",
            "00000003",
            "00000004",
            "0004",
            "776b2d32",
            "0000000000000009",
            "00000000",
            "00000001",
        ]
        .concat(),
        ["00000010", "03", "04", "0000000000000009", "00000002", "7b7d"].concat(),
        ["00000017", "03", "05", "0000000000000009", "0199", "00000007", "7b2261223a317d"].concat(),
    ]
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

fn encoded(frame: &Frame) -> BytesMut {
    let mut bytes = BytesMut::new();
    frame.encode(&mut bytes);
    bytes
}

/// A peer may run another release, so the encoding must not change with the code.
#[test]
fn each_kind_of_frame_is_encoded_as_its_golden_bytes() {
    for (frame, golden) in samples().iter().zip(golden_bytes()) {
        let golden = from_hex(&golden);
        assert_eq!(encoded(frame), golden, "{frame:?}");
        assert_eq!(Frame::decode(&mut BytesMut::from(&golden[..])), Ok(Some(frame.clone())));
    }
}

#[test]
fn encoding_appends_to_the_buffer() {
    let mut buffer = BytesMut::new();
    for frame in samples() {
        frame.encode(&mut buffer);
    }
    assert_eq!(buffer, from_hex(&golden_bytes().concat()));
    for frame in samples() {
        assert_eq!(Frame::decode(&mut buffer), Ok(Some(frame)));
    }
    assert_eq!(Frame::decode(&mut buffer), Ok(None));
}

/// Frames recorded in production are decoded and encoded again to the same bytes. A deployed controller rejects other
/// versions, unknown kinds and trailing bytes, so any difference would break a rolling upgrade.
#[test]
fn recorded_production_frames_are_reencoded_unchanged() {
    let mut kinds = BTreeSet::new();
    for line in include_str!("../../core/testdata/production.frames").lines() {
        let bytes = from_hex(line);
        let frame = Frame::decode(&mut BytesMut::from(&bytes[..])).unwrap().unwrap();
        assert_eq!(encoded(&frame), bytes);
        kinds.insert(bytes[5]);
    }
    assert_eq!(kinds.into_iter().collect::<Vec<u8>>(), [1, 2, 3, 4, 5]);
}

#[test]
fn complete_frames_are_decoded_and_truncated_or_corrupt_ones_do_not_panic() {
    for frame in samples() {
        let complete = encoded(&frame);
        assert_eq!(Frame::decode(&mut complete.clone()), Ok(Some(frame.clone())));
        for length in 0..complete.len() {
            assert_eq!(Frame::decode(&mut BytesMut::from(&complete[..length])), Ok(None));
            let mut corrupt = complete.clone();
            corrupt[length] ^= 0xff;
            let _ = Frame::decode(&mut corrupt);
        }
        // A payload that ends before its last field is an error, not an incomplete frame.
        let mut shortened = complete.clone();
        let shorter_length = complete.len() as u32 - 5;
        shortened[..4].copy_from_slice(&shorter_length.to_be_bytes());
        assert!(Frame::decode(&mut shortened).is_err());
    }
    let mut too_long = BytesMut::from(&[0xff; 8][..]);
    assert!(matches!(Frame::decode(&mut too_long), Err(FrameError::TooLong { .. })));
}

#[test]
fn decoding_errors_contain_the_invalid_values() {
    let decode = |hex: &str| Frame::decode(&mut BytesMut::from(&from_hex(hex)[..])).unwrap_err();
    assert_eq!(decode("000000020201"), FrameError::UnsupportedVersion { found: 2 });
    assert_eq!(decode("000000020306"), FrameError::UnknownKind { found: 6 });
    assert_eq!(decode("000000030301ff"), FrameError::Truncated { needed: 2, available: 1 });
    assert_eq!(decode("0000000503010000aa"), FrameError::TrailingBytes { count: 1 });
    assert_eq!(decode("0000000503010001ff"), FrameError::InvalidUtf8);
    assert_eq!(decode("00100001"), FrameError::TooLong { length: 0x0010_0001 });
}
