use super::KvAvailability;
use crate::io::RequestError;

const INTERVAL_MS: u64 = 3000;

#[test]
fn store_without_failed_requests_counts_as_available() {
    let kv = KvAvailability::new(1000);
    assert!(!kv.is_unavailable(100_000, INTERVAL_MS));
}

#[test]
fn store_is_unavailable_from_a_timeout_after_the_last_answer_until_the_next_one() {
    let mut kv = KvAvailability::new(1000);
    kv.record_failure(1500);
    assert!(!kv.is_unavailable(2000, INTERVAL_MS));
    assert!(kv.is_unavailable(2001, INTERVAL_MS));
    kv.record(2500, &Ok(()));
    assert_eq!(kv.last_answer_at_ms(), 2500);
    assert!(!kv.is_unavailable(4000, INTERVAL_MS));
}

#[test]
fn only_errors_without_a_response_of_the_store_count_as_failures() {
    let cases = [
        (RequestError::NotSent, true),
        (RequestError::LocalOverload, true),
        (RequestError::OutcomeUnknown, true),
        (RequestError::Unavailable, true),
        (RequestError::Throttled, false),
        (RequestError::Rejected("what".into()), false),
        (RequestError::ResponseTooLong, false),
        (RequestError::MalformedResponse, false),
    ];
    for (error, unavailable) in cases {
        let mut kv = KvAvailability::new(1000);
        let result: Result<(), RequestError> = Err(error.clone());
        kv.record(3000, &result);
        assert_eq!(kv.is_unavailable(3000, INTERVAL_MS), unavailable, "{error}");
    }
}
