use super::KvAvailability;
use crate::io::RequestError;

const INTERVAL_MS: u64 = 3000;

#[test]
fn a_store_that_only_stays_silent_counts_as_available() {
    let kv = KvAvailability::new(1000);
    assert!(!kv.is_unavailable(100_000, INTERVAL_MS));
}

#[test]
fn a_store_is_unavailable_some_time_after_a_failure_until_it_answers() {
    let mut kv = KvAvailability::new(1000);
    kv.record_failure(1500);
    assert!(!kv.is_unavailable(2000, INTERVAL_MS));
    assert!(kv.is_unavailable(2001, INTERVAL_MS));
    kv.record(2500, &Ok(()));
    assert_eq!(kv.answered_at(), 2500);
    assert!(!kv.is_unavailable(4000, INTERVAL_MS));
}

#[test]
fn which_errors_count_as_failures_of_the_store() {
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
