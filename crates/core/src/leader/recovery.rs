//! Records read during a failover, until all are there.

use crate::leader::*;

/// Records read during a failover, until all are there.
#[derive(Debug)]
pub(crate) struct Recovery {
    pub(crate) scans_in_flight: u32,
    pub(crate) scan_retries: Vec<(&'static str, String, u64)>,
    pub(crate) block_pairs: Vec<KeyValue>,
    pub(crate) page_pairs: Vec<KeyValue>,
    pub(crate) v0_1_machines: Vec<KeyValue>,
    pub(crate) v0_1_outcomes: Vec<KeyValue>,
    pub(crate) part_pairs: Vec<KeyValue>,
    pub(crate) split_records: Vec<(SplitJobRecord, Revision)>,
}

impl Recovery {
    pub(crate) fn new(_now: u64) -> Recovery {
        Recovery {
            scans_in_flight: 0,
            scan_retries: Vec::new(),
            block_pairs: Vec::new(),
            page_pairs: Vec::new(),
            v0_1_machines: Vec::new(),
            v0_1_outcomes: Vec::new(),
            part_pairs: Vec::new(),
            split_records: Vec::new(),
        }
    }
}
