//! Records of task entries, on pages.

use serde::{Deserialize, Serialize};
use shaleshunt_wire::{AgentEpoch, Attempt};

/// A page's record.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Entries, oldest first.
    #[serde(rename = "e")]
    pub entries: Vec<TaskEntry>,
}

/// What holds for some tasks of a job: done, placed, or (neither given) free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEntry {
    /// Job.
    #[serde(rename = "j")]
    pub job: String,
    /// Where they are placed.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementRecord>,
    /// Whether they are done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// The tasks.
    #[serde(rename = "n")]
    pub runs: Vec<TaskRun>,
}

/// A machine, the epoch of its agent, and the attempt; an array of the three in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, AgentEpoch, Attempt)", into = "(String, AgentEpoch, Attempt)")]
pub struct PlacementRecord {
    /// Machine.
    pub machine: String,
    /// Epoch of its agent that the placement is for.
    pub agent_epoch: AgentEpoch,
    /// Attempt.
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

/// Tasks with consecutive numbers; an array of the two in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct TaskRun {
    /// Number of the first task.
    pub first: u32,
    /// How many tasks.
    pub count: u32,
}

impl TaskRun {
    /// The tasks' numbers.
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
    /// An entry about no task yet: free, unless set otherwise.
    pub fn new(job: &str) -> TaskEntry {
        TaskEntry { job: job.to_string(), placement: None, done: false, runs: Vec::new() }
    }

    /// Adds a task; in the order of their numbers they take the least room.
    pub fn push(&mut self, task: u32) {
        match self.runs.last_mut() {
            Some(run) if run.first + run.count == task => run.count += 1,
            _ => self.runs.push(TaskRun { first: task, count: 1 }),
        }
    }

    /// How many tasks it is about.
    pub fn task_count(&self) -> u32 {
        self.runs.iter().map(|run| run.count).sum()
    }

    /// An upper bound on the length of its text, in bytes.
    pub fn max_bytes(&self) -> usize {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let runs: usize = self.runs.iter().map(|run| digits(run.first) + digits(run.count) + 4).sum();
        let placement = self.placement.as_ref().map_or(0, |placement| placement.machine.len() + 40);
        runs + self.job.len() + 30 + placement
    }
}
