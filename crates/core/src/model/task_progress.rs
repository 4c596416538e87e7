//! Progress of a job's tasks: which are done, and where the others are placed.
//!
//! The counts always agree with the sets that they count, because both change only through the methods here. A task may
//! have several placements, of which all but the latest are being stopped. The task counts as placed once while it has
//! any placement and is not done.

use super::{TaskPlacement, TaskSet};
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a job's tasks.
#[derive(Debug)]
pub struct TaskProgress {
    total: u32,
    done: TaskSet,
    done_count: u32,
    /// Placements by task; a task without placements has no entry.
    placements: BTreeMap<u32, Vec<TaskPlacement>>,
    placed_count: u32,
    running_count: u32,
    /// Tasks that are not done and of which a committed placement was released.
    released: BTreeSet<u32>,
    started: bool,
    /// No task below this number is free.
    first_free_hint: u32,
    by_zone: BTreeMap<String, u32>,
    /// Run times of the tasks that ended.
    pub run_times: RunTimes,
}

/// Run times of the ended tasks of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Number of tasks.
    tasks: u32,
    /// Sum of their run times, in ms.
    total_ms: u64,
}

impl RunTimes {
    /// Adds the run time of a task.
    pub fn add(&mut self, run_ms: u64) {
        self.tasks += 1;
        self.total_ms += run_ms;
    }

    /// Mean run time in ms; absent before `min_tasks` tasks are counted.
    pub fn mean_ms(&self, min_tasks: u32) -> Option<f64> {
        (self.tasks >= min_tasks).then(|| self.total_ms as f64 / f64::from(self.tasks))
    }
}

impl TaskProgress {
    /// Progress of a job with `total` tasks, none of which has started.
    pub fn new(total: u32) -> TaskProgress {
        TaskProgress {
            total,
            done: TaskSet::new(total),
            done_count: 0,
            placements: BTreeMap::new(),
            placed_count: 0,
            running_count: 0,
            released: BTreeSet::new(),
            started: false,
            first_free_hint: 0,
            by_zone: BTreeMap::new(),
            run_times: RunTimes::default(),
        }
    }

    /// Whether a task is done, even if the outcome is not committed yet.
    pub fn is_done(&self, task: u32) -> bool {
        self.done.contains(task)
    }

    /// Number of done tasks.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Number of tasks that are placed and not done.
    pub fn placed_count(&self) -> u32 {
        self.placed_count
    }

    /// Number of placements that run or save a checkpoint.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Number of tasks that are neither done nor placed.
    pub fn free_count(&self) -> u32 {
        self.total.saturating_sub(self.done_count + self.placed_count)
    }

    /// Whether any task has ever started.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// The first task from `from` on that is neither done nor placed.
    pub fn next_free_task(&self, from: u32) -> Option<u32> {
        let first = from.max(self.first_free_hint);
        (first..self.total).find(|task| !self.done.contains(*task) && !self.placements.contains_key(task))
    }

    /// Records that no task below `task` is free.
    pub fn raise_first_free_hint(&mut self, task: u32) {
        self.first_free_hint = self.first_free_hint.max(task);
    }

    /// Whether this leader has released a committed placement of the task, which is not done.
    pub fn was_released(&self, task: u32) -> bool {
        self.released.contains(&task)
    }

    /// Marks a task as done. Returns false if it was done already or does not exist.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let newly_done = task < self.total && self.done.insert(task);
        if newly_done {
            self.released.remove(&task);
            self.done_count += 1;
            if self.placements.contains_key(&task) {
                self.placed_count = self.placed_count.saturating_sub(1);
            }
        }
        newly_done
    }

    /// Adds done tasks from the text form of [`TaskSet::encode`], where `first` is the number of the first task.
    /// Returns the tasks that were not done before.
    pub fn restore_done(&mut self, first: u32, text: &str) -> Vec<u32> {
        let known = self.done.clone();
        self.done.decode(first, text);
        self.done_count = self.done.count();
        self.started = true;
        (0..self.total).filter(|task| self.done.contains(*task) && !known.contains(*task)).collect()
    }

    /// Records that a task has started, as an earlier leader's records show.
    pub fn mark_started(&mut self) {
        self.started = true;
    }

    /// Adds a placement of a task in a zone.
    pub fn add_placement(&mut self, task: u32, placement: TaskPlacement, zone: &str) {
        let task_placements = self.placements.entry(task).or_default();
        if task_placements.is_empty() && !self.done.contains(task) {
            self.placed_count += 1;
        }
        task_placements.push(placement);
        *self.by_zone.entry(zone.to_string()).or_default() += 1;
    }

    /// Removes a placement of a task that is proven gone from a zone.
    pub fn remove_placement(&mut self, task: u32, placement_id: u64, zone: &str, was_running: bool) {
        if let Some(task_placements) = self.placements.get_mut(&task) {
            let is_removed = |placement: &TaskPlacement| placement.placement_id == placement_id;
            if !self.done.contains(task) && task_placements.iter().any(|p| is_removed(p) && !p.planned) {
                self.released.insert(task);
            }
            task_placements.retain(|placement| !is_removed(placement));
            if task_placements.is_empty() {
                self.placements.remove(&task);
                self.first_free_hint = self.first_free_hint.min(task);
                if !self.done.contains(task) {
                    self.placed_count = self.placed_count.saturating_sub(1);
                }
            }
        }
        if was_running {
            self.running_count = self.running_count.saturating_sub(1);
        }
        if let Some(count) = self.by_zone.get_mut(zone) {
            *count = count.saturating_sub(1);
        }
    }

    /// Marks a placement as committed.
    pub fn commit_placement(&mut self, task: u32, placement_id: u64) {
        let task_placements = self.placements.get_mut(&task).into_iter().flatten();
        for placement in task_placements.filter(|placement| placement.placement_id == placement_id) {
            placement.planned = false;
        }
    }

    /// Records that a placement started to run.
    pub fn placement_started(&mut self) {
        self.started = true;
        self.running_count += 1;
    }

    /// Records that a placement stopped running while it is still on its machine.
    pub fn placement_paused(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// Assigns a zone to a placement whose zone was unknown.
    pub fn set_placement_zone(&mut self, zone: &str) {
        *self.by_zone.entry(zone.to_string()).or_default() += 1;
        let unknown = self.by_zone.entry(String::new()).or_default();
        *unknown = unknown.saturating_sub(1);
    }

    /// Placements of a task; empty for a task without any.
    pub fn placements_of(&self, task: u32) -> &[TaskPlacement] {
        self.placements.get(&task).map_or(&[], Vec::as_slice)
    }

    /// All placements, ordered by task.
    pub fn placements(&self) -> impl Iterator<Item = &TaskPlacement> + Clone {
        self.placements.values().flatten()
    }

    /// Placements that a later placement of the same task has replaced.
    pub fn superseded_placements(&self) -> impl Iterator<Item = &TaskPlacement> {
        self.placements.values().filter(|task_placements| task_placements.len() > 1).flat_map(|task_placements| {
            let latest = task_placements.iter().map(|placement| placement.attempt).max().unwrap_or_default();
            task_placements.iter().filter(move |placement| placement.attempt < latest)
        })
    }

    /// Whether any task has a placement.
    pub fn has_placements(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Number of placements in a zone. Placements of unknown zone are counted under the empty name.
    pub fn placements_in_zone(&self, zone: &str) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Zones that have placements.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.by_zone.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| zone.as_str())
    }
}

#[cfg(test)]
mod tests;
