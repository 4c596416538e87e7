use super::*;

fn unexpected(attempt: u64, exit: Option<ExitCause>) -> UnexpectedTask {
    UnexpectedTask { task: "wk-1/3".into(), attempt: Attempt(attempt), exit }
}

#[test]
fn a_task_without_placement_appears_when_the_heartbeat_before_did_not_have_it_like_that() {
    let failed = Some(ExitCause::Error);
    let cases = [
        ("new", unexpected(9, None), vec![], true),
        ("another attempt", unexpected(9, None), vec![unexpected(8, None)], true),
        ("still there", unexpected(9, None), vec![unexpected(9, None)], false),
        ("ended since", unexpected(9, failed), vec![unexpected(9, None)], false),
        ("not forgotten yet", unexpected(9, failed), vec![unexpected(9, failed)], false),
        ("started again after a forget", unexpected(9, None), vec![unexpected(9, failed)], true),
        ("refused after a forget", unexpected(9, Some(ExitCause::Stopped)), vec![unexpected(9, failed)], true),
    ];
    for (name, task, known, expected) in cases {
        assert_eq!(has_appeared(&task, &known), expected, "{name}");
    }
}
