//! Sets up a scenario with the contents of a production key-value store.

use super::model::{InitialState, StoredValue};
use crate::simulation::{PlannedJob, SubmitWhen};
use serde_json::Value;
use shaleshunt_wire::user::Submission;

/// Contents of the store: on each line a key, a space and the JSON value.
const PRODUCTION_STORE: &str = include_str!("../../../core/testdata/production.store");
/// Key of the current leader. The scenario starts without the key, because it exists only under a lease.
const LEADER_KEY: &str = "l/lead";
/// Prefix of the keys of job records.
const JOB_KEY_PREFIX: &str = "j/";
/// Time of the first request about jobs in the store, in ms since the simulation started.
const FIRST_REQUEST_MS: u64 = 100;

/// Adds the store's entries and completed tasks to the initial state, and a user for each of its job records. Lines
/// whose value is not valid JSON are skipped.
pub(super) fn load(initial: &mut InitialState, jobs: &mut Vec<PlannedJob>) {
    for (key, text) in PRODUCTION_STORE.lines().filter_map(|line| line.split_once(' ')) {
        let Ok(value) = serde_json::from_str::<Value>(text) else { continue };
        if key == LEADER_KEY {
            continue;
        }
        if key.starts_with(JOB_KEY_PREFIX) {
            jobs.extend(planned_job(&value));
        }
        initial.completed.extend(completed_tasks(&value));
        initial.store_entries.push(StoredValue { key: key.into(), value });
    }
}

/// The user of a job record; `None` if the record holds no valid submission. If the record says that the job is
/// cancelled, the user plans to cancel it.
fn planned_job(record: &Value) -> Option<PlannedJob> {
    let spec = serde_json::from_value::<Submission>(record["s"].clone()).ok()?;
    let is_cancelled = record["x"] == true;
    Some(PlannedJob {
        spec,
        submit_at_ms: FIRST_REQUEST_MS,
        cancel_at_ms: is_cancelled.then_some(FIRST_REQUEST_MS),
        submit_when: SubmitWhen::DependenciesAccepted,
    })
}

/// Names of the tasks that a task page records as done. The page stores them as ranges `[first, count]` of consecutive
/// task numbers.
fn completed_tasks(record: &Value) -> Vec<String> {
    let number = |value: &Value| value.as_u64().unwrap_or(0);
    let mut tasks = Vec::new();
    for outcome in record["e"].as_array().into_iter().flatten().filter(|outcome| outcome["d"] == true) {
        let job = outcome["j"].as_str().unwrap_or_default();
        for range in outcome["n"].as_array().into_iter().flatten() {
            let first = number(&range[0]);
            tasks.extend((first..first + number(&range[1])).map(|task| format!("{job}/{task}")));
        }
    }
    tasks
}
