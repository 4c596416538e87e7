use super::*;
use crate::api::job_query::QueryPurpose;

fn query(request: u64, job: &str) -> JobQuery {
    JobQuery::new(request, job.into(), QueryPurpose::Status)
}

#[test]
fn cancellation_begins_once_and_ends_for_all_waiting_queries() {
    let mut cancellations = DependencyCancellations::default();
    assert!(matches!(cancellations.request(query(1, "wk-1"), 60_000, 2.0), CancellationStep::Begin));
    assert!(matches!(cancellations.request(query(2, "wk-1"), 60_000, 2.0), CancellationStep::Wait));
    assert!(matches!(cancellations.request(query(3, "wk-2"), 60_000, 2.0), CancellationStep::Begin));
    let requests = |queries: Vec<JobQuery>| queries.iter().map(|query| query.request).collect::<Vec<_>>();
    assert_eq!(requests(cancellations.finish("wk-1")), [1, 2]);
    assert!(cancellations.finish("wk-1").is_empty());
    assert_eq!(requests(cancellations.finish("wk-2")), [3]);
}

#[test]
fn cancellations_beyond_the_write_budget_are_not_begun() {
    let mut cancellations = DependencyCancellations::default();
    assert!(matches!(cancellations.request(query(1, "wk-1"), 60_000, 1.0), CancellationStep::Begin));
    let beyond = cancellations.request(query(2, "wk-2"), 60_000, 1.0);
    assert!(matches!(beyond, CancellationStep::TooMany(query) if query.request == 2));
    assert!(cancellations.finish("wk-2").is_empty());
    cancellations.finish("wk-1");
    assert!(cancellations.is_waiting(60_000) && !cancellations.is_waiting(60_000 + REFUSED_COUNTS_MS));
    assert!(matches!(cancellations.request(query(3, "wk-2"), 61_000, 1.0), CancellationStep::Begin));
}
