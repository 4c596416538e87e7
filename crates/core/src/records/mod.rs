//! Records in the key-value store: keys, and the serialized form of each kind of value.
//!
//! All names in stored data are defined here. Fields have descriptive names in the code and short names in the store,
//! by `serde(rename)`. Leaders of different versions read each other's records, so the meaning of a stored name never
//! changes. This module doesn't depend on how the records are used.

mod election;
mod job;
pub mod keys;
mod machine;
mod page;

pub(crate) use election::{LeaderRecord, epoch_from_value, epoch_to_value};
pub use job::{CancellationCause, FinalRecord, JobRecord, SplitSubmissionRecord, StoredJob};
pub use machine::{BlockRecord, ImageRecord, MachineRecord, V01MachineRecord, V01PlacementRecord};
pub use page::{PageRecord, PlacementRecord, TaskEntry, TaskRun};

#[cfg(test)]
mod tests;
