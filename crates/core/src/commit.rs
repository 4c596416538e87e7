//! The leader's transactions: one at a time, each holding what has become due since the last.
//!
//! Every transaction conditions on the epoch's version and on the version of every key that it writes,
//! and on the version of each job that it places. So copies that arrive late fail, and so does
//! everything that an older leader still sends. One that brought no answer is settled by reading a
//! key that it writes, and is sent again as it was while that key has not changed.
//!
//! What is known of tasks goes on pages (see `pages`), so a transaction that places tasks of many
//! jobs costs one write or two. Outcomes go along, or alone after a while: nothing but the machines'
//! `forget` waits for them, since a new leader learns them from the next reports.

use crate::event::Event;
use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::{Ctx, Wait};
use crate::pages::{Draft, Noted};
use crate::parts::Parts;
use crate::step_down::{ForeignWrite, StepDown};
use serde_json::json;
use shaleshunt_wire::state::{Condition, Txn, Write};
use shaleshunt_wire::{MAX_BODY, Revision};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A transaction under way, and what its success means.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    txn: Txn0,
    /// Pages being put together, and those in the transaction.
    pub(crate) drafts: Vec<Draft>,
    pub(crate) pages: Vec<Draft>,
    pub(crate) noted: Vec<Noted>,
    pub(crate) plans: Vec<(Id, u64)>,
    pub(crate) dead_pages: Vec<u32>,
    finals: Vec<Id>,
    blocks: Vec<(u32, Vec<Id>)>,
    hires: Vec<String>,
    hires_dropped: Vec<String>,
    orphans: Vec<String>,
    pub(crate) parts: Vec<Parts>,
    owned: Vec<(String, u32, Vec<String>)>,
    catalog: bool,
    unanswered: bool,
    asking: bool,
    /// It was called too large: it is not sent again as it is.
    rejected: bool,
    /// Keys that conflicted, while it is found out whether an earlier copy was carried out.
    conflict: Vec<String>,
}

/// What was written since the last line for operators, by purpose.
#[derive(Debug, Default)]
pub(crate) struct Written {
    pub transactions: u32,
    pub ends: u32,
    pub pages: u32,
    pub blocks: u32,
    pub others: u32,
}

impl Written {
    fn count(&mut self, key: &str) {
        let of = match key.get(..2) {
            Some(keys::JOBS | keys::FINALS | "l/") => &mut self.ends,
            Some(keys::PAGES) => &mut self.pages,
            Some(keys::BLOCKS) => &mut self.blocks,
            _ => &mut self.others,
        };
        *of += 1;
    }
}

/// A transaction being put together, within the limits.
#[derive(Debug)]
pub(crate) struct Txn0 {
    txn: Txn,
    jobs: BTreeSet<Id>,
    bytes: usize,
    ops: usize,
    conditions: usize,
}

impl Default for Txn0 {
    fn default() -> Self {
        let txn = Txn { conditions: Vec::new(), writes: Vec::new() };
        Txn0 { txn, jobs: BTreeSet::new(), bytes: 0, ops: 0, conditions: 0 }
    }
}

impl Txn0 {
    /// Most bytes, with room for what frames the values.
    const MOST_BYTES: usize = MAX_BODY * 7 / 8;

    /// Whether `writes` more changes with `conditions` more conditions and this much text fit in.
    fn takes(&self, writes: usize, conditions: usize, bytes: usize) -> bool {
        self.txn.writes.len() + writes <= self.ops
            && self.txn.conditions.len() + conditions <= self.conditions
            && (self.bytes + bytes <= Self::MOST_BYTES || self.txn.writes.is_empty())
    }
    fn full(&self) -> bool {
        self.txn.writes.len() >= self.ops
    }
    fn set(&mut self, key: String, version: Revision, v: serde_json::Value, bytes: usize) {
        self.bytes += bytes + key.len() * 2 + 60;
        self.txn.conditions.push(Condition { path: key.clone(), version });
        self.txn.writes.push(Write::set(key, v));
    }
    fn drop_key(&mut self, key: String, version: Revision) {
        self.bytes += key.len() * 2 + 60;
        self.txn.conditions.push(Condition { path: key.clone(), version });
        self.txn.writes.push(Write::drop_key(key));
    }
    fn expect_job(&mut self, job: &Job) {
        if self.jobs.insert(job.id.clone()) {
            let path = format!("{}{}", keys::JOBS, job.id);
            self.bytes += path.len() + 40;
            self.txn.conditions.push(Condition { path, version: job.version });
        }
    }
    /// A key that only the leader writes and that shows whether this was carried out.
    fn marker(&self) -> Option<&str> {
        let key = |w: &Write| match w {
            Write::Set { set, .. } => Some(set.clone()),
            Write::Drop { .. } => None,
        };
        let set = self.txn.writes.iter().filter_map(key).find(|k| !k.starts_with(keys::JOBS));
        let path = |k: &str| self.txn.conditions.iter().map(|c| c.path.as_str()).find(|p| *p == k);
        match set {
            Some(k) => path(&k),
            None => self.txn.writes.iter().find_map(|w| match w {
                Write::Drop { drop } => Some(drop.as_str()),
                Write::Set { .. } => None,
            }),
        }
    }
}

impl Flight {
    pub(crate) fn takes(&self, writes: usize, conditions: usize, bytes: usize) -> bool {
        // The drafts are not among the writes yet, but they will be, with all their bytes.
        let drafts = self.drafts.len();
        let small = self.txn.bytes + bytes <= Txn0::MOST_BYTES;
        (small || drafts == 0) && self.txn.takes(writes + drafts, conditions + drafts, bytes)
    }
    /// Bytes of the pages being put together.
    pub(crate) fn drafted(&self) -> usize {
        self.drafts.iter().map(Draft::bytes).sum()
    }
    pub(crate) fn set(&mut self, key: String, version: Revision, v: serde_json::Value, bytes: usize) {
        self.txn.set(key, version, v, bytes);
    }
    pub(crate) fn drop_key(&mut self, key: String, version: Revision) {
        self.txn.drop_key(key, version);
    }
    pub(crate) fn expect_job(&mut self, job: &Job) {
        self.txn.expect_job(job);
    }
    /// The first of the keys that failed which is not a job's record: users change those too.
    fn foreign_write(&self, failed: &[String]) -> Option<ForeignWrite> {
        let key = failed.iter().find(|k| !k.starts_with(keys::JOBS))?;
        let condition = self.txn.txn.conditions.iter().find(|c| c.path == *key);
        Some(ForeignWrite {
            key: key.clone(),
            expected: condition.map_or(Revision::ABSENT, |c| c.version),
            found: None,
        })
    }
    pub(crate) fn expect_absent(&mut self, path: String) {
        self.txn.bytes += path.len() + 40;
        self.txn.txn.conditions.push(Condition { path, version: Revision::ABSENT });
    }
}

impl Leader {
    /// Sends what is due, if nothing is under way.
    pub(crate) fn commit(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        // Users' submissions go first: while some wait, half of the share is left to them.
        // While none do and work waits to be written, half of what is kept for them is used too.
        let waits = !self.ends.is_empty() || !self.urgent.is_empty();
        let share = match (ctx.accepting, waits) {
            (true, _) => ctx.tune.write_share / 2.0,
            (false, true) => (1.0 + ctx.tune.write_share) / 2.0,
            (false, false) => ctx.tune.write_share,
        };
        let rate = ctx.limits.rate() * share;
        let gained = now.saturating_sub(self.writes_at) as f64 / 1000.0 * rate;
        self.writes = (self.writes + gained).min(rate.max(1.0));
        self.writes_at = now;
        if now < self.commit_at {
            return;
        }
        if let Some(flight) = &mut self.flight {
            if !flight.asking {
                flight.asking = true;
                // What has no answer yet may have been carried out.
                let (request, wait) = match flight.txn.marker().filter(|_| flight.unanswered) {
                    Some(key) => (StateRequest::Get { key: key.into() }, LeadWait::Settle),
                    None => (StateRequest::Txn(flight.txn.txn.clone()), LeadWait::Commit),
                };
                let wait = self.wait(wait);
                ctx.state(request, wait);
            }
            return;
        }
        let ops = ctx.limits.ops().min(self.writes as usize);
        if ops == 0 {
            return;
        }
        let mut f = Flight { asking: true, ..Flight::default() };
        (f.txn.ops, f.txn.conditions) = (ops, ctx.limits.conditions());
        f.txn.txn.conditions.push(Condition { path: keys::EPOCH.into(), version: self.version });
        self.gather(ctx, &mut f, rate);
        if f.txn.txn.writes.is_empty() {
            return;
        }
        // What becomes due meanwhile shares the next one.
        let gap = 1000.0 / (ctx.set.state_rps * ctx.tune.request_share).max(1.0);
        let scarce = self.writes < rate / 4.0;
        // With few in hand a transaction is to be worth its page, the more so where pages are small.
        let apart = gap * if ctx.limits.page_bytes() < ctx.set.state.value_bytes() / 2 { 10.0 } else { 5.0 };
        self.commit_at = now + if scarce { apart } else { gap } as u64;
        self.writes -= f.txn.txn.writes.len() as f64;
        self.written.transactions += 1;
        for w in &f.txn.txn.writes {
            self.written.count(match w {
                Write::Set { set, .. } => set,
                Write::Drop { drop } => drop,
            });
        }
        let txn = f.txn.txn.clone();
        self.flight = Some(f);
        let wait = self.wait(LeadWait::Commit);
        ctx.state(StateRequest::Txn(txn), wait);
    }

    fn gather(&mut self, ctx: &mut Ctx, f: &mut Flight, rate: f64) {
        let now = ctx.now.mono;
        self.gather_blocks(ctx, f, rate);
        self.gather_hires(f);
        // Users wait for ends as for starts: each may take half of what there is, and what the other
        // leaves.
        self.gather_ends(ctx, f, f.txn.ops.div_ceil(2));
        let due: Vec<(Reverse<_>, u64, Id)> = self.urgent.iter().take(f.txn.conditions).cloned().collect();
        let mut refused = 0;
        for key in due {
            if refused >= 4 {
                break;
            }
            refused += 1;
            let open = self.jobs.get(&key.2).is_some_and(|j| !j.stale && !j.over());
            if !open || self.gather_facts(ctx, f, &key.2) {
                refused -= 1;
                self.urgent.remove(&key);
                if let Some(job) = self.jobs.get_mut(&key.2) {
                    job.urgent = false;
                }
            }
        }
        self.gather_ends(ctx, f, f.txn.ops);
        // The first part last: without it the others do not count.
        while let Some((n, part)) = self.owned_dirty.last_key_value() {
            let v = json!(part);
            let bytes = v.to_string().len();
            if !f.takes(1, 1, bytes) {
                break;
            }
            let key = if *n == 0 { keys::OWNED.to_string() } else { format!("{}/{n}", keys::OWNED) };
            let version = self.owned_versions.get(&key).copied().unwrap_or(Revision::ABSENT);
            f.txn.set(key.clone(), version, v, bytes);
            f.owned.extend(self.owned_dirty.pop_last().map(|(n, part)| (key, n, part)));
        }
        if self.catalog_dirty
            && let Some(catalog) = &ctx.catalog
            && f.txn.takes(1, 1, catalog.frames.len() * 300)
        {
            let v = json!(catalog);
            let bytes = v.to_string().len();
            // One that is too long for a value is asked from the cloud by each node.
            if bytes <= ctx.limits.value_bytes() {
                f.txn.set(keys::CATALOG.into(), self.catalog_version.unwrap_or(Revision::ABSENT), v, bytes);
                f.catalog = true;
            }
            self.catalog_dirty = false;
        }
        // Outcomes go along with plans, or alone after a while.
        let patience = if f.drafts.is_empty() { ctx.set.report_ms() / 4 } else { 0 };
        while let Some((since, id)) = self.lazy.first().cloned() {
            if now.saturating_sub(since) < patience {
                break;
            }
            // A job's plans go with all else that is to be said of it.
            if !f.noted.iter().any(|n| n.job == id) && !self.gather_facts(ctx, f, &id) {
                break;
            }
            self.lazy.pop_first();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waits_to_write = false;
            }
        }
        self.gather_pages(f);
        // The rest takes what others leave: half of the budget stays free for what is urgent.
        let spare = |f: &Flight, writes: f64| writes - f.txn.txn.writes.len() as f64 >= rate / 2.0;
        if spare(f, self.writes) {
            self.gather_parts(f);
            self.gather_dead_pages(f);
            self.drain_page(now);
        }
        if !self.legacy.is_empty()
            && self.urgent.is_empty()
            && self.ends.is_empty()
            && self.lazy.is_empty()
            && self.dirty_blocks.is_empty()
        {
            self.orphans.append(&mut self.legacy);
        }
        while spare(f, self.writes) && !f.txn.full() {
            let Some((key, version)) = self.orphans.pop_first() else { break };
            f.txn.drop_key(key.clone(), version);
            f.orphans.push(key);
        }
    }

    fn gather_hires(&mut self, f: &mut Flight) {
        for (name, h) in &mut self.hires {
            if h.writing || !f.txn.takes(1, 1, 300) {
                continue;
            }
            let key = format!("{}{name}", keys::HIRES);
            if h.version == Revision::ABSENT && h.answer.is_none() {
                f.txn.set(key, Revision::ABSENT, json!(h.hire), 200);
                f.hires.push(name.clone());
                h.writing = true;
            } else if let Some(machines) = &h.answer
                && machines.iter().all(|id| self.machines.get(id).is_none_or(|m| m.recorded))
            {
                f.txn.drop_key(key, h.version);
                f.hires_dropped.push(name.clone());
                h.writing = true;
            }
        }
    }

    /// Puts a machine into a block of its zone.
    pub(crate) fn join_block(&mut self, ctx: &Ctx, id: &Id) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.block.is_some() {
            return;
        }
        let most = ctx.limits.block_machines();
        let fits = |b: &Block| b.zone == m.zone && b.owned == m.owned && b.machines.len() < most;
        let found = self.blocks.iter().rev().find(|(_, b)| fits(b)).map(|(n, _)| *n);
        let n = found.unwrap_or(self.newest_block + 1);
        self.newest_block = self.newest_block.max(n);
        let block = self.blocks.entry(n).or_default();
        (block.zone, block.owned) = (m.zone.clone(), m.owned);
        block.machines.insert(id.clone());
        m.block = Some(n);
        self.dirty_blocks.insert(n);
    }

    fn block_record(&self, n: u32, most: usize) -> Option<(serde_json::Value, usize, Vec<Id>)> {
        let b = self.blocks.get(&n)?;
        let mut rec = BlockRecord { z: b.zone.clone(), ..BlockRecord::default() };
        let mut index: std::collections::BTreeMap<u32, u32> = std::collections::BTreeMap::new();
        let mut members = Vec::new();
        for id in &b.machines {
            let Some(m) = self.machines.get(id) else { continue };
            let mut images = Vec::new();
            for (image, gb) in &m.images {
                let at = *index.entry(*image).or_insert_with(|| {
                    let name = self.image_names.get(*image as usize).cloned().unwrap_or_default();
                    rec.i.push((name, *gb));
                    rec.i.len() as u32 - 1
                });
                images.push(at);
            }
            let one = MachineRecord {
                f: m.frame.clone(),
                b: m.spot,
                o: m.owned,
                e: m.endpoint.clone(),
                s: m.session,
                t: m.hired,
                i: images,
            };
            rec.m.insert(id.to_string(), one);
            members.push(id.clone());
        }
        let mut v = json!(rec);
        let mut bytes = v.to_string().len();
        if bytes > most {
            // Images are only a help.
            rec.i.clear();
            rec.m.values_mut().for_each(|m| m.i.clear());
            v = json!(rec);
            bytes = v.to_string().len();
        }
        Some((v, bytes, members))
    }

    fn gather_blocks(&mut self, ctx: &Ctx, f: &mut Flight, rate: f64) {
        let now = ctx.now.mono;
        // Images change all the time: each block is written anew now and then.
        let lease = (ctx.set.lease_s * 1000.0) as u64;
        if self.dirty_blocks.is_empty()
            && self.writes >= rate / 2.0
            && let Some((n, _)) = self.blocks.iter().find(|(_, b)| now.saturating_sub(b.wrote) > lease * 2)
        {
            let n = *n;
            self.dirty_blocks.insert(n);
        }
        // Machines that came are of use only when they are recorded; those that went are taken out when
        // there is room: a new leader finds them silent and returns them once more. While other work
        // waits, it has most of the room.
        let most = if self.ends.is_empty() && self.urgent.is_empty() { f.txn.ops } else { f.txn.ops.div_ceil(4) };
        if self.dirty_blocks.is_empty()
            && self.writes >= rate / 2.0
            && let Some(n) = self.thinned_blocks.pop_first()
        {
            self.dirty_blocks.insert(n);
        }
        for n in self.dirty_blocks.clone() {
            if f.txn.txn.writes.len() >= most {
                break;
            }
            let Some(b) = self.blocks.get(&n) else { continue };
            let (key, version) = (format!("{}{n}", keys::BLOCKS), b.version);
            if b.machines.is_empty() {
                if version > Revision::ABSENT && f.txn.takes(1, 1, 100) {
                    f.txn.drop_key(key, version);
                    f.blocks.push((n, Vec::new()));
                    self.dirty_blocks.remove(&n);
                } else if version == Revision::ABSENT {
                    self.blocks.remove(&n);
                    self.dirty_blocks.remove(&n);
                }
                continue;
            }
            if self.split_block(ctx, n) {
                continue;
            }
            let Some((v, bytes, members)) = self.block_record(n, ctx.limits.value_bytes()) else { continue };
            if !f.txn.takes(1, 1, bytes) {
                continue;
            }
            f.txn.set(key, version, v, bytes);
            f.blocks.push((n, members));
            self.dirty_blocks.remove(&n);
            self.thinned_blocks.remove(&n);
            if let Some(b) = self.blocks.get_mut(&n) {
                b.wrote = now;
            }
        }
    }

    /// A block that holds more machines than fit into a value by now gives the rest to new blocks.
    /// Whether it has to wait: its own record shrinks only when theirs are stored, so that at any
    /// moment each machine is in some record.
    fn split_block(&mut self, ctx: &Ctx, n: u32) -> bool {
        let most = ctx.limits.block_machines();
        let Some(b) = self.blocks.get_mut(&n) else { return false };
        if b.machines.len() <= most {
            let stored = |n: &u32| {
                self.blocks.get(n).is_none_or(|b| b.version > Revision::ABSENT) && !self.dirty_blocks.contains(n)
            };
            return !self.blocks[&n].after.iter().all(stored);
        }
        let rest: Vec<Id> = b.machines.iter().skip(most).cloned().collect();
        b.machines.retain(|id| !rest.contains(id));
        let mut given = BTreeSet::new();
        for id in &rest {
            if let Some(m) = self.machines.get_mut(id) {
                m.block = None;
            }
            self.join_block(ctx, id);
            given.extend(self.machines.get(id).and_then(|m| m.block));
        }
        if let Some(b) = self.blocks.get_mut(&n) {
            b.after.extend(given);
        }
        true
    }

    /// Puts jobs' ends into the transaction while it has fewer writes than this.
    fn gather_ends(&mut self, ctx: &Ctx, f: &mut Flight, most: usize) {
        while f.txn.txn.writes.len() + f.drafts.len() < most
            && let Some(key) = self.ends.first().cloned()
        {
            if !self.gather_end(ctx, f, &key.2) {
                break;
            }
            self.ends.remove(&key);
        }
    }

    /// Puts a job's end into the transaction; false if there is no room. It has ended when every
    /// placement of it has been proven gone.
    fn gather_end(&mut self, ctx: &Ctx, f: &mut Flight, id: &Id) -> bool {
        // One that is stale comes back when its record has been read again.
        let Some(job) = self.jobs.get(id).filter(|j| !j.stale && j.over()) else { return true };
        if f.finals.contains(id) {
            return true;
        }
        if !f.takes(2 + usize::from(job.cancel_key), 3, 400 + f.drafted()) {
            return false;
        }
        let path = format!("{}{id}", keys::JOBS);
        if f.txn.jobs.insert(id.clone()) {
            f.txn.drop_key(path, job.version);
        } else {
            f.txn.txn.writes.push(Write::drop_key(path));
        }
        let rec = FinalRecord { x: job.aborted, n: job.spec.tasks, t: ctx.now.wall };
        f.txn.set(format!("{}{id}", keys::FINALS), Revision::ABSENT, json!(rec), 50);
        if job.cancel_key {
            // Written with the job's record, so of the same revision.
            f.txn.drop_key(format!("{}{id}", keys::CANCELLED), job.version);
        }
        f.finals.push(id.clone());
        true
    }

    /// The transaction under way was answered, or not.
    pub(crate) fn committed(&mut self, ctx: &mut Ctx, result: Result<StateReply, IoError>) {
        let Some(mut f) = self.flight.take() else { return };
        f.asking = false;
        let pause = ctx.set.report_ms() / 60;
        match &result {
            Ok(StateReply::Committed(_)) => ctx.limits.carried_out(),
            Err(IoError::Throttled) => ctx.write_refused(),
            _ => {}
        }
        match result {
            Ok(StateReply::Committed(ledger)) => self.succeeded(ctx, f, ledger),
            Ok(StateReply::Conflict(failed)) => {
                if failed.iter().any(|k| k == keys::EPOCH) {
                    self.down = Some(StepDown::NewerEpoch);
                } else if f.unanswered {
                    // An earlier copy of it may have been carried out after all.
                    f.asking = true;
                    if let Some(key) = f.txn.marker() {
                        let wait = self.wait(LeadWait::Settle);
                        ctx.state(StateRequest::Get { key: key.into() }, wait);
                    }
                    f.conflict = failed;
                    self.flight = Some(f);
                } else if let Some(write) = f.foreign_write(&failed) {
                    self.written_by_others(ctx, f, write);
                } else {
                    self.failed(ctx, f, &failed);
                }
            }
            Err(IoError::NotSent | IoError::Busy | IoError::Refused | IoError::Throttled) => {
                self.commit_at = ctx.now.mono + pause;
                self.flight = Some(f);
            }
            // Too large, as all else is checked here: the limits have fallen. If an earlier copy of it
            // may have been carried out, that is settled first.
            Err(IoError::Rejected(why)) if !f.rejected => {
                ctx.emit(Event::TransactionRejected { reason: why });
                if !ctx.limits.too_large() {
                    self.down = Some(StepDown::TransactionRejected);
                } else if f.unanswered {
                    f.rejected = true;
                    self.flight = Some(f);
                } else {
                    self.failed(ctx, f, &[]);
                }
            }
            _ => {
                f.unanswered = true;
                self.commit_at = ctx.now.mono + pause;
                self.flight = Some(f);
            }
        }
    }

    /// A key that only the leader writes has changed. It steps down as soon as the log can say to what;
    /// until then nothing is sent, since the transaction stays under way.
    fn written_by_others(&mut self, ctx: &mut Ctx, mut f: Flight, write: ForeignWrite) {
        f.asking = true;
        self.flight = Some(f);
        let key = write.key.clone();
        let wait = self.wait(LeadWait::ForeignWrite(write));
        ctx.state(StateRequest::Get { key }, wait);
    }

    /// A key that an unanswered transaction writes has been read.
    pub(crate) fn settle(&mut self, ctx: &mut Ctx, result: Result<StateReply, IoError>) {
        let Some(f) = &mut self.flight else { return };
        let Some(key) = f.txn.marker().map(str::to_string) else { return };
        let version = match &result {
            Ok(StateReply::Found(pair)) => pair.version,
            Ok(StateReply::Missing) => Revision::ABSENT,
            _ => {
                f.asking = false;
                self.commit_at = ctx.now.mono + ctx.set.report_ms() / 60;
                return;
            }
        };
        let before = f.txn.txn.conditions.iter().find(|c| c.path == key).map_or(Revision::ABSENT, |c| c.version);
        if version == before {
            let conflict = std::mem::take(&mut f.conflict);
            if f.rejected {
                // What follows is smaller and writes the same keys: only one of the two can be
                // carried out.
                if let Some(f) = self.flight.take() {
                    self.failed(ctx, f, &[]);
                }
            } else if conflict.is_empty() {
                // Not carried out so far: once more. Whichever copy comes first counts.
                let wait = Wait::Lead(self.epoch, LeadWait::Commit);
                let txn = f.txn.txn.clone();
                ctx.state(StateRequest::Txn(txn), wait);
            } else if let Some(f) = self.flight.take() {
                match f.foreign_write(&conflict) {
                    None => self.failed(ctx, f, &conflict),
                    Some(write) => self.written_by_others(ctx, f, write),
                }
            }
            return;
        }
        // Changed: by us, if the epoch is still ours.
        let conditions =
            vec![Condition { path: keys::EPOCH.into(), version: self.version }, Condition { path: key, version }];
        let wait = self.wait(LeadWait::Settled(version));
        ctx.state(StateRequest::Txn(Txn { conditions, writes: Vec::new() }), wait);
    }

    /// Whether the key that was read and the epoch held at the same time.
    pub(crate) fn settled(&mut self, ctx: &mut Ctx, version: Revision, result: Result<StateReply, IoError>) {
        match result {
            Ok(StateReply::Committed(_)) => {
                if let Some(f) = self.flight.take() {
                    self.succeeded(ctx, f, version);
                }
            }
            Ok(StateReply::Conflict(_)) => self.down = Some(StepDown::NewerEpoch),
            _ => {
                if let Some(f) = &mut self.flight {
                    f.asking = false;
                }
                self.commit_at = ctx.now.mono + ctx.set.report_ms() / 60;
            }
        }
    }

    fn succeeded(&mut self, ctx: &mut Ctx, f: Flight, ledger: Revision) {
        self.pages_stored(f.pages, f.noted, f.dead_pages, ledger);
        for (machine, slot) in f.plans {
            let Some(m) = self.machines.get_mut(&machine) else { continue };
            let Some(p) = m.places.iter_mut().find(|p| p.slot == slot) else { continue };
            p.stage = Stage::Committed;
            if let Some(job) = self.jobs.get_mut(&p.job)
                && let Some(l) = job.live.get_mut(&p.task).and_then(|l| l.iter_mut().find(|l| l.slot == slot))
            {
                l.planned = false;
            }
            self.push.insert(machine);
        }
        for id in f.finals {
            if let Some(job) = self.jobs.remove(&id) {
                ctx.emit(if job.aborted {
                    Event::JobCancelled { job: id.clone() }
                } else {
                    Event::JobCompleted { job: id.clone() }
                });
                self.forget_facts(&job);
                self.unlink(&job);
                self.dead_parts.extend(self.parts.remove(&id));
                self.ended.insert(id.clone(), ledger);
                self.ranks_old = true;
                let end = FinalRecord { x: job.aborted, n: 0, t: ctx.now.wall };
                self.end_known(ctx, &id, &end);
            }
        }
        for (n, members) in f.blocks {
            if members.is_empty() && self.blocks.get(&n).is_some_and(|b| b.machines.is_empty()) {
                self.blocks.remove(&n);
                continue;
            }
            if let Some(b) = self.blocks.get_mut(&n) {
                b.version = if members.is_empty() { Revision::ABSENT } else { ledger };
                b.after.clear();
            }
            for id in members {
                if let Some(m) = self.machines.get_mut(&id) {
                    self.replan |= !m.recorded;
                    m.recorded = true;
                }
            }
        }
        for name in f.hires {
            if let Some(h) = self.hires.get_mut(&name) {
                h.version = ledger;
                h.writing = false;
            }
        }
        for name in f.hires_dropped {
            self.hires.remove(&name);
        }
        self.orphans.extend(f.parts.into_iter().flat_map(|parts| parts.into_iter().skip(1)));
        self.owned_versions.extend(f.owned.into_iter().map(|(key, ..)| (key, ledger)));
        if f.catalog {
            self.catalog_version = Some(ledger);
        }
    }

    /// Nothing was changed: some jobs' records are newer than known. Their plans are given up.
    fn failed(&mut self, ctx: &mut Ctx, f: Flight, failed: &[String]) {
        let now = ctx.now.mono;
        let stale: Vec<Id> = failed.iter().map(|k| Id::from(&k[keys::JOBS.len()..])).collect();
        for id in &stale {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stale = true;
                self.refresh(ctx, id.clone());
            }
        }
        for (machine, slot) in f.plans {
            let place = self.machines.get(&machine).and_then(|m| m.places.iter().find(|p| p.slot == slot));
            if let Some(job) = place.filter(|p| p.stage == Stage::Planned && stale.contains(&p.job)).map(|p| &p.job) {
                let job = job.clone();
                self.release(now, &machine, slot, false);
                self.queue_write(now, &job);
            }
        }
        for n in f.noted {
            if let Some(job) = self.jobs.get_mut(&n.job) {
                job.urgent = true;
            }
            self.queue_write(now, &n.job);
        }
        for id in f.finals {
            self.queue_write(now, &id);
        }
        self.dirty_blocks.extend(f.blocks.iter().map(|(n, _)| *n));
        for name in f.hires.iter().chain(&f.hires_dropped) {
            if let Some(h) = self.hires.get_mut(name) {
                h.writing = false;
            }
        }
        // Those of a job that was accepted meanwhile may be in use.
        let taken = |parts: &Parts| stale.iter().any(|id| parts.iter().any(|(key, _)| key[2..].starts_with(&**id)));
        self.dead_parts.extend(f.parts.into_iter().filter(|parts| !taken(parts)));
        for key in f.orphans {
            let version = f.txn.txn.conditions.iter().find(|c| c.path == key).map_or(Revision::ABSENT, |c| c.version);
            self.orphans.insert(key, version);
        }
        self.owned_dirty.extend(f.owned.into_iter().map(|(_, n, part)| (n, part)));
        self.catalog_dirty |= f.catalog;
    }
}

#[cfg(test)]
mod tests;
