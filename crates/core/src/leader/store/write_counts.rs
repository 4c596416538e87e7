//! Write counts for the leader's status event.

use crate::records::keys;
use shaleshunt_wire::kv::{Transaction, Write};

/// Number of writes since the last status event, by kind.
#[derive(Debug, Default)]
pub(crate) struct WriteCounts {
    pub transactions: u32,
    pub ends: u32,
    pub pages: u32,
    pub blocks: u32,
    pub others: u32,
}

impl WriteCounts {
    /// Counts the writes of a transaction.
    pub(super) fn count(&mut self, transaction: &Transaction) {
        self.transactions += 1;
        for write in &transaction.writes {
            let key = match write {
                Write::Set { key, .. } => key,
                Write::Drop { key } => key,
            };
            *self.count_for_prefix(key.get(..2)) += 1;
        }
    }

    fn count_for_prefix(&mut self, prefix: Option<&str>) -> &mut u32 {
        match prefix {
            Some(keys::JOBS | keys::FINAL_RECORDS | keys::LEADERSHIP) => &mut self.ends,
            Some(keys::TASK_PAGES) => &mut self.pages,
            Some(keys::MACHINE_BLOCKS) => &mut self.blocks,
            _ => &mut self.others,
        }
    }
}
