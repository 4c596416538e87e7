use super::*;

#[test]
fn numbers_count_as_nearly_used_up_while_many_thousand_are_left() {
    let limit = FencingToken::MAX_COUNTER - FencingToken::MAX_COUNTER / 16;
    assert!(!is_nearly_used_up(limit, FencingToken::MAX_COUNTER));
    assert!(is_nearly_used_up(limit + 1, FencingToken::MAX_COUNTER));
    assert!(FencingToken::MAX_COUNTER - limit > 60_000);
}

#[test]
fn no_further_task_is_placed_when_attempts_are_nearly_used_up() {
    let numbers = |attempt| LeaderNumbers { attempt, placement_id: 0 };
    assert!(!numbers(1_000_000).attempts_nearly_used_up());
    assert!(numbers(Attempt::MAX_COUNTER).attempts_nearly_used_up());
}
