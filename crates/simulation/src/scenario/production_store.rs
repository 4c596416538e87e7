//! A scenario that begins with the key-value store that production left.

use super::model::{InitialState, StoredValue};
use crate::simulation::{PlannedJob, SubmitWhen};
use serde_json::Value;
use shaleshunt_wire::user::Submission;

/// The store, one key and value a line.
const PRODUCTION_STORE: &str = include_str!("../../../core/testdata/production.store");
/// The leader's key, which exists only under a lease.
const LEADER_KEY: &str = "l/lead";
/// What the keys of jobs begin with.
const JOB_PREFIX: &str = "j/";
/// When users ask about jobs that were there from the beginning, in ms.
const FIRST_QUESTION_MS: u64 = 100;

/// Adds the store's keys, its completed tasks and the users of its unfinished jobs.
pub(super) fn load(initial: &mut InitialState, jobs: &mut Vec<PlannedJob>) {
    for (key, text) in PRODUCTION_STORE.lines().filter_map(|line| line.split_once(' ')) {
        let Ok(value) = serde_json::from_str::<Value>(text) else { continue };
        if key == LEADER_KEY {
            continue;
        }
        if key.starts_with(JOB_PREFIX) {
            jobs.extend(planned_job(&value));
        }
        initial.completed.extend(completed_tasks(&value));
        initial.store_entries.push(StoredValue { key: key.into(), value });
    }
}

fn planned_job(record: &Value) -> Option<PlannedJob> {
    let spec = serde_json::from_value::<Submission>(record["s"].clone()).ok()?;
    let is_cancelled = record["x"] == true;
    Some(PlannedJob {
        spec,
        submit_at_ms: FIRST_QUESTION_MS,
        cancel_at_ms: is_cancelled.then_some(FIRST_QUESTION_MS),
        submit_when: SubmitWhen::DependenciesAccepted,
    })
}

/// The tasks that a page of outcomes records as done, in runs of consecutive numbers.
fn completed_tasks(record: &Value) -> Vec<String> {
    let number = |value: &Value| value.as_u64().unwrap_or(0);
    let mut tasks = Vec::new();
    for fact in record["e"].as_array().into_iter().flatten().filter(|fact| fact["d"] == true) {
        let job = fact["j"].as_str().unwrap_or_default();
        for run in fact["n"].as_array().into_iter().flatten() {
            let first = number(&run[0]);
            tasks.extend((first..first + number(&run[1])).map(|task| format!("{job}/{task}")));
        }
    }
    tasks
}
