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

pub(crate) mod pages;

use crate::controller::{Context, PendingRequest};
use crate::event::Event;
use crate::io::*;
use crate::leader::step_down::{ForeignWrite, StepDown};
use crate::leader::store::pages::{PageDraft, Pages, RecordedFacts};
use crate::leader::{Leader, LeaderRequest};
use crate::model::*;
use crate::records::{BlockRecord, ImageRecord, MachineRecord, SplitJobRecord};
use crate::submission_parts::Parts;
use serde_json::json;
use shaleshunt_wire::kv::{Condition, Transaction, Write};
use shaleshunt_wire::user::Priority;
use shaleshunt_wire::{MAX_BODY, Revision};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader has to write to the key-value store, and what it knows of the records there.
#[derive(Debug)]
pub(crate) struct Store {
    /// Parts of jobs' submissions, those that no record refers to, and records whose parts are to be
    /// read again at a time.
    pub(crate) submission_parts: BTreeMap<Id, Parts>,
    pub(crate) unreferenced_parts: Vec<Parts>,
    /// Jobs that are not known before their parts have been read, with the version of the record.
    pub(crate) parts_being_read: BTreeMap<Id, Revision>,
    pub(crate) part_read_retries: Vec<(u64, SplitJobRecord, Revision)>,
    pub(crate) pages: Pages,
    /// Facts touched so far.
    pub(crate) change_counter: u64,
    /// Blocks of machines by number, and those to be written.
    pub(crate) blocks: BTreeMap<u32, Block>,
    pub(crate) dirty_blocks: BTreeSet<u32>,
    /// The highest number that a block has had. None is used again: a late copy of the transaction
    /// that began the first would be carried out.
    pub(crate) newest_block: u32,
    /// Blocks from which machines went, to be written when there is room.
    pub(crate) thinned_blocks: BTreeSet<u32>,
    /// Jobs with plans to write, most urgent first; jobs that ended, oldest first, behind them those
    /// that are cancelled with another; jobs with outcomes, oldest first.
    pub(crate) job_ends: BTreeSet<(bool, u64, Id)>,
    pub(crate) urgent_writes: BTreeSet<(Reverse<Priority>, u64, Id)>,
    pub(crate) deferred_writes: BTreeSet<(u64, Id)>,
    /// Records of an earlier form, with versions. They go when all they held has been written anew.
    pub(crate) obsolete_keys: BTreeMap<String, Revision>,
    pub(crate) v0_1_keys: BTreeMap<String, Revision>,
    pub(crate) write_counts: Written,
    /// Versions of the keys that hold them, and the parts to be written.
    pub(crate) owned_list_versions: BTreeMap<String, Revision>,
    pub(crate) owned_list_pending: BTreeMap<u32, Vec<String>>,
    pub(crate) catalog_version: Option<Revision>,
    pub(crate) catalog_pending: bool,
    pub(crate) in_flight: Option<InFlightTransaction>,
    pub(crate) write_tokens: f64,
    pub(crate) write_tokens_at: u64,
    pub(crate) next_commit_at: u64,
}

impl Store {
    pub(crate) fn new(now: u64) -> Store {
        Store {
            submission_parts: BTreeMap::new(),
            unreferenced_parts: Vec::new(),
            parts_being_read: BTreeMap::new(),
            part_read_retries: Vec::new(),
            pages: Pages::default(),
            change_counter: 0,
            blocks: BTreeMap::new(),
            dirty_blocks: BTreeSet::new(),
            newest_block: 0,
            thinned_blocks: BTreeSet::new(),
            job_ends: BTreeSet::new(),
            urgent_writes: BTreeSet::new(),
            deferred_writes: BTreeSet::new(),
            obsolete_keys: BTreeMap::new(),
            v0_1_keys: BTreeMap::new(),
            write_counts: Written::default(),
            owned_list_versions: BTreeMap::new(),
            owned_list_pending: BTreeMap::new(),
            catalog_version: None,
            catalog_pending: false,
            in_flight: None,
            write_tokens: 0.0,
            write_tokens_at: now,
            next_commit_at: now,
        }
    }
}

/// A transaction under way, and what its success means.
#[derive(Debug, Default)]
pub(crate) struct InFlightTransaction {
    transaction: TransactionBuilder,
    /// Pages being put together, and those in the transaction.
    pub(crate) drafts: Vec<PageDraft>,
    pub(crate) pages: Vec<PageDraft>,
    pub(crate) noted: Vec<RecordedFacts>,
    pub(crate) plans: Vec<(Id, u64)>,
    pub(crate) dead_pages: Vec<u32>,
    finals: Vec<Id>,
    blocks: Vec<(u32, Vec<Id>)>,
    scale_outs: Vec<String>,
    hires_dropped: Vec<String>,
    obsolete_keys: Vec<String>,
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
            Some(keys::JOBS | keys::FINAL_RECORDS | "l/") => &mut self.ends,
            Some(keys::TASK_PAGES) => &mut self.pages,
            Some(keys::MACHINE_BLOCKS) => &mut self.blocks,
            _ => &mut self.others,
        };
        *of += 1;
    }
}

/// A transaction being put together, within the limits.
#[derive(Debug)]
pub(crate) struct TransactionBuilder {
    transaction: Transaction,
    jobs: BTreeSet<Id>,
    bytes: usize,
    ops: usize,
    conditions: usize,
}

impl Default for TransactionBuilder {
    fn default() -> Self {
        let transaction = Transaction { conditions: Vec::new(), writes: Vec::new() };
        TransactionBuilder { transaction, jobs: BTreeSet::new(), bytes: 0, ops: 0, conditions: 0 }
    }
}

impl TransactionBuilder {
    /// Most bytes, with room for what frames the values.
    const MOST_BYTES: usize = MAX_BODY * 7 / 8;

    /// Whether `writes` more changes with `conditions` more conditions and this much text fit in.
    fn has_space_for(&self, writes: usize, conditions: usize, bytes: usize) -> bool {
        self.transaction.writes.len() + writes <= self.ops
            && self.transaction.conditions.len() + conditions <= self.conditions
            && (self.bytes + bytes <= Self::MOST_BYTES || self.transaction.writes.is_empty())
    }
    fn full(&self) -> bool {
        self.transaction.writes.len() >= self.ops
    }
    fn set(&mut self, key: String, version: Revision, v: serde_json::Value, bytes: usize) {
        self.bytes += bytes + key.len() * 2 + 60;
        self.transaction.conditions.push(Condition { path: key.clone(), version });
        self.transaction.writes.push(Write::set(key, v));
    }
    fn drop_key(&mut self, key: String, version: Revision) {
        self.bytes += key.len() * 2 + 60;
        self.transaction.conditions.push(Condition { path: key.clone(), version });
        self.transaction.writes.push(Write::drop_key(key));
    }
    fn require_job_version(&mut self, job: &Job) {
        if self.jobs.insert(job.id.clone()) {
            let path = format!("{}{}", keys::JOBS, job.id);
            self.bytes += path.len() + 40;
            self.transaction.conditions.push(Condition { path, version: job.record.version });
        }
    }
    /// A key that only the leader writes and that shows whether this was carried out.
    fn marker_key(&self) -> Option<&str> {
        let key = |w: &Write| match w {
            Write::Set { set, .. } => Some(set.clone()),
            Write::Drop { .. } => None,
        };
        let set = self.transaction.writes.iter().filter_map(key).find(|k| !k.starts_with(keys::JOBS));
        let path = |k: &str| self.transaction.conditions.iter().map(|c| c.path.as_str()).find(|p| *p == k);
        match set {
            Some(k) => path(&k),
            None => self.transaction.writes.iter().find_map(|w| match w {
                Write::Drop { drop } => Some(drop.as_str()),
                Write::Set { .. } => None,
            }),
        }
    }
}

impl InFlightTransaction {
    pub(crate) fn has_space_for(&self, writes: usize, conditions: usize, bytes: usize) -> bool {
        // The drafts are not among the writes yet, but they will be, with all their bytes.
        let drafts = self.drafts.len();
        let small = self.transaction.bytes + bytes <= TransactionBuilder::MOST_BYTES;
        (small || drafts == 0) && self.transaction.has_space_for(writes + drafts, conditions + drafts, bytes)
    }
    /// Bytes of the pages being put together.
    pub(crate) fn drafted(&self) -> usize {
        self.drafts.iter().map(PageDraft::bytes).sum()
    }
    pub(crate) fn set(&mut self, key: String, version: Revision, v: serde_json::Value, bytes: usize) {
        self.transaction.set(key, version, v, bytes);
    }
    pub(crate) fn drop_key(&mut self, key: String, version: Revision) {
        self.transaction.drop_key(key, version);
    }
    pub(crate) fn require_job_version(&mut self, job: &Job) {
        self.transaction.require_job_version(job);
    }
    /// The first of the keys that failed which is not a job's record: users change those too.
    fn foreign_write(&self, failed: &[String]) -> Option<ForeignWrite> {
        let key = failed.iter().find(|k| !k.starts_with(keys::JOBS))?;
        let condition = self.transaction.transaction.conditions.iter().find(|c| c.path == *key);
        Some(ForeignWrite {
            key: key.clone(),
            expected: condition.map_or(Revision::ABSENT, |c| c.version),
            found: None,
        })
    }
    pub(crate) fn require_absent(&mut self, path: String) {
        self.transaction.bytes += path.len() + 40;
        self.transaction.transaction.conditions.push(Condition { path, version: Revision::ABSENT });
    }
}

impl Leader {
    /// Sends what is due, if nothing is under way.
    pub(crate) fn commit(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        // Users' submissions go first: while some wait, half of the share is left to them.
        // While none do and work waits to be written, half of what is kept for them is used too.
        let waits = !self.store.job_ends.is_empty() || !self.store.urgent_writes.is_empty();
        let share = match (ctx.submissions_waiting(), waits) {
            (true, _) => ctx.tuning.write_share / 2.0,
            (false, true) => (1.0 + ctx.tuning.write_share) / 2.0,
            (false, false) => ctx.tuning.write_share,
        };
        let rate = ctx.limits.rate() * share;
        let gained = now.saturating_sub(self.store.write_tokens_at) as f64 / 1000.0 * rate;
        self.store.write_tokens = (self.store.write_tokens + gained).min(rate.max(1.0));
        self.store.write_tokens_at = now;
        if now < self.store.next_commit_at {
            return;
        }
        if let Some(in_flight) = &mut self.store.in_flight {
            if !in_flight.asking {
                in_flight.asking = true;
                // What has no answer yet may have been carried out.
                let (request, wait) = match in_flight.transaction.marker_key().filter(|_| in_flight.unanswered) {
                    Some(key) => (KvRequest::Get { key: key.into() }, LeaderRequest::Settle),
                    None => (KvRequest::Transaction(in_flight.transaction.transaction.clone()), LeaderRequest::Commit),
                };
                let wait = self.wait(wait);
                ctx.send_kv(request, wait);
            }
            return;
        }
        let ops = ctx.limits.ops().min(self.store.write_tokens as usize);
        if ops == 0 {
            return;
        }
        let mut f = InFlightTransaction { asking: true, ..InFlightTransaction::default() };
        (f.transaction.ops, f.transaction.conditions) = (ops, ctx.limits.conditions());
        f.transaction.transaction.conditions.push(Condition { path: keys::EPOCH.into(), version: self.version });
        self.collect_changes(ctx, &mut f, rate);
        if f.transaction.transaction.writes.is_empty() {
            return;
        }
        // What becomes due meanwhile shares the next one.
        let gap = 1000.0 / (ctx.settings.kv_rps * ctx.tuning.request_share).max(1.0);
        let scarce = self.store.write_tokens < rate / 4.0;
        // With few in hand a transaction is to be worth its page, the more so where pages are small.
        let apart = gap * if ctx.limits.page_bytes() < ctx.settings.state.value_bytes() / 2 { 10.0 } else { 5.0 };
        self.store.next_commit_at = now + if scarce { apart } else { gap } as u64;
        self.store.write_tokens -= f.transaction.transaction.writes.len() as f64;
        self.store.write_counts.transactions += 1;
        for w in &f.transaction.transaction.writes {
            self.store.write_counts.count(match w {
                Write::Set { set, .. } => set,
                Write::Drop { drop } => drop,
            });
        }
        let transaction = f.transaction.transaction.clone();
        self.store.in_flight = Some(f);
        let wait = self.wait(LeaderRequest::Commit);
        ctx.send_kv(KvRequest::Transaction(transaction), wait);
    }

    fn collect_changes(&mut self, ctx: &mut Context, f: &mut InFlightTransaction, rate: f64) {
        let now = ctx.now.monotonic_ms;
        self.collect_blocks(ctx, f, rate);
        self.collect_scale_outs(f);
        // Users wait for ends as for starts: each may take half of what there is, and what the other
        // leaves.
        self.collect_job_ends(ctx, f, f.transaction.ops.div_ceil(2));
        let due: Vec<(Reverse<_>, u64, Id)> =
            self.store.urgent_writes.iter().take(f.transaction.conditions).cloned().collect();
        let mut refused = 0;
        for key in due {
            if refused >= 4 {
                break;
            }
            refused += 1;
            let open = self.jobs.get(&key.2).is_some_and(|j| !j.record.stale && !j.has_ended());
            if !open || self.collect_facts(ctx, f, &key.2) {
                refused -= 1;
                self.store.urgent_writes.remove(&key);
                if let Some(job) = self.jobs.get_mut(&key.2) {
                    job.writes.urgent = false;
                }
            }
        }
        self.collect_job_ends(ctx, f, f.transaction.ops);
        // The first part last: without it the others do not count.
        while let Some((n, part)) = self.store.owned_list_pending.last_key_value() {
            let v = json!(part);
            let bytes = v.to_string().len();
            if !f.has_space_for(1, 1, bytes) {
                break;
            }
            let key = if *n == 0 { keys::OWNED.to_string() } else { format!("{}/{n}", keys::OWNED) };
            let version = self.store.owned_list_versions.get(&key).copied().unwrap_or(Revision::ABSENT);
            f.transaction.set(key.clone(), version, v, bytes);
            f.owned.extend(self.store.owned_list_pending.pop_last().map(|(n, part)| (key, n, part)));
        }
        if self.store.catalog_pending
            && let Some(catalog) = &ctx.catalog
            && f.transaction.has_space_for(1, 1, catalog.machine_types.len() * 300)
        {
            let v = json!(catalog);
            let bytes = v.to_string().len();
            // One that is too long for a value is asked from the cloud by each node.
            if bytes <= ctx.limits.value_bytes() {
                f.transaction.set(
                    keys::CATALOG.into(),
                    self.store.catalog_version.unwrap_or(Revision::ABSENT),
                    v,
                    bytes,
                );
                f.catalog = true;
            }
            self.store.catalog_pending = false;
        }
        // Outcomes go along with plans, or alone after a while.
        let patience = if f.drafts.is_empty() { ctx.settings.heartbeat_interval_ms() / 4 } else { 0 };
        while let Some((since, id)) = self.store.deferred_writes.first().cloned() {
            if now.saturating_sub(since) < patience {
                break;
            }
            // A job's plans go with all else that is to be said of it.
            if !f.noted.iter().any(|n| n.job == id) && !self.collect_facts(ctx, f, &id) {
                break;
            }
            self.store.deferred_writes.pop_first();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.writes.deferred = false;
            }
        }
        self.collect_pages(f);
        // The rest takes what others leave: half of the budget stays free for what is urgent.
        let spare =
            |f: &InFlightTransaction, writes: f64| writes - f.transaction.transaction.writes.len() as f64 >= rate / 2.0;
        if spare(f, self.store.write_tokens) {
            self.collect_unreferenced_parts(f);
            self.collect_unreferenced_pages(f);
            self.compact_page(now);
        }
        if !self.store.v0_1_keys.is_empty()
            && self.store.urgent_writes.is_empty()
            && self.store.job_ends.is_empty()
            && self.store.deferred_writes.is_empty()
            && self.store.dirty_blocks.is_empty()
        {
            self.store.obsolete_keys.append(&mut self.store.v0_1_keys);
        }
        while spare(f, self.store.write_tokens) && !f.transaction.full() {
            let Some((key, version)) = self.store.obsolete_keys.pop_first() else { break };
            f.transaction.drop_key(key.clone(), version);
            f.obsolete_keys.push(key);
        }
    }

    fn collect_scale_outs(&mut self, f: &mut InFlightTransaction) {
        for (name, h) in &mut self.autoscaler.scale_outs {
            if h.writing || !f.transaction.has_space_for(1, 1, 300) {
                continue;
            }
            let key = format!("{}{name}", keys::SCALE_OUTS);
            if h.version == Revision::ABSENT && h.answer.is_none() {
                f.transaction.set(key, Revision::ABSENT, json!(h.request), 200);
                f.scale_outs.push(name.clone());
                h.writing = true;
            } else if let Some(machines) = &h.answer
                && machines.iter().all(|id| self.fleet.machines.get(id).is_none_or(|m| m.record.committed))
            {
                f.transaction.drop_key(key, h.version);
                f.hires_dropped.push(name.clone());
                h.writing = true;
            }
        }
    }

    /// Puts a machine into a block of its zone.
    pub(crate) fn join_block(&mut self, ctx: &Context, id: &Id) {
        let Some(m) = self.fleet.machines.get_mut(id) else { return };
        if m.record.block.is_some() {
            return;
        }
        let most = ctx.limits.block_machines();
        let fits = |b: &Block| b.zone == m.zone && b.owned == m.owned && b.machines.len() < most;
        let found = self.store.blocks.iter().rev().find(|(_, b)| fits(b)).map(|(n, _)| *n);
        let n = found.unwrap_or(self.store.newest_block + 1);
        self.store.newest_block = self.store.newest_block.max(n);
        let block = self.store.blocks.entry(n).or_default();
        (block.zone, block.owned) = (m.zone.clone(), m.owned);
        block.machines.insert(id.clone());
        m.record.block = Some(n);
        self.store.dirty_blocks.insert(n);
    }

    fn block_record(&self, n: u32, most: usize) -> Option<(serde_json::Value, usize, Vec<Id>)> {
        let b = self.store.blocks.get(&n)?;
        let mut rec = BlockRecord { zone: b.zone.clone(), ..BlockRecord::default() };
        let mut index: std::collections::BTreeMap<u32, u32> = std::collections::BTreeMap::new();
        let mut members = Vec::new();
        for id in &b.machines {
            let Some(m) = self.fleet.machines.get(id) else { continue };
            let mut images = Vec::new();
            for cached in m.images.iter() {
                let at = *index.entry(cached.image).or_insert_with(|| {
                    let name = self.fleet.images.name(cached.image).to_string();
                    rec.images.push(ImageRecord { name, gb: cached.size_gb });
                    rec.images.len() as u32 - 1
                });
                images.push(at);
            }
            let one = MachineRecord {
                machine_type: m.machine_type.clone(),
                spot: m.spot,
                owned: m.owned,
                endpoint: m.agent.endpoint.clone(),
                agent_epoch: m.agent.epoch,
                rented_at_ms: m.rented_at,
                images,
            };
            rec.machines.insert(id.to_string(), one);
            members.push(id.clone());
        }
        let mut v = json!(rec);
        let mut bytes = v.to_string().len();
        if bytes > most {
            // Images are only a help.
            rec.images.clear();
            rec.machines.values_mut().for_each(|m| m.images.clear());
            v = json!(rec);
            bytes = v.to_string().len();
        }
        Some((v, bytes, members))
    }

    fn collect_blocks(&mut self, ctx: &Context, f: &mut InFlightTransaction, rate: f64) {
        let now = ctx.now.monotonic_ms;
        // Images change all the time: each block is written anew now and then.
        let lease = (ctx.settings.lease_s * 1000.0) as u64;
        if self.store.dirty_blocks.is_empty()
            && self.store.write_tokens >= rate / 2.0
            && let Some((n, _)) = self.store.blocks.iter().find(|(_, b)| now.saturating_sub(b.wrote) > lease * 2)
        {
            let n = *n;
            self.store.dirty_blocks.insert(n);
        }
        // Machines that came are of use only when they are recorded; those that went are taken out when
        // there is room: a new leader finds them silent and returns them once more. While other work
        // waits, it has most of the room.
        let most = if self.store.job_ends.is_empty() && self.store.urgent_writes.is_empty() {
            f.transaction.ops
        } else {
            f.transaction.ops.div_ceil(4)
        };
        if self.store.dirty_blocks.is_empty()
            && self.store.write_tokens >= rate / 2.0
            && let Some(n) = self.store.thinned_blocks.pop_first()
        {
            self.store.dirty_blocks.insert(n);
        }
        for n in self.store.dirty_blocks.clone() {
            if f.transaction.transaction.writes.len() >= most {
                break;
            }
            let Some(b) = self.store.blocks.get(&n) else { continue };
            let (key, version) = (format!("{}{n}", keys::MACHINE_BLOCKS), b.version);
            if b.machines.is_empty() {
                if version > Revision::ABSENT && f.transaction.has_space_for(1, 1, 100) {
                    f.transaction.drop_key(key, version);
                    f.blocks.push((n, Vec::new()));
                    self.store.dirty_blocks.remove(&n);
                } else if version == Revision::ABSENT {
                    self.store.blocks.remove(&n);
                    self.store.dirty_blocks.remove(&n);
                }
                continue;
            }
            if self.split_block(ctx, n) {
                continue;
            }
            let Some((v, bytes, members)) = self.block_record(n, ctx.limits.value_bytes()) else { continue };
            if !f.transaction.has_space_for(1, 1, bytes) {
                continue;
            }
            f.transaction.set(key, version, v, bytes);
            f.blocks.push((n, members));
            self.store.dirty_blocks.remove(&n);
            self.store.thinned_blocks.remove(&n);
            if let Some(b) = self.store.blocks.get_mut(&n) {
                b.wrote = now;
            }
        }
    }

    /// A block that holds more machines than fit into a value by now gives the rest to new blocks.
    /// Whether it has to wait: its own record shrinks only when theirs are stored, so that at any
    /// moment each machine is in some record.
    fn split_block(&mut self, ctx: &Context, n: u32) -> bool {
        let most = ctx.limits.block_machines();
        let Some(b) = self.store.blocks.get_mut(&n) else { return false };
        if b.machines.len() <= most {
            let checkpointed = |n: &u32| {
                self.store.blocks.get(n).is_none_or(|b| b.version > Revision::ABSENT)
                    && !self.store.dirty_blocks.contains(n)
            };
            return !self.store.blocks[&n].after.iter().all(checkpointed);
        }
        let rest: Vec<Id> = b.machines.iter().skip(most).cloned().collect();
        b.machines.retain(|id| !rest.contains(id));
        let mut given = BTreeSet::new();
        for id in &rest {
            if let Some(m) = self.fleet.machines.get_mut(id) {
                m.record.block = None;
            }
            self.join_block(ctx, id);
            given.extend(self.fleet.machines.get(id).and_then(|m| m.record.block));
        }
        if let Some(b) = self.store.blocks.get_mut(&n) {
            b.after.extend(given);
        }
        true
    }

    /// Puts jobs' ends into the transaction while it has fewer writes than this.
    fn collect_job_ends(&mut self, ctx: &Context, f: &mut InFlightTransaction, most: usize) {
        while f.transaction.transaction.writes.len() + f.drafts.len() < most
            && let Some(key) = self.store.job_ends.first().cloned()
        {
            if !self.collect_job_end(ctx, f, &key.2) {
                break;
            }
            self.store.job_ends.remove(&key);
        }
    }

    /// Puts a job's end into the transaction; false if there is no room. It has ended when every
    /// placement of it has been proven gone.
    fn collect_job_end(&mut self, ctx: &Context, f: &mut InFlightTransaction, id: &Id) -> bool {
        // One that is stale comes back when its record has been read again.
        let Some(job) = self.jobs.get(id).filter(|j| !j.record.stale && j.has_ended()) else { return true };
        if f.finals.contains(id) {
            return true;
        }
        if !f.has_space_for(2 + usize::from(job.record.has_cancellation_key), 3, 400 + f.drafted()) {
            return false;
        }
        let path = format!("{}{id}", keys::JOBS);
        if f.transaction.jobs.insert(id.clone()) {
            f.transaction.drop_key(path, job.record.version);
        } else {
            f.transaction.transaction.writes.push(Write::drop_key(path));
        }
        let rec = FinalRecord { cancelled: job.cancelled, tasks: job.spec.tasks, ended_at_ms: ctx.now.wall_ms };
        f.transaction.set(format!("{}{id}", keys::FINAL_RECORDS), Revision::ABSENT, json!(rec), 50);
        if job.record.has_cancellation_key {
            // Written with the job's record, so of the same revision.
            f.transaction.drop_key(format!("{}{id}", keys::CANCELLED), job.record.version);
        }
        f.finals.push(id.clone());
        true
    }

    /// The transaction under way was answered, or not.
    pub(crate) fn handle_commit_reply(&mut self, ctx: &mut Context, result: Result<KvReply, RequestError>) {
        let Some(mut f) = self.store.in_flight.take() else { return };
        f.asking = false;
        let pause = ctx.settings.heartbeat_interval_ms() / 60;
        match &result {
            Ok(KvReply::Committed(_)) => ctx.limits.carried_out(),
            Err(RequestError::Throttled) => ctx.write_refused(),
            _ => {}
        }
        match result {
            Ok(KvReply::Committed(revision)) => self.apply_committed(ctx, f, revision),
            Ok(KvReply::Conflict(failed)) => {
                if failed.iter().any(|k| k == keys::EPOCH) {
                    self.down = Some(StepDown::NewerEpoch);
                } else if f.unanswered {
                    // An earlier copy of it may have been carried out after all.
                    f.asking = true;
                    if let Some(key) = f.transaction.marker_key() {
                        let wait = self.wait(LeaderRequest::Settle);
                        ctx.send_kv(KvRequest::Get { key: key.into() }, wait);
                    }
                    f.conflict = failed;
                    self.store.in_flight = Some(f);
                } else if let Some(write) = f.foreign_write(&failed) {
                    self.written_by_others(ctx, f, write);
                } else {
                    self.apply_conflict(ctx, f, &failed);
                }
            }
            Err(
                RequestError::NotSent
                | RequestError::LocalOverload
                | RequestError::Unavailable
                | RequestError::Throttled,
            ) => {
                self.store.next_commit_at = ctx.now.monotonic_ms + pause;
                self.store.in_flight = Some(f);
            }
            // Too large, as all else is checked here: the limits have fallen. If an earlier copy of it
            // may have been carried out, that is settled first.
            Err(RequestError::Rejected(why)) if !f.rejected => {
                ctx.emit(Event::TransactionRejected { reason: why });
                if !ctx.limits.too_large() {
                    self.down = Some(StepDown::TransactionRejected);
                } else if f.unanswered {
                    f.rejected = true;
                    self.store.in_flight = Some(f);
                } else {
                    self.apply_conflict(ctx, f, &[]);
                }
            }
            _ => {
                f.unanswered = true;
                self.store.next_commit_at = ctx.now.monotonic_ms + pause;
                self.store.in_flight = Some(f);
            }
        }
    }

    /// A key that only the leader writes has changed. It steps down as soon as the log can say to what;
    /// until then nothing is sent, since the transaction stays under way.
    fn written_by_others(&mut self, ctx: &mut Context, mut f: InFlightTransaction, write: ForeignWrite) {
        f.asking = true;
        self.store.in_flight = Some(f);
        let key = write.key.clone();
        let wait = self.wait(LeaderRequest::ForeignWrite(write));
        ctx.send_kv(KvRequest::Get { key }, wait);
    }

    /// A key that an unanswered transaction writes has been read.
    pub(crate) fn handle_settle_read(&mut self, ctx: &mut Context, result: Result<KvReply, RequestError>) {
        let Some(f) = &mut self.store.in_flight else { return };
        let Some(key) = f.transaction.marker_key().map(str::to_string) else { return };
        let version = match &result {
            Ok(KvReply::Found(pair)) => pair.version,
            Ok(KvReply::Missing) => Revision::ABSENT,
            _ => {
                f.asking = false;
                self.store.next_commit_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60;
                return;
            }
        };
        let before =
            f.transaction.transaction.conditions.iter().find(|c| c.path == key).map_or(Revision::ABSENT, |c| c.version);
        if version == before {
            let conflict = std::mem::take(&mut f.conflict);
            if f.rejected {
                // What follows is smaller and writes the same keys: only one of the two can be
                // carried out.
                if let Some(f) = self.store.in_flight.take() {
                    self.apply_conflict(ctx, f, &[]);
                }
            } else if conflict.is_empty() {
                // Not carried out so far: once more. Whichever copy comes first counts.
                let wait = PendingRequest::Leader(self.epoch, LeaderRequest::Commit);
                let transaction = f.transaction.transaction.clone();
                ctx.send_kv(KvRequest::Transaction(transaction), wait);
            } else if let Some(f) = self.store.in_flight.take() {
                match f.foreign_write(&conflict) {
                    None => self.apply_conflict(ctx, f, &conflict),
                    Some(write) => self.written_by_others(ctx, f, write),
                }
            }
            return;
        }
        // Changed: by us, if the epoch is still ours.
        let conditions =
            vec![Condition { path: keys::EPOCH.into(), version: self.version }, Condition { path: key, version }];
        let wait = self.wait(LeaderRequest::Settled(version));
        ctx.send_kv(KvRequest::Transaction(Transaction { conditions, writes: Vec::new() }), wait);
    }

    /// Whether the key that was read and the epoch held at the same time.
    pub(crate) fn handle_settle_comparison(
        &mut self,
        ctx: &mut Context,
        version: Revision,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Committed(_)) => {
                if let Some(f) = self.store.in_flight.take() {
                    self.apply_committed(ctx, f, version);
                }
            }
            Ok(KvReply::Conflict(_)) => self.down = Some(StepDown::NewerEpoch),
            _ => {
                if let Some(f) = &mut self.store.in_flight {
                    f.asking = false;
                }
                self.store.next_commit_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60;
            }
        }
    }

    fn apply_committed(&mut self, ctx: &mut Context, f: InFlightTransaction, revision: Revision) {
        self.apply_stored_pages(f.pages, f.noted, f.dead_pages, revision);
        for (machine, placement_id) in f.plans {
            let Some(m) = self.fleet.machines.get_mut(&machine) else { continue };
            let Some(p) = m.placements.iter_mut().find(|p| p.placement_id == placement_id) else { continue };
            p.stage = PlacementState::Committed;
            if let Some(job) = self.jobs.get_mut(&p.job) {
                job.tasks.commit_placement(p.task, placement_id);
            }
            self.fleet.calls.call_soon(machine);
        }
        for id in f.finals {
            if let Some(job) = self.jobs.remove(&id) {
                ctx.emit(if job.cancelled {
                    Event::JobCancelled { job: id.clone() }
                } else {
                    Event::JobCompleted { job: id.clone() }
                });
                self.drop_facts(&job);
                self.remove_dependencies(&job);
                self.store.unreferenced_parts.extend(self.store.submission_parts.remove(&id));
                self.watch.ended_jobs.insert(id.clone(), revision);
                self.scheduler.jobs_changed();
                let end = FinalRecord { cancelled: job.cancelled, tasks: 0, ended_at_ms: ctx.now.wall_ms };
                self.dependency_ended(ctx, &id, &end);
            }
        }
        for (n, members) in f.blocks {
            if members.is_empty() && self.store.blocks.get(&n).is_some_and(|b| b.machines.is_empty()) {
                self.store.blocks.remove(&n);
                continue;
            }
            if let Some(b) = self.store.blocks.get_mut(&n) {
                b.version = if members.is_empty() { Revision::ABSENT } else { revision };
                b.after.clear();
            }
            for id in members {
                if let Some(m) = self.fleet.machines.get_mut(&id) {
                    if !m.record.committed {
                        self.scheduler.request_pass();
                    }
                    m.record.committed = true;
                }
            }
        }
        for name in f.scale_outs {
            if let Some(h) = self.autoscaler.scale_outs.get_mut(&name) {
                h.version = revision;
                h.writing = false;
            }
        }
        for name in f.hires_dropped {
            self.autoscaler.scale_outs.remove(&name);
        }
        self.store.obsolete_keys.extend(f.parts.into_iter().flat_map(|parts| parts.into_iter().skip(1)));
        self.store.owned_list_versions.extend(f.owned.into_iter().map(|(key, ..)| (key, revision)));
        if f.catalog {
            self.store.catalog_version = Some(revision);
        }
    }

    /// Nothing was changed: some jobs' records are newer than known. Their plans are given up.
    fn apply_conflict(&mut self, ctx: &mut Context, f: InFlightTransaction, failed: &[String]) {
        let now = ctx.now.monotonic_ms;
        let stale: Vec<Id> = failed.iter().map(|k| Id::from(&k[keys::JOBS.len()..])).collect();
        for id in &stale {
            if let Some(job) = self.jobs.get_mut(id) {
                job.record.stale = true;
                self.refresh(ctx, id.clone());
            }
        }
        for (machine, placement_id) in f.plans {
            let place = self
                .fleet
                .machines
                .get(&machine)
                .and_then(|m| m.placements.iter().find(|p| p.placement_id == placement_id));
            if let Some(job) =
                place.filter(|p| p.stage == PlacementState::Planned && stale.contains(&p.job)).map(|p| &p.job)
            {
                let job = job.clone();
                self.release_placement(now, &machine, placement_id, false);
                self.queue_write(now, &job);
            }
        }
        for n in f.noted {
            if let Some(job) = self.jobs.get_mut(&n.job) {
                job.writes.urgent = true;
            }
            self.queue_write(now, &n.job);
        }
        for id in f.finals {
            self.queue_write(now, &id);
        }
        self.store.dirty_blocks.extend(f.blocks.iter().map(|(n, _)| *n));
        for name in f.scale_outs.iter().chain(&f.hires_dropped) {
            if let Some(h) = self.autoscaler.scale_outs.get_mut(name) {
                h.writing = false;
            }
        }
        // Those of a job that was accepted meanwhile may be in use.
        let taken = |parts: &Parts| stale.iter().any(|id| parts.iter().any(|(key, _)| key[2..].starts_with(&**id)));
        self.store.unreferenced_parts.extend(f.parts.into_iter().filter(|parts| !taken(parts)));
        for key in f.obsolete_keys {
            let version = f
                .transaction
                .transaction
                .conditions
                .iter()
                .find(|c| c.path == key)
                .map_or(Revision::ABSENT, |c| c.version);
            self.store.obsolete_keys.insert(key, version);
        }
        self.store.owned_list_pending.extend(f.owned.into_iter().map(|(_, n, part)| (n, part)));
        self.store.catalog_pending |= f.catalog;
    }
}

#[cfg(test)]
mod tests;
