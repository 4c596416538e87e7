use super::*;
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch};

fn placement(placement_id: u64, attempt: u64) -> TaskPlacement {
    TaskPlacement {
        machine: "vm-1".into(),
        placement_id,
        attempt: Attempt::new(Epoch::NONE.next(), attempt),
        agent_epoch: AgentEpoch(1),
        planned: true,
    }
}

#[test]
fn a_task_counts_as_placed_once_while_it_has_any_placement() {
    let mut tasks = TaskProgress::new(3);
    tasks.add_placement(0, placement(1, 1), "a");
    tasks.add_placement(0, placement(2, 2), "b");
    assert_eq!((tasks.placed_count(), tasks.free_count()), (1, 2));
    assert_eq!(tasks.superseded_placements().map(|p| p.placement_id).collect::<Vec<_>>(), [1]);
    tasks.remove_placement(0, 1, "a", false);
    assert_eq!(tasks.placed_count(), 1);
    tasks.remove_placement(0, 2, "b", false);
    assert_eq!((tasks.placed_count(), tasks.free_count()), (0, 3));
    assert!(!tasks.has_placements() && tasks.zones().next().is_none());
}

#[test]
fn a_done_task_counts_neither_as_placed_nor_as_free() {
    let mut tasks = TaskProgress::new(2);
    tasks.add_placement(1, placement(1, 1), "a");
    assert!(tasks.mark_done(1) && !tasks.mark_done(1) && !tasks.mark_done(2));
    assert_eq!((tasks.done_count(), tasks.placed_count(), tasks.free_count()), (1, 0, 1));
    tasks.remove_placement(1, 1, "a", false);
    assert_eq!((tasks.done_count(), tasks.placed_count(), tasks.free_count()), (1, 0, 1));
}

#[test]
fn the_next_free_task_is_found_below_the_hint_after_a_release() {
    let mut tasks = TaskProgress::new(4);
    tasks.add_placement(0, placement(1, 1), "a");
    tasks.mark_done(1);
    tasks.raise_first_free_hint(2);
    assert_eq!((tasks.next_free_task(0), tasks.next_free_task(3), tasks.next_free_task(4)), (Some(2), Some(3), None));
    tasks.remove_placement(0, 1, "a", false);
    assert_eq!(tasks.next_free_task(0), Some(0));
}

#[test]
fn running_placements_are_counted_until_removed_or_paused() {
    let mut tasks = TaskProgress::new(2);
    tasks.add_placement(0, placement(1, 1), "a");
    tasks.add_placement(1, placement(2, 2), "a");
    assert!(!tasks.has_started());
    tasks.placement_started();
    tasks.placement_started();
    assert!(tasks.has_started() && tasks.running_count() == 2);
    tasks.placement_paused();
    tasks.remove_placement(0, 1, "a", true);
    assert!(tasks.has_started() && tasks.running_count() == 0);
}

#[test]
fn placements_are_counted_by_zone_even_if_the_zone_becomes_known_later() {
    let mut tasks = TaskProgress::new(2);
    tasks.add_placement(0, placement(1, 1), "");
    tasks.add_placement(1, placement(2, 2), "a");
    assert_eq!((tasks.placements_in_zone(""), tasks.placements_in_zone("a"), tasks.placements_in_zone("b")), (1, 1, 0));
    tasks.set_placement_zone("b");
    assert_eq!((tasks.placements_in_zone(""), tasks.placements_in_zone("a"), tasks.placements_in_zone("b")), (0, 1, 1));
    assert_eq!(tasks.zones().collect::<Vec<_>>(), ["a", "b"]);
}

#[test]
fn a_committed_placement_is_no_longer_planned() {
    let mut tasks = TaskProgress::new(1);
    tasks.add_placement(0, placement(1, 1), "a");
    tasks.commit_placement(0, 2);
    assert!(tasks.placements_of(0)[0].planned);
    tasks.commit_placement(0, 1);
    assert!(!tasks.placements_of(0)[0].planned);
}

#[test]
fn restoring_returns_the_tasks_that_were_not_done_before() {
    let mut written = TaskSet::new(100);
    for task in [3, 70, 99] {
        written.insert(task);
    }
    let mut tasks = TaskProgress::new(100);
    tasks.mark_done(70);
    assert_eq!(tasks.restore_done(0, &written.encode(0, 100)), [3, 99]);
    assert_eq!(tasks.done_count(), 3);
    assert!(tasks.has_started() && tasks.is_done(99) && !tasks.is_done(98));
}

#[test]
fn a_mean_run_time_needs_enough_tasks() {
    let mut times = RunTimes::default();
    times.add(100);
    times.add(200);
    assert_eq!((times.mean_ms(3), times.mean_ms(2)), (None, Some(150.0)));
}
