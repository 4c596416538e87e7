//! Records of scale-out requests: written before the cloud is asked, removed when all machines that
//! it named are recorded.

use super::transaction::{Space, TransactionBuilder};
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scale_out_requests::{ScaleOutRecordChange, ScaleOutRequests};
use crate::model::Id;
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;

/// Room to leave for a request's record, and what it takes at most.
const RECORD_SPACE_BYTES: usize = 300;
const RECORD_BYTES: usize = 200;

/// Scale-out requests in a transaction, by name.
#[derive(Debug, Default)]
pub(super) struct ScaleOutWrites {
    recorded: Vec<String>,
    removed: Vec<String>,
}

/// Puts records of scale-out requests into a transaction, and removes those that are done with.
pub(super) fn collect(
    builder: &mut TransactionBuilder,
    scale_outs: &mut ScaleOutRequests,
    machines: &MachineIndex,
) -> ScaleOutWrites {
    let mut writes = ScaleOutWrites::default();
    let is_settled = |id: &Id| machines.get(id).is_none_or(|machine| machine.record.committed);
    for (name, scale_out) in scale_outs.iter_mut() {
        if !builder.has_space_for(Space::one_write(RECORD_SPACE_BYTES)) {
            break;
        }
        let key = keys::scale_out(name);
        match scale_out.needed_record_change(is_settled) {
            Some(ScaleOutRecordChange::Write(request)) => {
                builder.set(key, Revision::ABSENT, json!(request), RECORD_BYTES);
                writes.recorded.push(name.clone());
            }
            Some(ScaleOutRecordChange::Remove(version)) => {
                builder.drop_key(key, version);
                writes.removed.push(name.clone());
            }
            None => continue,
        }
        scale_out.mark_record_change_sent();
    }
    writes
}

/// The records are stored or removed.
pub(super) fn apply_committed(writes: ScaleOutWrites, scale_outs: &mut ScaleOutRequests, revision: Revision) {
    for name in writes.recorded {
        scale_outs.mark_recorded(&name, revision);
    }
    for name in writes.removed {
        scale_outs.remove(&name);
    }
}

/// Nothing was stored or removed: it is tried again.
pub(super) fn apply_abandoned(writes: &ScaleOutWrites, scale_outs: &mut ScaleOutRequests) {
    for name in writes.recorded.iter().chain(&writes.removed) {
        scale_outs.record_change_failed(name);
    }
}
