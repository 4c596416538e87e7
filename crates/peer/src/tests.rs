use super::*;

fn samples() -> Vec<Frame> {
    vec![
        Frame::Hello { node: "n-0".into() },
        Frame::Heartbeat {
            epoch: Epoch(7),
            leader: "n-1".into(),
            leads: true,
            state_age_ms: 12,
            born: 1_700_000_000_000,
            at: 5000,
            echo: (1_700_000_000_001, 4000),
            kept_ms: 31,
            waiting: 5,
        },
        Frame::JobProgress {
            epoch: Epoch(7),
            jobs: vec![("wk-1".into(), Revision(412), 3, 4), ("wk-2".into(), Revision(9), 0, 1)],
        },
        Frame::Relay { id: 9, body: Bytes::from_static(b"{}") },
        Frame::Relayed { id: 9, status: 409, body: Bytes::from_static(b"{\"a\":1}") },
    ]
}

/// What production says is understood and said the same to the last byte: it refuses frames of
/// another version, kinds that it does not know and bytes left over.
#[test]
fn frames_of_production_are_as_they_were() {
    let mut kinds = std::collections::BTreeSet::new();
    for line in include_str!("../../core/testdata/production.frames").lines() {
        let byte = |i: usize| u8::from_str_radix(&line[i..i + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let frame = Frame::decode(&mut BytesMut::from(&bytes[..])).unwrap().unwrap();
        let mut again = BytesMut::new();
        frame.encode(&mut again);
        assert_eq!(again, bytes);
        kinds.insert(bytes[5]);
    }
    assert_eq!(kinds.into_iter().collect::<Vec<u8>>(), [1, 2, 3, 4, 5]);
}

#[test]
fn frames_survive_and_every_cut_or_flip_is_no_panic() {
    for frame in samples() {
        let mut whole = BytesMut::new();
        frame.encode(&mut whole);
        assert_eq!(Frame::decode(&mut whole.clone()), Ok(Some(frame.clone())));
        for cut in 0..whole.len() {
            assert_eq!(Frame::decode(&mut BytesMut::from(&whole[..cut])), Ok(None));
            let mut flipped = whole.clone();
            flipped[cut] ^= 0xff;
            let _ = Frame::decode(&mut flipped);
        }
        // Inside the stated length, a shorter payload is an error, never a wait.
        let mut short = whole.clone();
        let n = whole.len() as u32 - 5;
        short[..4].copy_from_slice(&n.to_be_bytes());
        assert!(Frame::decode(&mut short).is_err());
    }
    let mut long = BytesMut::from(&[0xff; 8][..]);
    assert!(matches!(Frame::decode(&mut long), Err(FrameError::TooLong(_))));
}
