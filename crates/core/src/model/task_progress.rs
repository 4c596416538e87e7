//! How far a job's tasks are: which are done, and where the others are placed.
//!
//! The counts always agree with the sets they count: they change only through the operations here.
//! A task may have several placements, of which all but the latest are being stopped; it counts as
//! placed while it has any and is not done.

use super::{TaskPlacement, TaskSet};
use std::collections::BTreeMap;

/// How far a job's tasks are.
#[derive(Debug)]
pub struct TaskProgress {
    total: u32,
    done: TaskSet,
    done_count: u32,
    /// A task without any placement has no entry.
    placements: BTreeMap<u32, Vec<TaskPlacement>>,
    placed_count: u32,
    running_count: u32,
    started: bool,
    /// No task below this one is free.
    first_free_hint: u32,
    by_zone: BTreeMap<String, u32>,
    /// How long the tasks that ended ran.
    pub run_times: RunTimes,
}

/// How long tasks of a job ran that have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Number of tasks.
    tasks: u32,
    /// Their run times together, in ms.
    total_ms: u64,
}

impl RunTimes {
    /// Adds a task that ran for so many ms.
    pub fn add(&mut self, ran_ms: u64) {
        self.tasks += 1;
        self.total_ms += ran_ms;
    }

    /// Mean run time in ms, once so many tasks are counted.
    pub fn mean_ms(&self, least_tasks: u32) -> Option<f64> {
        (self.tasks >= least_tasks).then(|| self.total_ms as f64 / f64::from(self.tasks))
    }
}

impl TaskProgress {
    /// That of a job with so many tasks, none of which has begun.
    pub fn new(total: u32) -> TaskProgress {
        TaskProgress {
            total,
            done: TaskSet::new(total),
            done_count: 0,
            placements: BTreeMap::new(),
            placed_count: 0,
            running_count: 0,
            started: false,
            first_free_hint: 0,
            by_zone: BTreeMap::new(),
            run_times: RunTimes::default(),
        }
    }

    /// Whether a task is done, committed or not.
    pub fn is_done(&self, task: u32) -> bool {
        self.done.contains(task)
    }

    /// How many tasks are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// How many tasks are placed and not done.
    pub fn placed_count(&self) -> u32 {
        self.placed_count
    }

    /// How many placements run or save a checkpoint.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// How many tasks are neither done nor placed.
    pub fn free_count(&self) -> u32 {
        self.total.saturating_sub(self.done_count + self.placed_count)
    }

    /// Whether a task has started at some time.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// The first task that is neither done nor placed, from `from` on.
    pub fn next_free_task(&self, from: u32) -> Option<u32> {
        let first = from.max(self.first_free_hint);
        (first..self.total).find(|task| !self.done.contains(*task) && !self.placements.contains_key(task))
    }

    /// Notes that no task below this one is free.
    pub fn raise_first_free_hint(&mut self, task: u32) {
        self.first_free_hint = self.first_free_hint.max(task);
    }

    /// Notes that a task is done; false if that was known or there is no such task.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let new = task < self.total && self.done.insert(task);
        if new {
            self.done_count += 1;
            if self.placements.contains_key(&task) {
                self.placed_count = self.placed_count.saturating_sub(1);
            }
        }
        new
    }

    /// Takes in done tasks as [`TaskSet::encode`] wrote them, from `first` on; returns those that
    /// were not known to be done.
    pub fn restore_done(&mut self, first: u32, text: &str) -> Vec<u32> {
        let known = self.done.clone();
        self.done.decode(first, text);
        self.done_count = self.done.count();
        self.started = true;
        (0..self.total).filter(|task| self.done.contains(*task) && !known.contains(*task)).collect()
    }

    /// Notes that a task has started at some time, by what an earlier leader wrote.
    pub fn mark_started(&mut self) {
        self.started = true;
    }

    /// Adds a placement of a task in a zone.
    pub fn add_placement(&mut self, task: u32, placement: TaskPlacement, zone: &str) {
        let of_task = self.placements.entry(task).or_default();
        if of_task.is_empty() && !self.done.contains(task) {
            self.placed_count += 1;
        }
        of_task.push(placement);
        *self.by_zone.entry(zone.to_string()).or_default() += 1;
    }

    /// Removes a placement of a task, which has been proven gone, from a zone.
    pub fn remove_placement(&mut self, task: u32, placement_id: u64, zone: &str, was_running: bool) {
        if let Some(of_task) = self.placements.get_mut(&task) {
            of_task.retain(|placement| placement.placement_id != placement_id);
            if of_task.is_empty() {
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

    /// Notes that a placement's plan is committed.
    pub fn commit_placement(&mut self, task: u32, placement_id: u64) {
        let of_task = self.placements.get_mut(&task).into_iter().flatten();
        for placement in of_task.filter(|placement| placement.placement_id == placement_id) {
            placement.planned = false;
        }
    }

    /// A placement has begun to run.
    pub fn placement_started(&mut self) {
        self.started = true;
        self.running_count += 1;
    }

    /// A placement that ran no longer does, though it is still on its machine.
    pub fn placement_paused(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// The zone of a placement has become known.
    pub fn set_placement_zone(&mut self, zone: &str) {
        *self.by_zone.entry(zone.to_string()).or_default() += 1;
        let unknown = self.by_zone.entry(String::new()).or_default();
        *unknown = unknown.saturating_sub(1);
    }

    /// Placements of a task; none for a task without any.
    pub fn placements_of(&self, task: u32) -> &[TaskPlacement] {
        self.placements.get(&task).map_or(&[], Vec::as_slice)
    }

    /// All placements, by task.
    pub fn placements(&self) -> impl Iterator<Item = &TaskPlacement> + Clone {
        self.placements.values().flatten()
    }

    /// Placements that a later one of the same task has replaced.
    pub fn superseded_placements(&self) -> impl Iterator<Item = &TaskPlacement> {
        self.placements.values().filter(|of_task| of_task.len() > 1).flat_map(|of_task| {
            let latest = of_task.iter().map(|placement| placement.attempt).max().unwrap_or_default();
            of_task.iter().filter(move |placement| placement.attempt < latest)
        })
    }

    /// Whether any task has a placement.
    pub fn has_placements(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Placements in a zone. Those of which the zone is not known are under the empty name.
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
