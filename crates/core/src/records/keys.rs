//! Keys and key prefixes of the key-value store.

/// Key of the current leader, attached to the leader lease.
pub const LEADER: &str = "l/lead";
/// Key of the leader epoch, which only increases.
pub const EPOCH: &str = "l/epoch";
/// Prefix for cancelled jobs that have not ended. It is below the prefix of leadership, so that a controller learns
/// from one watch both whether the leader has changed and which jobs have been cancelled.
pub const CANCELLED: &str = "l/x/";
/// Prefix of the leader, the epoch and the cancelled jobs.
pub const LEADERSHIP: &str = "l/";
/// Prefix for unfinished jobs.
pub const JOBS: &str = "j/";
/// Prefix for parts of submissions that exceed the size limit of a value.
pub const SUBMISSION_PARTS: &str = "s/";
/// Prefix for final records of jobs.
pub const FINAL_RECORDS: &str = "f/";
/// Prefix for task pages, which hold the states of tasks of unfinished jobs.
pub const TASK_PAGES: &str = "p/";
/// Prefix for machine blocks.
pub const MACHINE_BLOCKS: &str = "b/";
/// Prefix for task outcomes in the format of version 0.1. They are read during recovery and removed once rewritten.
pub const V01_OUTCOMES: &str = "d/";
/// Prefix for machines and placements in the format of version 0.1. They are read and removed in the same way.
pub const V01_MACHINES: &str = "m/";
/// Prefix for scale-out requests that are in progress.
pub const SCALE_OUTS: &str = "h/";
/// Prefix for records about the whole cluster: the machine types and the owned machines.
pub const CLUSTER: &str = "c/";
/// Key of the machine types.
pub const CATALOG: &str = "c/catalog";
/// Key of the owned machines, which are those that were up when the service first started. A list that exceeds a value
/// continues in keys below this one. These are written first and are ignored while this key doesn't exist.
pub const OWNED: &str = "c/owned";

/// Returns the key of an unfinished job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Returns the ID of the unfinished job with this key.
pub fn job_id(key: &str) -> &str {
    &key[JOBS.len().min(key.len())..]
}

/// Returns the key of a job's final record.
pub fn final_record(id: &str) -> String {
    format!("{FINAL_RECORDS}{id}")
}

/// Returns the key that exists while a cancelled job has not ended.
pub fn cancellation(id: &str) -> String {
    format!("{CANCELLED}{id}")
}

/// Returns the key of a scale-out request.
pub fn scale_out(request: &str) -> String {
    format!("{SCALE_OUTS}{request}")
}

/// Returns the key of a task page. Keys sort in the order of the page numbers.
pub fn task_page(number: u32) -> String {
    format!("{TASK_PAGES}{number:010}")
}

/// Returns the number of the task page with this key.
pub fn task_page_number(key: &str) -> Option<u32> {
    key.strip_prefix(TASK_PAGES)?.parse().ok()
}

/// Returns the key of a machine block.
pub fn machine_block(number: u32) -> String {
    format!("{MACHINE_BLOCKS}{number}")
}

/// Returns the number of the machine block with this key.
pub fn machine_block_number(key: &str) -> Option<u32> {
    key.strip_prefix(MACHINE_BLOCKS)?.parse().ok()
}

/// Returns the key of a part of the list of owned machines.
pub fn owned_list_part(number: u32) -> String {
    if number == 0 { OWNED.to_string() } else { format!("{OWNED}/{number}") }
}

/// Returns the common prefix of all parts of a submission, from the key of a part.
pub fn submission_parts_prefix(part_key: &str) -> &str {
    part_key.rfind('/').map_or("", |end| &part_key[..=end])
}

/// Returns the number of the part of the list of owned machines with this key.
pub fn owned_list_part_number(key: &str) -> Option<u32> {
    match key.strip_prefix(OWNED)? {
        "" => Some(0),
        rest => rest.strip_prefix('/')?.parse().ok(),
    }
}

/// Returns the ID of the job that a submission part belongs to, from the part's key or the common prefix of all parts.
pub fn job_id_of_submission_part(key: &str) -> &str {
    key.get(SUBMISSION_PARTS.len()..).and_then(|rest| rest.split('/').next()).unwrap_or_default()
}
