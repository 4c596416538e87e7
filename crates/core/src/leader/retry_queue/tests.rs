use super::*;

#[test]
fn requests_are_returned_once_and_only_when_due() {
    let mut queue = RetryQueue::default();
    queue.push(200, "late");
    queue.push(100, "early");
    assert_eq!(queue.pop_due(99), None);
    assert_eq!(queue.pop_due(100), Some("early"));
    assert_eq!(queue.pop_due(199), None);
    assert!(!queue.is_empty());
    assert_eq!(queue.pop_due(200), Some("late"));
    assert!(queue.is_empty());
}
