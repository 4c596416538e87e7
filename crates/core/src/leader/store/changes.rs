//! Everything that one transaction changes: the transaction itself, and what its success means.

use super::blocks::BlockWrite;
use super::owned_list::OwnedListWrite;
use super::pages::PageChanges;
use super::scale_outs::ScaleOutWrites;
use super::split_submissions::SubmissionParts;
use super::transaction::{Space, TransactionBuilder, TransactionLimits};
use crate::leader::step_down::ForeignWrite;
use crate::model::Id;
use crate::records::keys;

/// A placement that counts once the transaction is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedPlacement {
    pub machine: Id,
    pub placement_id: u64,
}

/// What one transaction changes.
#[derive(Debug)]
pub(super) struct Changes {
    pub builder: TransactionBuilder,
    pub pages: PageChanges,
    pub planned_placements: Vec<PlannedPlacement>,
    /// Jobs whose end is written.
    pub ended_jobs: Vec<Id>,
    pub blocks: Vec<BlockWrite>,
    pub scale_outs: ScaleOutWrites,
    /// Parts of submissions of which the first is removed.
    pub submission_parts: Vec<SubmissionParts>,
    /// Keys that are removed because what they held has been written anew.
    pub obsolete_keys: Vec<String>,
    pub owned_list: Vec<OwnedListWrite>,
    /// The machine types are written.
    pub catalog: bool,
}

impl Changes {
    /// None yet.
    pub(super) fn new(limits: TransactionLimits) -> Changes {
        Changes {
            builder: TransactionBuilder::new(limits),
            pages: PageChanges::default(),
            planned_placements: Vec::new(),
            ended_jobs: Vec::new(),
            blocks: Vec::new(),
            scale_outs: ScaleOutWrites::default(),
            submission_parts: Vec::new(),
            obsolete_keys: Vec::new(),
            owned_list: Vec::new(),
            catalog: false,
        }
    }

    /// Whether a change fits in beside the pages being put together: they are not among the writes
    /// yet, but they will be, with all their bytes.
    pub(super) fn has_space_for(&self, space: Space) -> bool {
        let drafts = self.pages.draft_count();
        (drafts == 0 || self.builder.fits_bytes(space.bytes))
            && self.builder.has_space_for(Space {
                writes: space.writes + drafts,
                conditions: space.conditions + drafts,
                bytes: space.bytes,
            })
    }

    /// Writes so far, with the pages being put together.
    pub(super) fn write_count_with_drafts(&self) -> usize {
        self.builder.write_count() + self.pages.draft_count()
    }

    /// The first of the keys that conflicted which is not a job's record: users change those too.
    pub(super) fn foreign_write(&self, conflicting: &[String]) -> Option<ForeignWrite> {
        let key = conflicting.iter().find(|key| !key.starts_with(keys::JOBS))?;
        Some(ForeignWrite { key: key.clone(), expected: self.builder.required_version(key), found: None })
    }
}
