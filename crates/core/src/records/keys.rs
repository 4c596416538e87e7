//! Keys of the key-value store.

/// The leader's key, attached to its lease.
pub const LEADER: &str = "l/lead";
/// The epoch, which only grows.
pub const EPOCH: &str = "l/epoch";
/// Cancelled jobs that have not ended. Below the leader's prefix, so that one watch shows a
/// controller both that its leader still leads and what has been cancelled.
pub const CANCELLED: &str = "l/x/";
/// Everything about leadership: the leader, the epoch, cancelled jobs.
pub const LEADERSHIP: &str = "l/";
/// Unfinished jobs.
pub const JOBS: &str = "j/";
/// Parts of submissions that take more than a value.
pub const SUBMISSION_PARTS: &str = "s/";
/// Finished jobs.
pub const FINAL_RECORDS: &str = "f/";
/// Entries about unfinished jobs' tasks, on pages.
pub const TASK_PAGES: &str = "p/";
/// Machines, in blocks.
pub const MACHINE_BLOCKS: &str = "b/";
/// Outcomes as version 0.1 kept them. Read at a failover, removed once written anew.
pub const V01_OUTCOMES: &str = "d/";
/// Machines and placements as version 0.1 kept them. Read and removed likewise.
pub const V01_MACHINES: &str = "m/";
/// Scale-out requests under way.
pub const SCALE_OUTS: &str = "h/";
/// What is known of the cluster as a whole: the machine types and the owned machines.
pub const CLUSTER: &str = "c/";
/// The machine types.
pub const CATALOG: &str = "c/catalog";
/// The machines owned: those that were up when the service first began. More than a value holds
/// go on further keys below this one, which are written first: they count only if it is there.
pub const OWNED: &str = "c/owned";

/// The key of an unfinished job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The unfinished job that a key stands for.
pub fn job_id(key: &str) -> &str {
    &key[JOBS.len().min(key.len())..]
}

/// The key of a finished job.
pub fn final_record(id: &str) -> String {
    format!("{FINAL_RECORDS}{id}")
}

/// The key that shows that a job has been cancelled.
pub fn cancellation(id: &str) -> String {
    format!("{CANCELLED}{id}")
}

/// The key of a scale-out request.
pub fn scale_out(request: &str) -> String {
    format!("{SCALE_OUTS}{request}")
}

/// The key of a page of task entries. In the order of the keys pages are in the order of their numbers.
pub fn task_page(number: u32) -> String {
    format!("{TASK_PAGES}{number:010}")
}

/// The number of the page that a key stands for.
pub fn task_page_number(key: &str) -> Option<u32> {
    key.strip_prefix(TASK_PAGES)?.parse().ok()
}

/// The key of a block of machines.
pub fn machine_block(number: u32) -> String {
    format!("{MACHINE_BLOCKS}{number}")
}

/// The number of the block that a key stands for.
pub fn machine_block_number(key: &str) -> Option<u32> {
    key.strip_prefix(MACHINE_BLOCKS)?.parse().ok()
}

/// The key of a part of the list of owned machines.
pub fn owned_list_part(number: u32) -> String {
    if number == 0 { OWNED.to_string() } else { format!("{OWNED}/{number}") }
}

/// The job that a part of a submission belongs to, by the key of the part or its prefix.
pub fn job_id_of_submission_part(key: &str) -> &str {
    key.get(SUBMISSION_PARTS.len()..).and_then(|rest| rest.split('/').next()).unwrap_or_default()
}
