//! A simulated consensus-backed key-value store: keys with revisions, leases, watches and transactions.

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

/// Keys on a page unless another size is set: small, so that the scenarios play paging.
const DEFAULT_PAGE_SIZE: usize = 8;

/// Identity of a request: who sent it, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The process that sent it.
    pub process: ProcessId,
    /// Number that the process gave it.
    pub id: u64,
}

/// The answer to a watch.
#[derive(Debug)]
pub struct WatchAnswer {
    /// The request that it answers.
    pub request: RequestKey,
    /// The answer.
    pub reply: KvReply,
}

/// A watch that waits for changes.
#[derive(Debug)]
struct Watch {
    request: RequestKey,
    prefix: String,
    after: Revision,
    until: u64,
}

/// A stored value.
#[derive(Debug)]
struct Entry {
    value: Value,
    revision: Revision,
    lease: Option<u64>,
}

/// A lease, in ms.
#[derive(Debug)]
struct Lease {
    expires_at: u64,
    ttl_ms: u64,
}

/// The store.
#[derive(Default)]
pub struct KeyValueStore {
    /// Longest value, most writes in a transaction, and writes a second with bursts of one second's
    /// worth. What is stored already may be longer.
    pub limits: StoreQuota,
    /// Requests a second, with bursts of one second's worth; 0 for no limit.
    pub requests_per_s: f64,
    /// Most keys on a page; 0 for the default.
    pub page_size: usize,
    /// Whether it refuses every request.
    pub down: bool,
    /// Requests that were rejected as too large.
    pub rejections: u32,
    writes: RateLimit,
    requests: RateLimit,
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    changes: Vec<Change>,
    watches: Vec<Watch>,
}

impl KeyValueStore {
    /// Carries out a request; `None` for a watch that waits, which [`KeyValueStore::advance`] answers.
    pub fn handle(&mut self, now: u64, key: RequestKey, request: KvRequest) -> Option<Result<KvReply, RequestError>> {
        if self.down {
            return Some(Err(RequestError::Unavailable));
        }
        if self.requests_per_s > 0.0 && !self.requests.take(now, 1.0, self.requests_per_s) {
            return Some(Err(RequestError::Throttled));
        }
        match request {
            KvRequest::Get { key } => Some(Ok(self.get(key))),
            KvRequest::Scan { prefix, after } => Some(Ok(self.scan(&prefix, &after))),
            KvRequest::Transaction(transaction) => Some(self.transact(now, transaction)),
            KvRequest::GrantLease { ttl_ms } => Some(Ok(self.grant_lease(now, ttl_ms))),
            KvRequest::RenewLease { lease: pass } => Some(Ok(self.renew_lease(now, pass))),
            KvRequest::RevokeLease { lease: pass } => {
                let existed = self.leases.contains_key(&pass);
                self.end_lease(pass);
                Some(Ok(if existed { KvReply::Done } else { KvReply::Missing }))
            }
            KvRequest::Watch { prefix, after, max_wait_ms } => {
                self.watches.push(Watch { request: key, prefix, after, until: now + max_wait_ms });
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
        let size = if self.page_size > 0 { self.page_size } else { DEFAULT_PAGE_SIZE };
        let found = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut pairs: Vec<KeyValue> = found.take(size).map(|(key, entry)| entry.pair(key.clone())).collect();
        let truncated = pairs.len() == size;
        if truncated {
            pairs.pop();
        }
        KvReply::Page(Page { pairs, truncated, revision: self.revision })
    }

    fn grant_lease(&mut self, now: u64, ttl_ms: u64) -> KvReply {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { expires_at: now + ttl_ms, ttl_ms });
        KvReply::LeaseGranted(self.last_lease)
    }

    fn renew_lease(&mut self, now: u64, id: u64) -> KvReply {
        let Some(lease) = self.leases.get_mut(&id) else { return KvReply::Missing };
        lease.expires_at = now + lease.ttl_ms;
        KvReply::Done
    }

    /// Ends a lease and deletes its keys, all at one revision.
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

    /// Puts a key there from the beginning.
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

    /// Lets time pass until `now`: leases expire, and watches with changes or at their end are answered.
    pub fn advance(&mut self, now: u64) -> Vec<WatchAnswer> {
        if self.down {
            // After an outage every lease has its full time again; open watches stay open.
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.ttl_ms;
            }
            return Vec::new();
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at < now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.end_lease(id));
        self.answer_watches(now)
    }

    fn answer_watches(&mut self, now: u64) -> Vec<WatchAnswer> {
        let (changes, revision) = (&self.changes, self.revision);
        let mut answers = Vec::new();
        self.watches.retain(|watch| {
            let news = watch.news(changes);
            if news.is_empty() && now < watch.until {
                return true;
            }
            let reply = KvReply::Changes(WatchReply { revision, changes: news });
            answers.push(WatchAnswer { request: watch.request, reply });
            false
        });
        answers
    }

    /// The keys with a prefix and their values.
    pub fn entries_under(&self, prefix: &str) -> Vec<(String, Value)> {
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
    /// The changes after the revision that it begins with, of the keys with its prefix.
    fn news(&self, changes: &[Change]) -> Vec<Change> {
        let first = changes.partition_point(|change| change.version <= self.after);
        let concerns = |change: &&Change| {
            let key = change.set_key.as_ref().or(change.deleted_key.as_ref());
            key.is_some_and(|key| key.starts_with(&self.prefix))
        };
        changes[first..].iter().filter(concerns).cloned().collect()
    }
}
