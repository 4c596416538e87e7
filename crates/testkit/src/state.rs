//! The state service: keys, leases, watches and transactions, as the protocol has them.

use serde_json::Value;
use shaleshunt_core::settings::Limits;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_wire::kv::{Change, KeyValue, Page, Transaction, WatchReply, Write};
use shaleshunt_wire::{CONDITIONS_PER_WRITE, MAX_BODY, Revision};
use std::collections::BTreeMap;

/// Keys on a page in the scenarios.
const SMALL_PAGE: usize = 8;

/// A watch that waits.
#[derive(Debug)]
pub struct Watch {
    /// Whose it is: node and its number of lives.
    pub who: (usize, u32),
    /// Its request.
    pub id: u64,
    prefix: String,
    after: Revision,
    until: u64,
}

/// The stand-in.
#[derive(Default)]
pub struct StateService {
    /// Longest value, most writes in a transaction, and writes a second with bursts of one second's
    /// worth. What is stored already may be longer.
    pub limits: Limits,
    wrote: f64,
    wrote_at: u64,
    /// Most keys on a page; 0 for the small pages of the scenarios, so that paging is played.
    pub page_size: usize,
    /// Requests that were called wrong, for the scenarios to count.
    pub rejected: u32,
    keys: BTreeMap<String, (Value, Revision, Option<u64>)>,
    revision: Revision,
    holds: BTreeMap<u64, (u64, u64)>,
    next_hold: u64,
    log: Vec<Change>,
    watches: Vec<Watch>,
    /// Out of order for everybody.
    pub down: bool,
    /// Requests a second, with bursts of one second's worth; 0 for no limit.
    pub rps: f64,
    spent: f64,
    spent_at: u64,
}

impl StateService {
    /// Carries out a request; `None` for a watch that waits.
    pub fn handle(
        &mut self,
        now: u64,
        who: (usize, u32),
        id: u64,
        request: KvRequest,
    ) -> Option<Result<KvReply, RequestError>> {
        if self.down {
            return Some(Err(RequestError::Unavailable));
        }
        if self.rps > 0.0 {
            let back = now.saturating_sub(self.spent_at) as f64 / 1000.0 * self.rps;
            (self.spent, self.spent_at) = ((self.spent - back).max(0.0), now);
            if self.spent + 1.0 > self.rps {
                return Some(Err(RequestError::Throttled));
            }
            self.spent += 1.0;
        }
        Some(match request {
            KvRequest::Get { key } => Ok(match self.keys.get(&key) {
                Some((v, version, pass)) => {
                    KvReply::Found(KeyValue { path: key, v: v.clone(), version: *version, pass: *pass })
                }
                None => KvReply::Missing,
            }),
            KvRequest::Scan { prefix, after } => {
                let all = self.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let size = if self.page_size > 0 { self.page_size } else { SMALL_PAGE };
                let mut pairs: Vec<KeyValue> = all
                    .take(size)
                    .map(|(k, (v, version, pass))| KeyValue {
                        path: k.clone(),
                        v: v.clone(),
                        version: *version,
                        pass: *pass,
                    })
                    .collect();
                let truncated = pairs.len() == size;
                if truncated {
                    pairs.pop();
                }
                Ok(KvReply::Page(Page { pairs, truncated, revision: self.revision }))
            }
            KvRequest::Transaction(transaction) => self.transaction(now, transaction),
            KvRequest::GrantLease { ttl_ms } => {
                self.next_hold += 1;
                self.holds.insert(self.next_hold, (now + ttl_ms, ttl_ms));
                Ok(KvReply::LeaseGranted(self.next_hold))
            }
            KvRequest::RenewLease { pass } => Ok(match self.holds.get_mut(&pass) {
                Some(h) => {
                    h.0 = now + h.1;
                    KvReply::Done
                }
                None => KvReply::Missing,
            }),
            KvRequest::RevokeLease { pass } => {
                let there = self.holds.contains_key(&pass);
                self.end_hold(pass);
                Ok(if there { KvReply::Done } else { KvReply::Missing })
            }
            KvRequest::Watch { prefix, after, hold_ms } => {
                self.watches.push(Watch { who, id, prefix, after, until: now + hold_ms });
                return None;
            }
        })
    }

    fn transaction(&mut self, now: u64, transaction: Transaction) -> Result<KvReply, RequestError> {
        // What is too large is rejected, as the limits have it.
        let l = &self.limits;
        let text = |v: &Value| v.to_string().len();
        let too_long = |w: &Write| matches!(w, Write::Set { v, .. } if text(v) as f64 > l.value_kb * 1024.0);
        let many =
            transaction.writes.len() > l.txn_ops || transaction.conditions.len() > l.txn_ops * CONDITIONS_PER_WRITE;
        if many
            || serde_json::to_string(&transaction).map_or(0, |t| t.len()) > MAX_BODY
            || transaction.writes.iter().any(too_long)
        {
            self.rejected += 1;
            return Err(RequestError::Rejected("too large".into()));
        }
        let writes = transaction.writes.len() as f64;
        let back = now.saturating_sub(self.wrote_at) as f64 / 1000.0 * l.write_rps;
        (self.wrote, self.wrote_at) = ((self.wrote - back).max(0.0), now);
        if writes > 0.0 && self.wrote + writes > l.write_rps {
            return Err(RequestError::Throttled);
        }
        self.wrote += writes;
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.path).map_or(Revision::ABSENT, |k| k.1) != c.version)
            .map(|c| c.path.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(KvReply::Conflict(failed));
        }
        let lapsed = |w: &Write| matches!(w, Write::Set { pass: Some(p), .. } if !self.holds.contains_key(p));
        if transaction.writes.iter().any(lapsed) {
            return Err(RequestError::Rejected("no such lease".into()));
        }
        for w in &transaction.writes {
            if !transaction.conditions.iter().any(|c| c.path == *key_of(w)) {
                return Err(RequestError::Rejected(format!("write of {} without a condition on it", key_of(w))));
            }
        }
        if transaction.writes.is_empty() {
            return Ok(KvReply::Committed(self.revision));
        }
        self.revision = self.revision.next();
        for w in transaction.writes {
            match w {
                Write::Set { set, v, pass } => self.set(set, v, pass),
                Write::Drop { drop } => self.remove(drop),
            }
        }
        Ok(KvReply::Committed(self.revision))
    }

    fn set(&mut self, key: String, v: Value, pass: Option<u64>) {
        self.log.push(Change { set: Some(key.clone()), drop: None, v: Some(v.clone()), version: self.revision });
        self.keys.insert(key, (v, self.revision, pass));
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            self.log.push(Change { set: None, drop: Some(key), v: None, version: self.revision });
        }
    }

    fn end_hold(&mut self, pass: u64) {
        if self.holds.remove(&pass).is_some() {
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, k)| k.2 == Some(pass)).map(|(k, _)| k.clone()).collect();
            if !keys.is_empty() {
                self.revision = self.revision.next();
                keys.into_iter().for_each(|k| self.remove(k));
            }
        }
    }

    /// Puts a key there from the beginning.
    pub fn store(&mut self, key: &str, v: Value) {
        self.revision = self.revision.next();
        self.set(key.into(), v, None);
    }

    /// Ends leases and answers watches that are due.
    pub fn turn(&mut self, now: u64) -> Vec<((usize, u32), u64, KvReply)> {
        if self.down {
            // After an outage every lease has its full time again; open watches stay open.
            for (until, life) in self.holds.values_mut() {
                *until = now + *life;
            }
            return Vec::new();
        }
        let over: Vec<u64> = self.holds.iter().filter(|(_, h)| h.0 < now).map(|(p, _)| *p).collect();
        over.into_iter().for_each(|p| self.end_hold(p));
        let (log, revision) = (&self.log, self.revision);
        let mut out = Vec::new();
        self.watches.retain(|w| {
            let from = log.partition_point(|c| c.version <= w.after);
            let is_ours = |c: &&Change| c.set.as_ref().or(c.drop.as_ref()).is_some_and(|k| k.starts_with(&w.prefix));
            let changes: Vec<Change> = log[from..].iter().filter(is_ours).cloned().collect();
            if changes.is_empty() && now < w.until {
                return true;
            }
            out.push((w.who, w.id, KvReply::Changes(WatchReply { revision, changes })));
            false
        });
        out
    }

    /// All keys with a prefix, for the checker.
    pub fn dump(&self, prefix: &str) -> Vec<(String, Value)> {
        self.keys.iter().filter(|(k, _)| k.starts_with(prefix)).map(|(k, v)| (k.clone(), v.0.clone())).collect()
    }
}

fn key_of(w: &Write) -> &String {
    match w {
        Write::Set { set, .. } => set,
        Write::Drop { drop } => drop,
    }
}
