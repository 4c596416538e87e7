//! Records of task pages.

use serde::{Deserialize, Serialize};
use shaleshunt_wire::{AgentEpoch, Attempt};

/// Record of a task page.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Entries, oldest first. The last entry of a task is the valid one.
    #[serde(rename = "e")]
    pub entries: Vec<TaskEntry>,
}

/// State of some tasks of a job: done, placed or, if neither is set, free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEntry {
    /// ID of the job.
    #[serde(rename = "j")]
    pub job: String,
    /// Placement of the tasks. `None` if they are not placed.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementRecord>,
    /// Whether the tasks are done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the tasks, as runs.
    #[serde(rename = "n")]
    pub runs: Vec<TaskRun>,
}

/// A placement, stored as an array of machine, agent epoch and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, AgentEpoch, Attempt)", into = "(String, AgentEpoch, Attempt)")]
pub struct PlacementRecord {
    /// Name of the machine.
    pub machine: String,
    /// Agent epoch that the placement is valid in.
    pub agent_epoch: AgentEpoch,
    /// Attempt to run the tasks.
    pub attempt: Attempt,
}

impl From<(String, AgentEpoch, Attempt)> for PlacementRecord {
    fn from((machine, agent_epoch, attempt): (String, AgentEpoch, Attempt)) -> PlacementRecord {
        PlacementRecord { machine, agent_epoch, attempt }
    }
}

impl From<PlacementRecord> for (String, AgentEpoch, Attempt) {
    fn from(placement: PlacementRecord) -> (String, AgentEpoch, Attempt) {
        (placement.machine, placement.agent_epoch, placement.attempt)
    }
}

/// Tasks with consecutive numbers, stored as an array of first and count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct TaskRun {
    /// Number of the first task.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

impl TaskRun {
    /// Returns the numbers of the tasks.
    pub fn tasks(&self) -> std::ops::Range<u32> {
        self.first..self.first.saturating_add(self.count)
    }
}

impl From<(u32, u32)> for TaskRun {
    fn from((first, count): (u32, u32)) -> TaskRun {
        TaskRun { first, count }
    }
}

impl From<TaskRun> for (u32, u32) {
    fn from(run: TaskRun) -> (u32, u32) {
        (run.first, run.count)
    }
}

impl TaskEntry {
    /// Creates an entry for free tasks of a job, without any tasks.
    pub fn new(job: &str) -> TaskEntry {
        TaskEntry { job: job.to_string(), placement: None, done: false, runs: Vec::new() }
    }

    /// Adds a task. The entry is smallest if tasks are added in ascending order.
    pub fn push(&mut self, task: u32) {
        match self.runs.last_mut() {
            Some(run) if run.first + run.count == task => run.count += 1,
            _ => self.runs.push(TaskRun { first: task, count: 1 }),
        }
    }

    /// Number of tasks.
    pub fn task_count(&self) -> u32 {
        self.runs.iter().map(|run| run.count).sum()
    }

    /// Upper bound on the size of the serialized entry, in bytes.
    pub fn max_bytes(&self) -> usize {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let runs: usize = self.runs.iter().map(|run| digits(run.first) + digits(run.count) + 4).sum();
        let placement = self.placement.as_ref().map_or(0, |placement| placement.machine.len() + 40);
        runs + self.job.len() + 30 + placement
    }
}
