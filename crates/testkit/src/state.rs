//! The state service: keys, leases, watches and transactions, as the protocol has them.

use serde_json::Value;
use shaleshunt_core::settings::Limits;
use shaleshunt_core::{IoError, StateReply, StateRequest};
use shaleshunt_wire::state::{Change, News, Page, Pair, Txn, Write};
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
    ledger: Revision,
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
        request: StateRequest,
    ) -> Option<Result<StateReply, IoError>> {
        if self.down {
            return Some(Err(IoError::Refused));
        }
        if self.rps > 0.0 {
            let back = now.saturating_sub(self.spent_at) as f64 / 1000.0 * self.rps;
            (self.spent, self.spent_at) = ((self.spent - back).max(0.0), now);
            if self.spent + 1.0 > self.rps {
                return Some(Err(IoError::Throttled));
            }
            self.spent += 1.0;
        }
        Some(match request {
            StateRequest::Get { key } => Ok(match self.keys.get(&key) {
                Some((v, version, pass)) => {
                    StateReply::Found(Pair { path: key, v: v.clone(), version: *version, pass: *pass })
                }
                None => StateReply::Missing,
            }),
            StateRequest::Scan { prefix, after } => {
                let all = self.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let size = if self.page_size > 0 { self.page_size } else { SMALL_PAGE };
                let mut pairs: Vec<Pair> = all
                    .take(size)
                    .map(|(k, (v, version, pass))| Pair {
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
                Ok(StateReply::Page(Page { pairs, truncated, ledger: self.ledger }))
            }
            StateRequest::Txn(txn) => self.txn(now, txn),
            StateRequest::NewHold { life_ms } => {
                self.next_hold += 1;
                self.holds.insert(self.next_hold, (now + life_ms, life_ms));
                Ok(StateReply::Hold(self.next_hold))
            }
            StateRequest::Renew { pass } => Ok(match self.holds.get_mut(&pass) {
                Some(h) => {
                    h.0 = now + h.1;
                    StateReply::Fine
                }
                None => StateReply::Missing,
            }),
            StateRequest::EndHold { pass } => {
                let there = self.holds.contains_key(&pass);
                self.end_hold(pass);
                Ok(if there { StateReply::Fine } else { StateReply::Missing })
            }
            StateRequest::Watch { prefix, after, hold_ms } => {
                self.watches.push(Watch { who, id, prefix, after, until: now + hold_ms });
                return None;
            }
        })
    }

    fn txn(&mut self, now: u64, txn: Txn) -> Result<StateReply, IoError> {
        // What is too large is rejected, as the limits have it.
        let l = &self.limits;
        let text = |v: &Value| v.to_string().len();
        let too_long = |w: &Write| matches!(w, Write::Set { v, .. } if text(v) as f64 > l.value_kb * 1024.0);
        let many = txn.writes.len() > l.txn_ops || txn.conditions.len() > l.txn_ops * CONDITIONS_PER_WRITE;
        if many || serde_json::to_string(&txn).map_or(0, |t| t.len()) > MAX_BODY || txn.writes.iter().any(too_long) {
            self.rejected += 1;
            return Err(IoError::Rejected("too large".into()));
        }
        let writes = txn.writes.len() as f64;
        let back = now.saturating_sub(self.wrote_at) as f64 / 1000.0 * l.write_rps;
        (self.wrote, self.wrote_at) = ((self.wrote - back).max(0.0), now);
        if writes > 0.0 && self.wrote + writes > l.write_rps {
            return Err(IoError::Throttled);
        }
        self.wrote += writes;
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.path).map_or(Revision::ABSENT, |k| k.1) != c.version)
            .map(|c| c.path.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(StateReply::Conflict(failed));
        }
        let lapsed = |w: &Write| matches!(w, Write::Set { pass: Some(p), .. } if !self.holds.contains_key(p));
        if txn.writes.iter().any(lapsed) {
            return Err(IoError::Rejected("no such lease".into()));
        }
        for w in &txn.writes {
            if !txn.conditions.iter().any(|c| c.path == *key_of(w)) {
                return Err(IoError::Rejected(format!("write of {} without a condition on it", key_of(w))));
            }
        }
        if txn.writes.is_empty() {
            return Ok(StateReply::Committed(self.ledger));
        }
        self.ledger = self.ledger.next();
        for w in txn.writes {
            match w {
                Write::Set { set, v, pass } => self.set(set, v, pass),
                Write::Drop { drop } => self.remove(drop),
            }
        }
        Ok(StateReply::Committed(self.ledger))
    }

    fn set(&mut self, key: String, v: Value, pass: Option<u64>) {
        self.log.push(Change { set: Some(key.clone()), drop: None, v: Some(v.clone()), version: self.ledger });
        self.keys.insert(key, (v, self.ledger, pass));
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            self.log.push(Change { set: None, drop: Some(key), v: None, version: self.ledger });
        }
    }

    fn end_hold(&mut self, pass: u64) {
        if self.holds.remove(&pass).is_some() {
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, k)| k.2 == Some(pass)).map(|(k, _)| k.clone()).collect();
            if !keys.is_empty() {
                self.ledger = self.ledger.next();
                keys.into_iter().for_each(|k| self.remove(k));
            }
        }
    }

    /// Puts a key there from the beginning.
    pub fn store(&mut self, key: &str, v: Value) {
        self.ledger = self.ledger.next();
        self.set(key.into(), v, None);
    }

    /// Ends leases and answers watches that are due.
    pub fn turn(&mut self, now: u64) -> Vec<((usize, u32), u64, StateReply)> {
        if self.down {
            // After an outage every lease has its full time again; open watches stay open.
            for (until, life) in self.holds.values_mut() {
                *until = now + *life;
            }
            return Vec::new();
        }
        let over: Vec<u64> = self.holds.iter().filter(|(_, h)| h.0 < now).map(|(p, _)| *p).collect();
        over.into_iter().for_each(|p| self.end_hold(p));
        let (log, ledger) = (&self.log, self.ledger);
        let mut out = Vec::new();
        self.watches.retain(|w| {
            let from = log.partition_point(|c| c.version <= w.after);
            let is_ours = |c: &&Change| c.set.as_ref().or(c.drop.as_ref()).is_some_and(|k| k.starts_with(&w.prefix));
            let news: Vec<Change> = log[from..].iter().filter(is_ours).cloned().collect();
            if news.is_empty() && now < w.until {
                return true;
            }
            out.push((w.who, w.id, StateReply::News(News { ledger, news })));
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
