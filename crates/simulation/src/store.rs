//! A simulated consensus-backed key-value store with versioned keys, leases, watches and transactions.
//!
//! Times are milliseconds of simulated time since the start of the run, unless a name has another unit.

mod rate_limit;
mod transaction;

use crate::process::ProcessId;
use rate_limit::RateLimit;
use serde_json::Value;
use shaleshunt_core::settings::StoreQuota;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Change, KeyValue, Page, WatchReply};
use std::collections::BTreeMap;

/// Default number of keys on a page of a scan; small, so that scenarios exercise paging.
const DEFAULT_KEYS_PER_PAGE: usize = 8;

/// Identity of a request among the requests of all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// Process that sent the request.
    pub process: ProcessId,
    /// Request id, unique within the process.
    pub id: u64,
}

/// Reply to a watch request.
#[derive(Debug)]
pub struct WatchAnswer {
    /// The watch request that is answered.
    pub request: RequestKey,
    /// Reply with the changes; with none if the watch reached its deadline.
    pub reply: KvReply,
}

/// An open watch, which waits for changes after a revision to keys with a prefix.
#[derive(Debug)]
struct Watch {
    request: RequestKey,
    prefix: String,
    after: Revision,
    until_ms: u64,
}

/// The value of a key, the revision of its last write and the lease that the key is bound to.
#[derive(Debug)]
struct Entry {
    value: Value,
    revision: Revision,
    lease: Option<u64>,
}

/// A lease: its keys are deleted when it expires.
#[derive(Debug)]
struct Lease {
    expires_at_ms: u64,
    ttl_ms: u64,
}

/// A simulated key-value store.
#[derive(Default)]
pub struct KeyValueStore {
    /// Maximum length of a value, maximum writes in a transaction, and writes per second with bursts of up to one
    /// second's writes. Values that were stored under a higher limit stay.
    pub limits: StoreQuota,
    /// Maximum requests per second, with bursts of up to one second's requests; 0, the default, for no limit.
    pub requests_per_s: f64,
    /// Maximum number of keys on a page of a scan; 0 selects the default, 8.
    pub page_size: usize,
    /// Whether the store refuses every request.
    pub down: bool,
    /// Number of transactions rejected because they exceed the limits.
    pub rejections: u32,
    /// Rate limit of writes, which counts each write of a transaction.
    write_rate: RateLimit,
    /// Rate limit of all requests.
    request_rate: RateLimit,
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    /// All changes so far, in the order of their revisions; none are compacted.
    changes: Vec<Change>,
    watches: Vec<Watch>,
}

impl KeyValueStore {
    /// Executes a request; `None` for a watch, which [`KeyValueStore::advance`] answers later.
    pub fn handle(&mut self, now: u64, key: RequestKey, request: KvRequest) -> Option<Result<KvReply, RequestError>> {
        if self.down {
            return Some(Err(RequestError::Unavailable));
        }
        if self.requests_per_s > 0.0 && !self.request_rate.try_acquire(now, 1.0, self.requests_per_s) {
            return Some(Err(RequestError::Throttled));
        }
        match request {
            KvRequest::Get { key } => Some(Ok(self.get(key))),
            KvRequest::Scan { prefix, after } => Some(Ok(self.scan(&prefix, &after))),
            KvRequest::Transaction(transaction) => Some(self.transact(now, transaction)),
            KvRequest::GrantLease { ttl_ms } => Some(Ok(self.grant_lease(now, ttl_ms))),
            KvRequest::RenewLease { lease } => Some(Ok(self.renew_lease(now, lease))),
            KvRequest::RevokeLease { lease } => {
                let existed = self.leases.contains_key(&lease);
                self.end_lease(lease);
                Some(Ok(if existed { KvReply::Done } else { KvReply::Missing }))
            }
            KvRequest::Watch { prefix, after, max_wait_ms } => {
                self.watches.push(Watch { request: key, prefix, after, until_ms: now + max_wait_ms });
                None
            }
        }
    }

    fn get(&self, key: String) -> KvReply {
        match self.entries.get(&key) {
            Some(entry) => KvReply::Found(entry.pair(key)),
            None => KvReply::Missing,
        }
    }

    fn scan(&self, prefix: &str, after: &str) -> KvReply {
        let size = if self.page_size > 0 { self.page_size } else { DEFAULT_KEYS_PER_PAGE };
        let found = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut pairs: Vec<KeyValue> = found.take(size).map(|(key, entry)| entry.pair(key.clone())).collect();
        let truncated = pairs.len() == size;
        if truncated {
            pairs.pop();
        }
        KvReply::Page(Page { pairs, truncated, revision: self.revision })
    }

    fn grant_lease(&mut self, now: u64, ttl_ms: u64) -> KvReply {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { expires_at_ms: now + ttl_ms, ttl_ms });
        KvReply::LeaseGranted(self.last_lease_id)
    }

    fn renew_lease(&mut self, now: u64, id: u64) -> KvReply {
        let Some(lease) = self.leases.get_mut(&id) else { return KvReply::Missing };
        lease.expires_at_ms = now + lease.ttl_ms;
        KvReply::Done
    }

    /// Removes a lease and deletes its keys, all at one revision.
    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision = self.revision.next();
            keys.into_iter().for_each(|key| self.delete(key));
        }
    }

    /// Stores a key without preconditions or limits, as part of the state at the start of a run.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision = self.revision.next();
        self.set(key.into(), value, None);
    }

    fn set(&mut self, key: String, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        self.changes.push(Change {
            set_key: Some(key.clone()),
            deleted_key: None,
            value: Some(value.clone()),
            version: revision,
        });
        self.entries.insert(key, Entry { value, revision, lease });
    }

    fn delete(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.changes.push(Change { set_key: None, deleted_key: Some(key), value: None, version: self.revision });
        }
    }

    /// Advances the store to `now`: expires leases and returns the replies to watches with changes or past their
    /// deadline.
    pub fn advance(&mut self, now: u64) -> Vec<WatchAnswer> {
        if self.down {
            // Leases restart with their full duration after an outage; open watches stay open.
            for lease in self.leases.values_mut() {
                lease.expires_at_ms = now + lease.ttl_ms;
            }
            return Vec::new();
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at_ms < now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.end_lease(id));
        self.answer_watches(now)
    }

    fn answer_watches(&mut self, now: u64) -> Vec<WatchAnswer> {
        let (changes, revision) = (&self.changes, self.revision);
        let mut answers = Vec::new();
        self.watches.retain(|watch| {
            let matching_changes = watch.matching_changes(changes);
            if matching_changes.is_empty() && now < watch.until_ms {
                return true;
            }
            let reply = KvReply::Changes(WatchReply { revision, changes: matching_changes });
            answers.push(WatchAnswer { request: watch.request, reply });
            false
        });
        answers
    }

    /// The keys that start with `prefix`, with their values.
    pub fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Value)> {
        let found = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        found.map(|(key, entry)| (key.clone(), entry.value.clone())).collect()
    }
}

impl Entry {
    fn pair(&self, key: String) -> KeyValue {
        KeyValue { key, value: self.value.clone(), version: self.revision, lease: self.lease }
    }
}

impl Watch {
    /// The changes that the watch reports: those after its start revision to keys with its prefix.
    fn matching_changes(&self, changes: &[Change]) -> Vec<Change> {
        let first = changes.partition_point(|change| change.version <= self.after);
        let has_prefix = |change: &&Change| {
            let key = change.set_key.as_ref().or(change.deleted_key.as_ref());
            key.is_some_and(|key| key.starts_with(&self.prefix))
        };
        changes[first..].iter().filter(has_prefix).cloned().collect()
    }
}
