//! The changes of one transaction: the request itself, and the bookkeeping to apply when it commits or is abandoned.

use super::blocks::BlockWrite;
use super::owned_list::OwnedListWrite;
use super::pages::PageChanges;
use super::scale_outs::ScaleOutWrites;
use super::split_submissions::SubmissionParts;
use super::transaction::{TransactionBuilder, TransactionLimits};
use crate::model::Id;
use crate::records::keys;
use crate::step_down::ForeignWrite;

/// All changes of one transaction.
#[derive(Debug)]
pub(crate) struct TransactionChanges {
    pub(super) builder: TransactionBuilder,
    pub(super) pages: PageChanges,
    /// Jobs whose end is written by the transaction.
    pub(super) ended_jobs: Vec<Id>,
    pub(super) blocks: Vec<BlockWrite>,
    pub(super) scale_outs: ScaleOutWrites,
    /// Unreferenced submissions, by their parts. The transaction removes the first part of each.
    pub(super) submission_parts: Vec<SubmissionParts>,
    /// Keys that are removed because their contents are stored elsewhere or no longer needed.
    pub(super) obsolete_keys: Vec<String>,
    pub(super) owned_list: Vec<OwnedListWrite>,
    /// Whether the record of the machine types is written.
    pub(super) catalog: bool,
}

impl TransactionChanges {
    /// Creates an empty set of changes.
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

    /// Returns the first conflicting key that only the leader writes. Job records are excluded, as users change them
    /// too.
    pub(super) fn foreign_write(&self, conflicting: &[String]) -> Option<ForeignWrite> {
        let key = conflicting.iter().find(|key| !key.starts_with(keys::JOBS))?;
        Some(ForeignWrite { key: key.clone(), expected: self.builder.required_version(key), found: None })
    }
}
