use super::*;
use crate::leader::scheduler::fixture::{job, place_in_zone, set_tasks};

impl Arrivals {
    /// Records an arrival, for tests of other modules.
    pub(crate) fn record_for_test(&mut self, now: u64, job: &Job) {
        self.record(now, job);
    }
}

#[test]
fn arrivals_keep_all_their_tasks_waiting_and_expire_after_the_window() {
    let mut arrivals = Arrivals::default();
    arrivals.record(0, &job("early", |_| {}));
    arrivals.record(
        100,
        &job("late", |j| {
            set_tasks(j, 3);
            place_in_zone(j, "a");
        }),
    );
    arrivals.drop_older(150, 100.0);
    let kept: Vec<&Job> = arrivals.jobs().collect();
    assert_eq!(kept.iter().map(|job| (&*job.id, job.waiting_task_count())).collect::<Vec<_>>(), [("late", 3)]);
}

#[test]
fn beyond_the_maximum_the_oldest_arrivals_are_dropped() {
    let mut arrivals = Arrivals::default();
    for number in 0..=MAX_ARRIVALS {
        arrivals.record(0, &job(&format!("job-{number}"), |_| {}));
    }
    assert_eq!(arrivals.jobs().count(), MAX_ARRIVALS);
    assert_eq!(arrivals.jobs().next().map(|job| &*job.id), Some("job-1"));
}
