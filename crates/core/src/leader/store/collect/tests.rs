use super::*;
use crate::io::Timestamp;
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::store::transaction::TransactionLimits;
use crate::settings::{Settings, StoreQuota, Tuning};
use crate::store_limits::StoreLimits;
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::ScaleOutRequest;
use shaleshunt_wire::kv::Write;
use std::collections::BTreeSet;

/// Space for two values of the list of owned machines.
const LIMITS: TransactionLimits = TransactionLimits { writes: 2, preconditions: 8 };

fn settings() -> Settings {
    Settings {
        store_quota: StoreQuota { value_kb: 1.0, txn_ops: 2, write_rps: 90.0 },
        lease_s: 27.0,
        heartbeat_interval_s: 3.0,
        ..Settings::default()
    }
}

/// Builds the next transaction of a store and commits it. Returns the keys that it sets.
fn commit_next(store: &mut Store, jobs: &mut BTreeMap<Id, Job>, scale_outs: &mut ScaleOutRequests) -> Vec<String> {
    let (settings, tuning, mut machines) = (settings(), Tuning::default(), MachineIndex::default());
    let limits = StoreLimits::new(&settings);
    let ctx = StoreContext {
        now: Timestamp { monotonic_ms: 1, wall_ms: 1 },
        settings: &settings,
        tuning: &tuning,
        limits: &limits,
        catalog: None,
        user_writes_waiting: false,
        epoch_version: Revision(1),
    };
    let images = ImageNames::default();
    let mut sources = RecordSources { jobs, machines: &mut machines, images: &images, scale_outs };
    let mut changes = TransactionChanges::new(LIMITS);
    store.collect_changes(&ctx, &mut sources, &mut changes, 90.0);
    let writes = changes.builder.transaction().writes.clone();
    store.apply_committed(changes, Revision(7), &mut sources);
    let set = |write: Write| match write {
        Write::Set { key, .. } => Some(key),
        Write::Drop { .. } => None,
    };
    writes.into_iter().filter_map(set).collect()
}

/// Guards against rented machines that count as owned after a failover: they were up before the list of owned machines
/// was recorded, and the next leader took them from the cloud's list.
#[test]
fn scale_out_requests_are_recorded_after_the_owned_machines() {
    let mut store = Store::new(0, 90.0);
    let owned: BTreeSet<String> = (0..300).map(|number| format!("vm-{number:06}")).collect();
    store.record_owned_machines(&owned, 1024);
    let mut scale_outs = ScaleOutRequests::default();
    let (machine_type, zone) = ("f".to_string(), "a".to_string());
    scale_outs.add(ScaleOutRequest { request: "r-1".into(), machine_type, zone, spot: false, count: 1 });
    let mut jobs = BTreeMap::new();
    let mut keys_set = Vec::new();
    while !keys_set.iter().any(|key: &String| key == "h/r-1") {
        let keys = commit_next(&mut store, &mut jobs, &mut scale_outs);
        assert!(!keys.is_empty(), "nothing is written after {keys_set:?}");
        keys_set.extend(keys);
    }
    assert!(store.has_owned_list(), "{keys_set:?}");
    assert!(keys_set.len() > 3, "the list takes several values: {keys_set:?}");
}
