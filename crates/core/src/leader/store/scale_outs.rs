//! Records of scale-out requests. A record is written before the request is sent to the cloud and removed when all
//! machines that the cloud named are recorded.

use super::transaction::{Space, TransactionBuilder};
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scale_out_requests::{ScaleOutRecordChange, ScaleOutRequests};
use crate::model::Id;
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;

/// Transaction bytes reserved for the record of a request.
const RECORD_SPACE_BYTES: usize = 300;
/// Maximum bytes of the record of a request.
const MAX_RECORD_BYTES: usize = 200;

/// Names of the scale-out requests whose records a transaction writes or removes.
#[derive(Debug, Default)]
pub(super) struct ScaleOutWrites {
    recorded: Vec<String>,
    removed: Vec<String>,
}

/// Adds records of new scale-out requests to a transaction and removes those of settled ones.
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
                builder.set(key, Revision::ABSENT, json!(request), MAX_RECORD_BYTES);
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

/// Applies the committed writes and removals of records.
pub(super) fn apply_committed(writes: ScaleOutWrites, scale_outs: &mut ScaleOutRequests, revision: Revision) {
    for name in writes.recorded {
        scale_outs.mark_recorded(&name, revision);
    }
    for name in writes.removed {
        scale_outs.remove(&name);
    }
}

/// Marks the changes of an abandoned transaction to be made again.
pub(super) fn apply_abandoned(writes: &ScaleOutWrites, scale_outs: &mut ScaleOutRequests) {
    for name in writes.recorded.iter().chain(&writes.removed) {
        scale_outs.record_change_failed(name);
    }
}
