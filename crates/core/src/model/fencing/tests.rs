use super::*;

const EPOCH: Epoch = Epoch(7);
const ATTEMPT: Attempt = Attempt(9);

#[test]
fn answered_direct_starts_are_fenced_off_only_by_a_higher_token() {
    let mut fencing = Fencing::default();
    let first = fencing.token(EPOCH);
    fencing.record_direct_start(ATTEMPT);
    fencing.record_direct_start(ATTEMPT);
    assert_eq!(fencing.direct_starts(), [ATTEMPT]);
    fencing.fence_direct_starts().unwrap();
    assert!(fencing.direct_starts().is_empty() && fencing.token(EPOCH) > first);
    assert_eq!(fencing.required_token(EPOCH), first, "heartbeats under the former token remain proofs");
}

#[test]
fn a_raised_token_is_required_of_heartbeats() {
    let mut fencing = Fencing::default();
    fencing.record_direct_start(ATTEMPT);
    fencing.raise().unwrap();
    assert!(fencing.direct_starts().is_empty());
    assert_eq!(fencing.required_token(EPOCH), fencing.token(EPOCH));
    fencing.raise_above(20).unwrap();
    assert_eq!((fencing.counter(), fencing.required_token(EPOCH)), (21, FencingToken::new(EPOCH, 21)));
    fencing.raise_above(3).unwrap();
    assert_eq!(fencing.counter(), 21);
}

#[test]
fn the_token_of_a_leader_that_stays_for_months_never_reaches_the_next_epoch() {
    let mut fencing = Fencing::starting_at(FencingToken::MAX_COUNTER - 1);
    fencing.record_direct_start(ATTEMPT);
    fencing.fence_direct_starts().unwrap();
    fencing.record_direct_start(ATTEMPT);
    let last = fencing.token(EPOCH);
    assert_eq!(fencing.fence_direct_starts(), Err(TokenExhausted));
    assert_eq!(fencing.raise(), Err(TokenExhausted));
    assert_eq!(fencing.raise_above(FencingToken::MAX_COUNTER), Err(TokenExhausted));
    assert_eq!((fencing.token(EPOCH), fencing.direct_starts()), (last, [ATTEMPT].as_slice()));
    assert_eq!(last.epoch(), EPOCH);
    assert!(last < FencingToken::new(EPOCH.next(), 0));
    assert_eq!(Fencing::starting_at(u64::MAX).token(EPOCH), last);
}
