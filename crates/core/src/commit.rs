//! The leader's transactions: one at a time, each holding all that has become due since the last.
//!
//! Every transaction conditions on the epoch's stamp and on the stamp of every key that it writes,
//! and on the stamp of each job that it places. So copies that arrive late fail, and so does
//! everything that an older leader still sends. One that brought no answer is sent again as it
//! was: if it then succeeds, it was not carried out before; if it conflicts, it may have been, and
//! the leader takes a new epoch and reads everything again.

use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use serde_json::json;
use shaleshunt_wire::MAX_BODY;
use shaleshunt_wire::state::{Condition, Txn, Write};
use std::collections::BTreeSet;

/// A transaction under way, and what its success means.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    txn: Txn0,
    looms: Vec<(Id, Vec<u64>)>,
    dropped: Vec<Id>,
    chunks: Vec<(Id, u32, Vec<u32>)>,
    finals: Vec<Id>,
    hires: Vec<String>,
    hires_dropped: Vec<String>,
    owned: bool,
    catalog: bool,
    unanswered: bool,
    asking: bool,
}

/// A transaction being put together, within the limits.
#[derive(Debug)]
pub(crate) struct Txn0 {
    txn: Txn,
    jobs: BTreeSet<Id>,
    bytes: usize,
    ops: usize,
}

impl Default for Txn0 {
    fn default() -> Self {
        let txn = Txn { conditions: Vec::new(), writes: Vec::new() };
        Txn0 { txn, jobs: BTreeSet::new(), bytes: 0, ops: 0 }
    }
}

impl Txn0 {
    /// Whether `writes` more changes with `conditions` more conditions and this much text fit in.
    fn takes(&self, writes: usize, conditions: usize, bytes: usize) -> bool {
        self.txn.writes.len() + writes <= self.ops
            && self.txn.conditions.len() + conditions <= self.ops * shaleshunt_wire::CONDITIONS_PER_WRITE
            && (self.bytes + bytes <= MAX_BODY * 7 / 8 || self.txn.writes.is_empty())
    }
    fn set(&mut self, key: String, stamp: u64, v: serde_json::Value) {
        self.bytes += v.to_string().len() + key.len() * 2 + 60;
        self.txn.conditions.push(Condition { path: key.clone(), stamp });
        self.txn.writes.push(Write::set(key, v));
    }
    fn drop_key(&mut self, key: String, stamp: u64) {
        self.bytes += key.len() * 2 + 60;
        self.txn.conditions.push(Condition { path: key.clone(), stamp });
        self.txn.writes.push(Write::drop_key(key));
    }
}

impl Leader {
    /// Sends what is due, if nothing is under way.
    pub(crate) fn commit(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let rate = ctx.set.state_write_rps * ctx.tune.write_share;
        let gained = now.saturating_sub(self.writes_at) as f64 / 1000.0 * rate;
        self.writes = (self.writes + gained).min(rate.max(1.0));
        self.writes_at = now;
        if now < self.retry_commit_at {
            return;
        }
        if let Some(flight) = &mut self.flight {
            if !flight.asking {
                flight.asking = true;
                let txn = flight.txn.txn.clone();
                let wait = self.wait(LeadWait::Commit);
                ctx.state(StateRequest::Txn(txn), wait);
            }
            return;
        }
        let ops = ctx.set.txn_ops.min(self.writes as usize);
        if ops == 0 {
            return;
        }
        let mut f = Flight { asking: true, ..Flight::default() };
        f.txn.ops = ops;
        f.txn.txn.conditions.push(Condition { path: keys::EPOCH.into(), stamp: self.stamp });
        self.gather(ctx, &mut f);
        if f.txn.txn.writes.is_empty() {
            return;
        }
        self.writes -= f.txn.txn.writes.len() as f64;
        let txn = f.txn.txn.clone();
        self.flight = Some(f);
        let wait = self.wait(LeadWait::Commit);
        ctx.state(StateRequest::Txn(txn), wait);
    }

    fn gather(&mut self, ctx: &mut Ctx, f: &mut Flight) {
        for (id, stamp) in &self.gone {
            if *stamp > 0 && f.txn.takes(1, 1, 100) {
                f.txn.drop_key(format!("{}{id}", keys::LOOMS), *stamp);
                f.dropped.push(id.clone());
            }
        }
        self.gone.retain(|_, stamp| *stamp > 0);
        // Releases go before plans: a task's new placement is never recorded while an old one is.
        self.gather_looms(f, false);
        self.gather_outcomes(ctx, f);
        self.gather_looms(f, true);
        for (name, h) in &mut self.hires {
            if h.writing || !f.txn.takes(1, 1, 300) {
                continue;
            }
            let key = format!("{}{name}", keys::HIRES);
            if h.stamp == 0 && h.answer.is_none() {
                f.txn.set(key, 0, json!(h.hire));
                f.hires.push(name.clone());
                h.writing = true;
            } else if let Some(looms) = &h.answer
                && looms.iter().all(|id| self.looms.get(id).is_none_or(|m| m.stamp > 0))
            {
                f.txn.drop_key(key, h.stamp);
                f.hires_dropped.push(name.clone());
                h.writing = true;
            }
        }
        if self.owned_dirty
            && let Some(owned) = &self.owned
            && f.txn.takes(1, 1, owned.len() * 40)
        {
            f.txn.set(keys::OWNED.into(), self.owned_stamp, json!(owned));
            f.owned = true;
            self.owned_dirty = false;
        }
        if self.catalog_dirty
            && let Some(catalog) = &ctx.catalog
            && f.txn.takes(1, 1, catalog.frames.len() * 300)
        {
            f.txn.set(keys::CATALOG.into(), self.catalog_stamp.unwrap_or(0), json!(catalog));
            f.catalog = true;
            self.catalog_dirty = false;
        }
    }

    fn gather_looms(&mut self, f: &mut Flight, with_plans: bool) {
        for id in self.looms.keys().cloned().collect::<Vec<Id>>() {
            let Some(m) = self.looms.get(&id) else { continue };
            if !m.dirty || m.writing || m.shift == 0 && m.stamp == 0 && m.owned {
                continue;
            }
            let plans: Vec<&Placement> = m.places.iter().filter(|p| p.stage == Stage::Planned).collect();
            if plans.is_empty() == with_plans {
                continue;
            }
            let jobs: BTreeSet<Id> = plans.iter().map(|p| p.job.clone()).collect();
            // A new leader that found a task on two machines' records could start it on both. So a
            // job's plans wait until no record outside this transaction names what was released.
            let ours = |l: &Id| *l == id || f.looms.iter().any(|(w, _)| w == l);
            let named = |l: &Id| {
                (self.looms.get(l).is_some_and(|t| t.released) && !ours(l))
                    || self.gone.contains_key(l) && !f.dropped.contains(l)
            };
            let blocked = jobs.iter().filter_map(|j| self.jobs.get(j)).any(|j| j.tails.iter().any(named));
            if blocked {
                // Two machines could wait for each other: the record goes out without the plans.
                if m.released {
                    let v = m.record(false);
                    if f.txn.takes(1, 1, v.to_string().len()) {
                        f.looms.push((id.clone(), Vec::new()));
                        f.txn.set(format!("{}{id}", keys::LOOMS), m.stamp, v);
                        if let Some(m) = self.looms.get_mut(&id) {
                            m.released = false;
                            m.writing = true;
                        }
                    }
                }
                continue;
            }
            let new_jobs: Vec<Id> = jobs.into_iter().filter(|j| !f.txn.jobs.contains(j)).collect();
            let v = m.record(true);
            if !f.txn.takes(1, 1 + new_jobs.len(), v.to_string().len()) {
                continue;
            }
            f.looms.push((id.clone(), plans.iter().map(|p| p.slot).collect()));
            f.txn.set(format!("{}{id}", keys::LOOMS), m.stamp, v);
            for job in new_jobs {
                let Some(j) = self.jobs.get(&job) else { continue };
                let path = format!("{}{job}", keys::JOBS);
                f.txn.txn.conditions.push(Condition { path, stamp: j.stamp });
                f.txn.jobs.insert(job);
            }
            if let Some(m) = self.looms.get_mut(&id) {
                m.dirty = false;
                m.released = false;
                m.writing = true;
            }
        }
    }

    fn gather_outcomes(&mut self, ctx: &Ctx, f: &mut Flight) {
        let per_chunk = ctx.set.chunk_pieces();
        for id in self.changed_jobs.clone() {
            let Some(job) = self.jobs.get(&id) else {
                self.changed_jobs.remove(&id);
                continue;
            };
            if job.stale {
                continue;
            }
            let path = format!("{}{id}", keys::JOBS);
            if job.complete() || job.aborted {
                // A cancelled job ends only when no record names a placement of it, so that a new
                // leader knows what a recorded placement takes for as long as it may be there.
                let recorded =
                    |id: &Id| self.gone.contains_key(id) || self.looms.get(id).is_some_and(|m| m.dirty || m.writing);
                if job.aborted && (!job.live.is_empty() || job.tails.iter().any(recorded)) {
                    continue;
                }
                let n = job.chunks.len();
                if !f.txn.takes(2 + n, 2 + n, 300) {
                    continue;
                }
                let is_new = f.txn.jobs.insert(id.clone());
                if is_new {
                    f.txn.drop_key(path, job.stamp);
                } else {
                    f.txn.txn.writes.push(Write::drop_key(path));
                }
                let rec = FinalRecord { x: job.aborted, n: job.spec.pieces };
                f.txn.set(format!("{}{id}", keys::FINALS), 0, json!(rec));
                for (&chunk, &stamp) in &job.chunks {
                    f.txn.drop_key(job.chunk_key(chunk), stamp);
                }
                f.finals.push(id.clone());
                self.changed_jobs.remove(&id);
                continue;
            }
            let mut chunks: Vec<(u32, Vec<u32>)> = Vec::new();
            for &piece in &job.uncommitted {
                match chunks.last_mut() {
                    Some((c, list)) if *c == piece / per_chunk => list.push(piece),
                    _ => chunks.push((piece / per_chunk, vec![piece])),
                }
            }
            let mut all = true;
            for (chunk, pieces) in chunks {
                let text = job.done.encode(chunk * per_chunk, per_chunk);
                if f.txn.takes(1, 1, text.len()) {
                    f.txn.set(job.chunk_key(chunk), job.chunks.get(&chunk).copied().unwrap_or(0), json!(text));
                    f.chunks.push((id.clone(), chunk, pieces));
                } else {
                    all = false;
                }
            }
            if all {
                self.changed_jobs.remove(&id);
            }
        }
    }

    /// The transaction under way was answered, or not.
    pub(crate) fn committed(&mut self, ctx: &mut Ctx, result: Result<StateReply, IoError>) {
        let Some(mut f) = self.flight.take() else { return };
        f.asking = false;
        let pause = ctx.set.report_ms() / 60;
        match result {
            Ok(StateReply::Committed(ledger)) => self.succeeded(ctx, f, ledger),
            Ok(StateReply::Conflict(failed)) => {
                if failed.iter().any(|k| k == keys::EPOCH) {
                    self.down = Some("a newer epoch has begun");
                } else if f.unanswered || !failed.iter().all(|k| k.starts_with(keys::JOBS)) {
                    self.down = Some("a transaction's fate is unknown");
                } else {
                    self.failed(ctx, f, &failed);
                }
            }
            Err(IoError::NotSent | IoError::Refused | IoError::Throttled) => {
                self.retry_commit_at = ctx.now.mono + pause;
                self.flight = Some(f);
            }
            Err(IoError::Rejected(why)) => {
                ctx.log(Severity::Error, format!("transaction rejected: {why}"));
                self.down = Some("a transaction was rejected");
            }
            _ => {
                f.unanswered = true;
                self.retry_commit_at = ctx.now.mono + pause;
                self.flight = Some(f);
            }
        }
    }

    fn succeeded(&mut self, ctx: &mut Ctx, f: Flight, ledger: u64) {
        for (id, slots) in f.looms {
            if let Some(stamp) = self.gone.get_mut(&id) {
                *stamp = ledger;
            }
            let Some(m) = self.looms.get_mut(&id) else { continue };
            m.stamp = ledger;
            m.writing = false;
            for p in m.places.iter_mut().filter(|p| p.stage == Stage::Planned && slots.contains(&p.slot)) {
                p.stage = Stage::Committed;
                m.push = true;
            }
        }
        for id in f.dropped {
            self.gone.remove(&id);
        }
        for (id, chunk, pieces) in f.chunks {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.chunks.insert(chunk, ledger);
                for piece in pieces {
                    job.uncommitted.remove(&piece);
                }
            }
        }
        for id in f.finals {
            if let Some(job) = self.jobs.remove(&id) {
                let how = if job.aborted { "cancelled" } else { "done" };
                ctx.log(Severity::Debug, format!("job {id} {how}"));
            }
        }
        for name in f.hires {
            if let Some(h) = self.hires.get_mut(&name) {
                h.stamp = ledger;
                h.writing = false;
            }
        }
        for name in f.hires_dropped {
            self.hires.remove(&name);
        }
        if f.owned {
            self.owned_stamp = ledger;
        }
        if f.catalog {
            self.catalog_stamp = Some(ledger);
        }
    }

    /// Nothing was changed: some jobs' records are newer than known. Their plans are given up.
    fn failed(&mut self, ctx: &mut Ctx, f: Flight, failed: &[String]) {
        let stale: Vec<Id> = failed.iter().map(|k| Id::from(&k[keys::JOBS.len()..])).collect();
        for id in &stale {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stale = true;
                self.refresh(ctx, id.clone());
            }
        }
        for (id, slots) in f.looms {
            let Some(m) = self.looms.get_mut(&id) else { continue };
            m.writing = false;
            m.dirty = true;
            m.released = true;
            let void: Vec<u64> = m
                .places
                .iter()
                .filter(|p| p.stage == Stage::Planned && slots.contains(&p.slot) && stale.contains(&p.job))
                .map(|p| p.slot)
                .collect();
            for slot in void {
                self.release(ctx.now.mono, &id, slot, false);
            }
        }
        for (id, _, _) in f.chunks {
            self.changed_jobs.insert(id);
        }
        self.changed_jobs.extend(f.finals);
        for name in f.hires.iter().chain(&f.hires_dropped) {
            if let Some(h) = self.hires.get_mut(name) {
                h.writing = false;
            }
        }
        self.owned_dirty |= f.owned;
        self.catalog_dirty |= f.catalog;
    }
}
