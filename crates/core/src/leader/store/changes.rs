//! Everything that one transaction changes: the transaction itself, and what its success means.

use super::blocks::BlockWrite;
use super::owned_list::OwnedListWrite;
use super::pages::PageChanges;
use super::scale_outs::ScaleOutWrites;
use super::split_submissions::SubmissionParts;
use super::transaction::{TransactionBuilder, TransactionLimits};
use crate::model::Id;
use crate::records::keys;
use crate::step_down::ForeignWrite;

/// What one transaction changes.
#[derive(Debug)]
pub(crate) struct TransactionChanges {
    pub(super) builder: TransactionBuilder,
    pub(super) pages: PageChanges,
    /// Jobs whose end is written.
    pub(super) ended_jobs: Vec<Id>,
    pub(super) blocks: Vec<BlockWrite>,
    pub(super) scale_outs: ScaleOutWrites,
    /// Parts of submissions of which the first is removed.
    pub(super) submission_parts: Vec<SubmissionParts>,
    /// Keys that are removed because what they held has been written anew.
    pub(super) obsolete_keys: Vec<String>,
    pub(super) owned_list: Vec<OwnedListWrite>,
    /// The machine types are written.
    pub(super) catalog: bool,
}

impl TransactionChanges {
    /// None yet.
    pub(super) fn new(limits: TransactionLimits) -> TransactionChanges {
        TransactionChanges {
            builder: TransactionBuilder::new(limits),
            pages: PageChanges::default(),
            ended_jobs: Vec::new(),
            blocks: Vec::new(),
            scale_outs: ScaleOutWrites::default(),
            submission_parts: Vec::new(),
            obsolete_keys: Vec::new(),
            owned_list: Vec::new(),
            catalog: false,
        }
    }

    /// The first of the keys that conflicted which is not a job's record: users change those too.
    pub(super) fn foreign_write(&self, conflicting: &[String]) -> Option<ForeignWrite> {
        let key = conflicting.iter().find(|key| !key.starts_with(keys::JOBS))?;
        Some(ForeignWrite { key: key.clone(), expected: self.builder.required_version(key), found: None })
    }
}
