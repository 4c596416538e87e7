use super::*;
use crate::leader::scheduler::fixture::{job, place_in_zone, set_tasks};

impl Arrivals {
    /// Records an arrival in other modules' tests.
    pub(crate) fn record_for_test(&mut self, now: u64, job: &Job) {
        self.record(now, job);
    }
}

#[test]
fn arrivals_are_kept_as_they_arrived_and_for_a_while() {
    let mut arrivals = Arrivals::default();
    arrivals.record(0, &job("early", |_| {}));
    arrivals.record(
        100,
        &job("late", |j| {
            set_tasks(j, 3);
            place_in_zone(j, "a");
        }),
    );
    arrivals.forget_older(150, 100.0);
    let kept: Vec<&Job> = arrivals.jobs().collect();
    assert_eq!(kept.iter().map(|job| (&*job.id, job.waiting_task_count())).collect::<Vec<_>>(), [("late", 3)]);
}

#[test]
fn of_too_many_the_oldest_are_forgotten() {
    let mut arrivals = Arrivals::default();
    for number in 0..=MAX_ARRIVALS {
        arrivals.record(0, &job(&format!("job-{number}"), |_| {}));
    }
    assert_eq!(arrivals.jobs().count(), MAX_ARRIVALS);
    assert_eq!(arrivals.jobs().next().map(|job| &*job.id), Some("job-1"));
}
