//! Records of scale-out requests: written before the cloud is asked, removed when all machines that
//! it named are recorded.

use super::transaction::{Space, TransactionBuilder};
use crate::leader::ScaleOutState;
use crate::leader::fleet::machines::MachineIndex;
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;
use std::collections::BTreeMap;

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
    scale_outs: &mut BTreeMap<String, ScaleOutState>,
    machines: &MachineIndex,
) -> ScaleOutWrites {
    let mut writes = ScaleOutWrites::default();
    let is_recorded = |id| machines.get(id).is_none_or(|machine| machine.record.committed);
    for (name, state) in scale_outs {
        if state.writing || !builder.has_space_for(Space::one_write(RECORD_SPACE_BYTES)) {
            continue;
        }
        let key = keys::scale_out(name);
        match &state.answer {
            None if state.version == Revision::ABSENT => {
                builder.set(key, Revision::ABSENT, json!(state.request), RECORD_BYTES);
                writes.recorded.push(name.clone());
                state.writing = true;
            }
            Some(named) if named.iter().all(is_recorded) => {
                builder.drop_key(key, state.version);
                writes.removed.push(name.clone());
                state.writing = true;
            }
            _ => {}
        }
    }
    writes
}

/// The records are stored or removed.
pub(super) fn apply_committed(
    writes: ScaleOutWrites,
    scale_outs: &mut BTreeMap<String, ScaleOutState>,
    revision: Revision,
) {
    for name in writes.recorded {
        if let Some(state) = scale_outs.get_mut(&name) {
            state.version = revision;
            state.writing = false;
        }
    }
    for name in writes.removed {
        scale_outs.remove(&name);
    }
}

/// Nothing was stored or removed: it is tried again.
pub(super) fn apply_abandoned(writes: &ScaleOutWrites, scale_outs: &mut BTreeMap<String, ScaleOutState>) {
    for name in writes.recorded.iter().chain(&writes.removed) {
        if let Some(state) = scale_outs.get_mut(name) {
            state.writing = false;
        }
    }
}
