use super::*;
use crate::api::known_jobs::UnfinishedJob;
use shaleshunt_wire::Revision;

const SINCE: BatchTime = BatchTime { batch: 5, at_ms: 50 };
const LATER: BatchTime = BatchTime { batch: 6, at_ms: 60 };
const EARLIER: BatchTime = BatchTime { batch: 4, at_ms: 40 };

fn names(jobs: &[&str]) -> Vec<String> {
    jobs.iter().map(|job| job.to_string()).collect()
}

fn unfinished(confirmed_at: BatchTime, dependencies: &[&str]) -> UnfinishedJob {
    UnfinishedJob { record_version: Revision(1), dependencies: names(dependencies), confirmed_at }
}

/// A cache of jobs whose names describe their cached state.
fn known() -> KnownJobs {
    let mut known = KnownJobs::new(10_000);
    known.record_final("done", FinalState::Done { tasks: 1 });
    known.record_final("cancelled", FinalState::Cancelled);
    known.record_unfinished("fresh", unfinished(LATER, &[]));
    known.record_unfinished("stale", unfinished(EARLIER, &["cancelled"]));
    known.record_unfinished("same_batch", unfinished(SINCE, &[]));
    known.record_unfinished("after_done", unfinished(LATER, &["done"]));
    known.record_unfinished("after_cancelled", unfinished(LATER, &["cancelled"]));
    known.record_unfinished("after_stale", unfinished(LATER, &["stale"]));
    known.record_unfinished("after_unknown", unfinished(LATER, &["unknown"]));
    known.record_unfinished("circle", unfinished(LATER, &["circle"]));
    known
}

#[test]
fn dependencies_are_resolved_transitively_with_confirmations_since_the_query() {
    let unknown = |jobs: &[&str]| DependencyState::Unknown(names(jobs));
    let cases: [(&[&str], DependencyState); 14] = [
        (&[], DependencyState::NoneCancelled),
        (&["done", "fresh", "same_batch"], DependencyState::NoneCancelled),
        (&["after_done"], DependencyState::NoneCancelled),
        (&["circle"], DependencyState::NoneCancelled),
        (&["cancelled"], DependencyState::Cancelled),
        (&["after_cancelled"], DependencyState::Cancelled),
        (&["done", "cancelled", "fresh"], DependencyState::Cancelled),
        (&["unknown"], unknown(&["unknown"])),
        (&["stale"], unknown(&["stale"])),
        (&["after_stale"], unknown(&["stale"])),
        (&["after_unknown", "unknown", "done"], unknown(&["unknown"])),
        // If a dependency is cancelled, only direct dependencies that may never have been accepted are unknown.
        (&["cancelled", "unknown"], unknown(&["unknown"])),
        (&["cancelled", "stale"], DependencyState::Cancelled),
        (&["cancelled", "after_unknown"], DependencyState::Cancelled),
    ];
    for (dependencies, state) in cases {
        let report = resolve(&known(), &names(dependencies), SINCE);
        assert_eq!((report.is_long(), report.state), (false, state), "{dependencies:?}");
    }
}

#[test]
fn report_counts_examined_dependencies_and_shows_the_oldest_confirmation() {
    let report = |jobs: &[&str]| resolve(&known(), &names(jobs), BatchTime::default());
    let counts = |jobs: &[&str]| (report(jobs).examined, report(jobs).oldest_confirmation_ms);
    assert_eq!(counts(&["done", "after_done"]), (2, Some(LATER.at_ms)));
    assert_eq!(counts(&["fresh", "same_batch", "after_stale"]), (5, Some(EARLIER.at_ms)));
    assert_eq!(counts(&["done", "cancelled"]), (2, None));
}

#[test]
fn last_dependency_is_followed_first() {
    let report = resolve(&known(), &names(&["unknown", "after_stale", "other"]), SINCE);
    assert_eq!(report.state, DependencyState::Unknown(names(&["other", "stale", "unknown"])));
}

#[test]
fn list_is_long_if_it_exceeds_the_lookups_per_query() {
    for (count, is_long) in [(MAX_LOOKUPS_PER_QUERY, false), (MAX_LOOKUPS_PER_QUERY + 1, true)] {
        let jobs: Vec<String> = (0..count).map(|number| format!("wk-{number}")).collect();
        assert_eq!(resolve(&known(), &jobs, SINCE).is_long(), is_long);
    }
}

#[test]
fn bounded_number_of_long_lists_is_tracked_until_expiry() {
    let mut known = known();
    let mut lists = LongDependencyLists::default();
    for number in 0..=MAX_TRACKED_LONG_LISTS {
        let job = format!("wk-{number}");
        known.record_unfinished(&job, unfinished(LATER, &["stale"]));
        lists.track(&job, 100);
    }
    // The job beyond the maximum is not tracked; the tracking of another job can be extended.
    assert_eq!(lists.tracked_until_ms.len(), MAX_TRACKED_LONG_LISTS);
    lists.track("wk-0", 200);
    lists.expire(100, &known);
    assert_eq!(lists.tracked_until_ms.keys().collect::<Vec<_>>(), ["wk-0"]);
    assert_eq!(lists.stale_dependencies(&known, SINCE), Some(names(&["stale"])));
    known.confirm_unfinished("stale", LATER);
    assert_eq!(lists.stale_dependencies(&known, SINCE), None);
    known.forget_unfinished("wk-0");
    lists.expire(100, &known);
    assert!(lists.tracked_until_ms.is_empty());
}
