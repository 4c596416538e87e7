//! The records in the key-value store: keys, and the stored form of each kind of value.
//!
//! This is the one place where stored names live. Fields have readable names here and keep their short
//! names in the store by `serde(rename)`; leaders of several versions read one another's records, so a
//! stored name never changes its meaning. Nothing here knows what the records are used for.

mod job;
pub mod keys;
mod machine;
mod page;

pub use job::{FinalRecord, JobRecord, SplitSubmissionRecord, StoredJob};
pub use machine::{BlockRecord, ImageRecord, MachineRecord, V01MachineRecord, V01PlacementRecord};
pub use page::{PageRecord, PlacementRecord, TaskEntry, TaskRun};

#[cfg(test)]
mod tests;
