//! What the leader knows, how it reads it all after it has taken the epoch, and how it learns of
//! users' changes.

pub(crate) mod autoscaler;
mod direct_calls;
pub(crate) mod fleet;
mod heartbeats;
mod machine_failures;
pub(crate) mod recovery;
pub(crate) mod scheduler;
mod silent_machines;
pub(crate) mod step_down;
pub(crate) mod store;
mod task_exits;
pub(crate) mod watch;

use crate::controller::{Context, PendingRequest};
use crate::event::{Event, LeaderFigures};
use crate::io::*;
use crate::leader::autoscaler::Autoscaler;
use crate::leader::fleet::Fleet;
use crate::leader::recovery::Recovery;
use crate::leader::scheduler::Scheduler;
use crate::leader::scheduler::usage::Ownership;
use crate::leader::step_down::{ForeignWrite, StepDown};
use crate::leader::store::Store;
use crate::leader::watch::JobWatch;
use crate::model::*;
use crate::records::{BlockRecord, SplitJobRecord, StoredJob, V01MachineRecord, V01PlacementRecord};
use serde_json::Value;
use shaleshunt_wire::kv::{Change, KeyValue, Page};
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch, Resources, Revision};
use std::collections::BTreeMap;

/// So many times a node's lag goes by between two passes over the queue, up to a fifth of a reporting interval.
const LAG_BETWEEN_PASSES: u64 = 4;

/// Most arrivals remembered: three times what comes within two boot times in a threefold burst at 4,000
/// machines. Of more the oldest are forgotten.
const ARRIVALS: usize = 6000;

/// Steps of the leader that wait for an answer.
#[derive(Debug)]
pub(crate) enum LeaderRequest {
    Load(&'static str, String),
    Renew,
    Watch,
    Commit,
    Settle,
    Settled(Revision),
    /// The version of a key that somebody else has written, for the log.
    ForeignWrite(ForeignWrite),
    Refresh(Id),
    End(Id),
    Parts(Box<(SplitJobRecord, Revision, Vec<KeyValue>)>),
    DirectCommands(Id),
    ScaleOut(String),
    ScaleIn(Vec<Id>),
    MachineList,
    Catalog,
}

/// A hire under way.
#[derive(Debug)]
pub(crate) struct ScaleOutState {
    pub request: shaleshunt_wire::cloud::ScaleOutRequest,
    /// Version of its record; absent until recorded.
    pub version: Revision,
    pub writing: bool,
    pub asking: bool,
    pub retry_at: u64,
    /// Answered, with these machines.
    pub answer: Option<Vec<Id>>,
}

/// The leader's state.
pub struct Leader {
    pub(crate) epoch: Epoch,
    pub(crate) version: Revision,
    pub(crate) pass: u64,
    /// Everything has been read.
    pub(crate) active: bool,
    /// Why leadership is over.
    pub(crate) down: Option<StepDown>,
    pub(crate) elected_at: u64,
    renew_at: u64,
    renewing: bool,
    pub(crate) last_attempt: u64,
    last_placement_id: u64,
    pub(crate) jobs: BTreeMap<Id, Job>,
    told_at: u64,
    pub(crate) store: Store,
    pub(crate) scheduler: Scheduler,
    pub(crate) fleet: Fleet,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) recovery: Recovery,
    pub(crate) watch: JobWatch,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Context, epoch: Epoch, version: Revision, pass: u64) -> Leader {
        let now = ctx.now.monotonic_ms;
        let mut l = Leader {
            epoch,
            version,
            pass,
            active: false,
            down: None,
            elected_at: now,
            renew_at: now,
            renewing: false,
            last_attempt: 0,
            last_placement_id: 0,
            jobs: BTreeMap::new(),
            told_at: now,
            store: Store::new(now),
            scheduler: Scheduler::new(now),
            fleet: Fleet::new(now),
            autoscaler: Autoscaler::new(now),
            recovery: Recovery::new(now),
            watch: JobWatch::new(now),
        };
        l.store.write_tokens = ctx.limits.rate() * ctx.tuning.write_share;
        let mine = [keys::JOBS, keys::SUBMISSION_PARTS, keys::TASK_PAGES, keys::MACHINE_BLOCKS, keys::SCALE_OUTS, "c/"];
        for prefix in mine.into_iter().chain([keys::V01_OUTCOMES, keys::V01_MACHINES]) {
            l.scan(ctx, prefix, String::new());
        }
        l
    }

    pub(crate) fn wait(&self, wait: LeaderRequest) -> PendingRequest {
        PendingRequest::Leader(self.epoch, wait)
    }

    fn scan(&mut self, ctx: &mut Context, prefix: &'static str, after: String) {
        self.recovery.scans_in_flight += 1;
        let wait = self.wait(LeaderRequest::Load(prefix, after.clone()));
        ctx.send_kv(KvRequest::Scan { prefix: prefix.into(), after }, wait);
    }

    fn handle_scan_page(&mut self, ctx: &mut Context, prefix: &'static str, page: Page) {
        let last = page.pairs.last().map(|p| p.path.clone());
        if prefix == keys::JOBS {
            // Changes from the first page's revision on are seen by the watch.
            self.watch.revision.get_or_insert(page.revision);
        }
        for pair in page.pairs {
            match prefix {
                keys::JOBS => self.apply_job_record(ctx, &pair.path, pair.v, pair.version),
                keys::SUBMISSION_PARTS => self.recovery.part_pairs.push(pair),
                keys::TASK_PAGES => self.recovery.page_pairs.push(pair),
                keys::MACHINE_BLOCKS => self.recovery.block_pairs.push(pair),
                keys::V01_OUTCOMES => self.recovery.v0_1_outcomes.push(pair),
                keys::V01_MACHINES => self.recovery.v0_1_machines.push(pair),
                keys::SCALE_OUTS => {
                    if let Ok(request) = serde_json::from_value::<shaleshunt_wire::cloud::ScaleOutRequest>(pair.v) {
                        let state = ScaleOutState {
                            request,
                            version: pair.version,
                            writing: false,
                            asking: false,
                            retry_at: 0,
                            answer: None,
                        };
                        self.autoscaler.scale_outs.insert(state.request.request.clone(), state);
                    }
                }
                _ => match pair.path.as_str() {
                    path if path.starts_with(keys::OWNED) => {
                        self.autoscaler
                            .owned_parts
                            .extend(serde_json::from_value::<Vec<String>>(pair.v).unwrap_or_default());
                        self.store.owned_list_versions.insert(pair.path, pair.version);
                    }
                    keys::CATALOG => {
                        self.store.catalog_version = Some(pair.version);
                        if ctx.catalog.is_none() {
                            ctx.catalog = serde_json::from_value(pair.v).ok();
                        }
                    }
                    _ => {}
                },
            }
        }
        match last {
            Some(after) if page.truncated => self.scan(ctx, prefix, after),
            _ => {
                self.recovery.scans_in_flight -= 1;
                if self.recovery.scans_in_flight == 0 && self.recovery.scan_retries.is_empty() {
                    self.activate(ctx);
                }
                return;
            }
        }
        self.recovery.scans_in_flight -= 1;
    }

    /// Everything has been read: joins outcomes and placements to jobs and begins to act.
    fn activate(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.store.owned_list_versions.contains_key(keys::OWNED) {
            self.autoscaler.owned = Some(std::mem::take(&mut self.autoscaler.owned_parts));
        }
        let (parts, large) =
            (std::mem::take(&mut self.recovery.part_pairs), std::mem::take(&mut self.recovery.split_records));
        self.restore_split_submissions(ctx, parts, large);
        for pair in std::mem::take(&mut self.recovery.block_pairs) {
            self.restore_block(ctx, pair);
        }
        let pages = std::mem::take(&mut self.recovery.page_pairs);
        self.restore_pages(ctx, pages);
        self.read_v0_1_records(ctx);
        self.stop_superseded_placements();
        self.active = true;
        let ids: Vec<Id> = self.jobs.keys().cloned().collect();
        for id in &ids {
            if self.jobs.get(id).is_some_and(|j| j.cancelled) {
                self.stop_job(ctx, id);
            }
            self.add_dependencies(ctx, id);
            self.queue_write(now, id);
        }
        // A zone may be cut off already: its machines have two reporting intervals to be heard.
        for m in self.fleet.machines.values().filter(|m| !m.zone.is_empty()) {
            let until = now + ctx.settings.heartbeat_interval_ms() * 2;
            self.fleet.reachability.expect_machine(&m.zone, until);
        }
        // All are asked, some at a time, so that the new token is confirmed before the next report.
        self.fleet.confirm_all_tokens();
        ctx.emit(Event::LeaderStateLoaded {
            epoch: self.epoch,
            jobs: self.jobs.len(),
            machines: self.fleet.machines.len(),
        });
        self.watch(ctx);
    }

    fn restore_block(&mut self, ctx: &Context, pair: KeyValue) {
        let Some(n) = keys::machine_block_number(&pair.path) else { return };
        let Ok(rec) = serde_json::from_value::<BlockRecord>(pair.v) else { return };
        let images: Vec<CachedImage> = rec
            .images
            .iter()
            .map(|image| CachedImage { image: self.fleet.images.number(&image.name), size_gb: image.gb })
            .collect();
        let mut block =
            Block { zone: rec.zone.clone(), version: pair.version, wrote: ctx.now.monotonic_ms, ..Block::default() };
        for (name, r) in rec.machines {
            let id: Id = name.as_str().into();
            // In two blocks only if its move between them was not finished: either will do.
            if self.fleet.machines.contains_key(&id) {
                continue;
            }
            let mut m = self.new_machine(ctx, &id, &r.machine_type, &rec.zone, r.spot, r.owned);
            (m.agent.endpoint, m.agent.epoch, m.rented_at) = (r.endpoint, r.agent_epoch, r.rented_at_ms);
            m.images = r.images.iter().filter_map(|i| images.get(*i as usize).copied()).collect();
            (m.record.block, m.record.committed) = (Some(n), true);
            block.owned = r.owned;
            block.machines.insert(id.clone());
            self.fleet.machines.insert(m);
        }
        self.store.newest_block = self.store.newest_block.max(n);
        self.store.blocks.insert(n, block);
    }

    /// A placement that an earlier leader committed. That of a task whose outcome is committed is void.
    pub(crate) fn restore_placement(
        &mut self,
        ctx: &Context,
        id: &Id,
        machine: &Id,
        agent_epoch: AgentEpoch,
        attempt: Attempt,
        task: u32,
    ) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.tasks.is_done(task) && task < j.spec.tasks) else { return };
        let known = job.tasks.placements_of(task).iter().any(|l| l.machine == *machine && l.attempt == attempt);
        if known {
            return;
        }
        let (need, image, gb) = (job.need, job.image, job.spec.image_gb);
        if !self.fleet.machines.contains_key(machine) {
            // Gone by a return after which its jobs' records were not written any more, or not
            // recorded: it counts until its silence or another return proves it gone.
            let m = self.new_machine(ctx, machine, "", "", false, false);
            self.fleet.machines.insert(m);
        }
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.images.add_known(image, gb);
        }
        let p = Placement {
            job: id.clone(),
            task,
            attempt,
            agent_epoch,
            placement_id: self.next_placement_id(),
            need,
            image,
            stage: PlacementState::Committed,
            sent: true,
            since: ctx.now.monotonic_ms,
            running: None,
            stop_grace_s: None,
        };
        self.add_placement(machine, p);
    }

    /// Records as version 0.1 kept them: machines with placements, and outcomes by themselves. A
    /// task about which a page says something is known from there: the leader that wrote it had
    /// read the earlier form.
    fn read_v0_1_records(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic_ms;
        // Outcomes of 0.1 came in chunks of a third of a value's limit, six bits a character.
        let per_chunk = ((ctx.settings.state.value_kb * 1024.0 * 2.0) as u32 / 64 * 64).max(64);
        let mut touched: Vec<(Id, u32)> = Vec::new();
        for pair in std::mem::take(&mut self.recovery.v0_1_outcomes) {
            let mut parts = pair.path[keys::V01_OUTCOMES.len()..].rsplitn(2, '/');
            let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
            let job = parts.next().and_then(|j| self.jobs.get_mut(j));
            if let (Some(chunk), Some(job), Some(text)) = (chunk, job, pair.v.as_str()) {
                let restored = job.tasks.restore_done(chunk.saturating_mul(per_chunk), text);
                touched.extend(restored.into_iter().map(|i| (job.id.clone(), i)));
            }
            self.store.v0_1_keys.insert(pair.path, pair.version);
        }
        for pair in std::mem::take(&mut self.recovery.v0_1_machines) {
            let name: Id = pair.path[keys::V01_MACHINES.len()..].into();
            self.store.v0_1_keys.insert(pair.path, pair.version);
            let Ok(rec) = serde_json::from_value::<V01MachineRecord>(pair.v) else { continue };
            if !self.fleet.machines.contains_key(&name) {
                let mut m = self.new_machine(ctx, &name, &rec.machine_type, &rec.zone, rec.spot, rec.owned);
                (m.agent.endpoint, m.agent.epoch, m.rented_at) = (rec.endpoint, rec.agent_epoch, rec.rented_at_ms);
                self.fleet.machines.insert(m);
                self.join_block(ctx, &name);
            }
            for V01PlacementRecord { job, task, attempt } in rec.placements {
                let unknown = |j: &&Job| j.writes.page_of_task.get(task as usize).is_none_or(|at| *at == 0);
                if let Some(id) = self.jobs.get(job.as_str()).filter(unknown).map(|j| j.id.clone()) {
                    self.restore_placement(ctx, &id, &name, rec.agent_epoch, attempt, task);
                    touched.push((id, task));
                }
            }
        }
        for (id, task) in touched {
            self.record_change(now, &id, task, true);
        }
    }

    /// Where records of the earlier form name a task twice, the earlier placement had been released
    /// when the later was planned, so it is gone; it must not be started again and is released by
    /// proof as any other.
    fn stop_superseded_placements(&mut self) {
        for job in self.jobs.values() {
            for l in job.tasks.superseded_placements() {
                let machine = self.fleet.machines.get_mut(&l.machine);
                if let Some(p) = machine.and_then(|m| m.placement_mut(l.placement_id)) {
                    p.stop_grace_s = Some(0.0);
                }
            }
        }
    }

    fn watch(&mut self, ctx: &mut Context) {
        self.watch.retry_at = None;
        let after = self.watch.revision.unwrap_or(Revision::ABSENT);
        // Short: what is known of cancellations bounds how long leases may be renewed in a cut.
        let hold_ms = ctx.settings.heartbeat_interval_ms() / 8;
        let wait = self.wait(LeaderRequest::Watch);
        ctx.send_kv(KvRequest::Watch { prefix: keys::JOBS.into(), after, hold_ms }, wait);
    }

    fn apply_job_record(&mut self, ctx: &mut Context, path: &str, v: Value, version: Revision) {
        let id = &path[keys::JOBS.len().min(path.len())..];
        if self.watch.ended_jobs.contains_key(id) || self.jobs.get(id).is_some_and(|j| j.record.version > version) {
            return;
        }
        let Some(rec) = StoredJob::read(v) else {
            ctx.emit(Event::RecordUnreadable { key: path.into() });
            return;
        };
        let cancelled = rec.is_cancelled();
        if let Some(job) = self.jobs.get_mut(id) {
            self.scheduler.request_pass();
            job.record.version = version;
            job.record.stale = false;
            job.record.has_cancellation_key = rec.has_cancellation_key();
            let id = job.id.clone();
            if cancelled && !job.cancelled {
                job.cancelled = true;
                self.stop_job(ctx, &id);
                self.cancelled(ctx, &id);
            }
            self.queue_write(ctx.now.monotonic_ms, &id);
            return;
        }
        match rec {
            StoredJob::Whole(rec) => self.add_job(ctx, *rec, version),
            StoredJob::SplitSubmission(rec) if self.active => self.read_parts(ctx, rec, version, Vec::new()),
            StoredJob::SplitSubmission(rec) => self.recovery.split_records.push((rec, version)),
        }
    }

    /// A job that was not known has come.
    pub(crate) fn add_job(&mut self, ctx: &mut Context, rec: JobRecord, version: Revision) {
        if self.jobs.get(rec.submission.id.as_str()).is_some_and(|j| j.record.version >= version) {
            return;
        }
        self.scheduler.request_pass();
        let mut job = Job::new(rec, version);
        job.image = self.fleet.images.number(&job.spec.image);
        let (id, cancelled, dependencies) = (job.id.clone(), job.cancelled, job.is_blocked());
        self.jobs.insert(id.clone(), job);
        self.scheduler.jobs_changed();
        if self.active {
            self.add_dependencies(ctx, &id);
            if cancelled {
                self.cancelled(ctx, &id);
            } else if !dependencies {
                self.record_arrival(ctx.now.monotonic_ms, &id);
            }
        }
        self.queue_write(ctx.now.monotonic_ms, &id);
    }

    /// A job that may run has come: as much may come again.
    pub(crate) fn record_arrival(&mut self, now: u64, id: &Id) {
        let Some(j) = self.jobs.get(id) else { return };
        let rec = JobRecord::new(j.spec.clone(), j.accepted_at);
        self.autoscaler.arrivals.push_back((now, Job::new(rec, j.record.version)));
        if self.autoscaler.arrivals.len() > ARRIVALS {
            self.autoscaler.arrivals.pop_front();
        }
    }

    /// A user's request has shown that a job is cancelled: what runs is stopped and what has not left
    /// never does. Its record is read for the rest.
    pub(crate) fn stop_cancelled_job(&mut self, ctx: &mut Context, job: &str) {
        let Some(j) = self.jobs.get_mut(job).filter(|j| !j.cancelled && !j.is_blocked()) else { return };
        // Nothing more is placed before it has been read.
        j.record.stale = true;
        let id = j.id.clone();
        self.stop_job(ctx, &id);
        if self.active {
            self.refresh(ctx, id);
        }
    }

    /// A job's record is no longer there.
    fn apply_job_removal(&mut self, ctx: &mut Context, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = true;
            let id = job.id.clone();
            self.stop_job(ctx, &id);
            if let Some(job) = self.jobs.remove(&id) {
                self.drop_facts(&job);
                self.remove_dependencies(&job);
            }
            self.dependency_vanished(ctx.now.monotonic_ms, &id);
            self.scheduler.jobs_changed();
            self.scheduler.request_pass();
        }
    }

    pub(crate) fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        wait: LeaderRequest,
        sent: u64,
        result: Result<KvReply, RequestError>,
    ) {
        match (wait, result) {
            (LeaderRequest::Load(prefix, _), Ok(KvReply::Page(page))) => self.handle_scan_page(ctx, prefix, page),
            // Once more: after an outage all ask at once. The lease says for how long that is of use.
            (LeaderRequest::Load(prefix, after), Err(_)) => {
                self.recovery.scans_in_flight -= 1;
                self.recovery.scan_retries.push((
                    prefix,
                    after,
                    ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60,
                ));
            }
            (LeaderRequest::Load(..), _) => self.down = Some(StepDown::Unreadable),
            (LeaderRequest::Renew, result) => {
                self.renewing = false;
                match result {
                    Ok(KvReply::Missing) => self.down = Some(StepDown::LeaseEnded),
                    Ok(_) => {}
                    Err(_) => self.renew_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 12,
                }
            }
            (LeaderRequest::Watch, Ok(KvReply::Changes(news))) => {
                self.watch.fresh_at = self.watch.fresh_at.max(sent);
                self.watch.revision = Some(news.revision);
                for change in news.changes {
                    match change {
                        Change { set: Some(path), v: Some(v), version, .. } => {
                            self.apply_job_record(ctx, &path, v, version)
                        }
                        Change { drop: Some(path), version, .. } => {
                            let id = path[keys::JOBS.len().min(path.len())..].to_string();
                            self.store.parts_being_read.retain(|job, read| **job != *id || *read > version);
                            if self.jobs.get(id.as_str()).is_some_and(|j| j.record.version < version) {
                                self.apply_job_removal(ctx, &id);
                            }
                        }
                        _ => {}
                    }
                }
                self.watch.ended_jobs.retain(|_, end| *end > news.revision);
                self.watch(ctx);
            }
            (LeaderRequest::Watch, Ok(KvReply::Compacted)) => self.down = Some(StepDown::ChangesMissed),
            (LeaderRequest::Watch, _) => {
                self.watch.retry_at = Some(ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 20)
            }
            (LeaderRequest::Refresh(id), Ok(KvReply::Found(pair))) if self.jobs.contains_key(&id) => {
                self.apply_job_record(ctx, &pair.path, pair.v, pair.version)
            }
            // The answer is late. A job that has ended meanwhile never comes back.
            (LeaderRequest::Refresh(_), Ok(KvReply::Found(_))) => {}
            (LeaderRequest::Refresh(id), Ok(KvReply::Missing)) => self.apply_job_removal(ctx, &id),
            (LeaderRequest::Refresh(id), _) => self.refresh(ctx, id),
            (LeaderRequest::Parts(got), result) => {
                let (rec, version, pairs) = *got;
                self.handle_parts(ctx, rec, version, pairs, result);
            }
            (LeaderRequest::End(id), result) => self.handle_final_record(ctx, id, result),
            (LeaderRequest::Commit, result) => self.handle_commit_reply(ctx, result),
            (LeaderRequest::Settle, result) => self.handle_settle_read(ctx, result),
            (LeaderRequest::Settled(version), result) => self.handle_settle_comparison(ctx, version, result),
            (LeaderRequest::ForeignWrite(write), result) => {
                let found = match result {
                    Ok(KvReply::Found(pair)) => Some(pair.version),
                    Ok(KvReply::Missing) => Some(Revision::ABSENT),
                    _ => None,
                };
                self.down = Some(StepDown::ForeignWrite(ForeignWrite { found, ..write }));
            }
            _ => {}
        }
    }

    /// Reads a job's record again, after a condition on it failed.
    pub(crate) fn refresh(&mut self, ctx: &mut Context, id: Id) {
        let key = format!("{}{id}", keys::JOBS);
        let wait = self.wait(LeaderRequest::Refresh(id));
        ctx.send_kv(KvRequest::Get { key }, wait);
    }

    /// What is due by time or by what the batch brought.
    pub(crate) fn run_due(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.renew_at <= now && !self.renewing {
            let life = ctx.settings.heartbeat_interval_s * ctx.tuning.leader_lease_intervals * 1000.0;
            self.renew_at = now + (life / 4.0) as u64;
            self.renewing = true;
            let wait = self.wait(LeaderRequest::Renew);
            ctx.send_kv(KvRequest::RenewLease { pass: self.pass }, wait);
        }
        while let Some(i) = self.recovery.scan_retries.iter().position(|(.., at)| now >= *at) {
            let (prefix, after, _) = self.recovery.scan_retries.swap_remove(i);
            self.scan(ctx, prefix, after);
        }
        if !self.active {
            return;
        }
        if self.watch.retry_at.is_some_and(|t| now >= t) {
            self.watch(ctx);
        }
        if self.fleet.reachability.take_due_check(now, ctx.settings.heartbeat_interval_ms()) {
            self.expire_silent_machines(ctx);
            self.probe_overdue(ctx);
        }
        if now >= self.told_at {
            self.told_at = now + ctx.settings.heartbeat_interval_ms();
            self.emit_statistics(ctx);
        }
        self.read_final_records(ctx);
        while let Some(i) = self.store.part_read_retries.iter().position(|(at, ..)| now >= *at) {
            let (_, rec, version) = self.store.part_read_retries.swap_remove(i);
            if self.store.parts_being_read.get(rec.job()) == Some(&version) {
                self.read_parts(ctx, rec, version, Vec::new());
            }
        }
        self.run_autoscaler(ctx);
        if self.scheduler.begin_pass(now) {
            self.detect_zone_partitions(ctx);
            // The shorter of processor time, the longer between passes: leases and answers come first.
            let apart = (ctx.settings.heartbeat_interval_s * 1000.0 / ctx.tuning.passes_per_heartbeat) as u64;
            let lag_ms = (ctx.batch_lag_ms() * LAG_BETWEEN_PASSES).min(ctx.settings.heartbeat_interval_ms() / 5);
            self.scheduler.delay_next_pass(now + apart + lag_ms);
            self.schedule(ctx);
        }
        self.commit(ctx);
        self.send_due_commands(ctx);
    }

    /// An event for operators: how much there is to do, and what holds it up.
    fn emit_statistics(&mut self, ctx: &mut Context) {
        debug_assert!(self.fleet.machines.consistent(), "machines by free CPUs");
        let waiting: u32 = self.jobs.values().filter(|j| !j.cancelled).map(Job::waiting).sum();
        let used =
            self.fleet.machines.values().filter(|m| m.is_schedulable(ctx.now.monotonic_ms, &ctx.settings)).count();
        let written = std::mem::take(&mut self.store.write_counts);
        ctx.emit(Event::LeaderStatus(Box::new(LeaderFigures {
            jobs: self.jobs.len(),
            tasks_waiting: waiting,
            machines_usable: used,
            machines: self.fleet.machines.len(),
            transactions: written.transactions,
            writes_ends: written.ends,
            writes_pages: written.pages,
            writes_blocks: written.blocks,
            writes_other: written.others,
            write_budget: self.store.write_tokens,
            ends_pending: self.store.job_ends.len(),
            jobs_pending: self.store.urgent_writes.len(),
            jobs_deferred: self.store.deferred_writes.len(),
            pages: self.store.pages.len(),
            transaction_in_flight: self.store.in_flight.is_some(),
        })));
    }

    /// Whether workers' leases may be renewed: no withdrawal can have been missed for too long.
    pub(crate) fn may_renew_leases(&self, ctx: &Context) -> bool {
        ctx.now.monotonic_ms.saturating_sub(self.watch.fresh_at) < ctx.settings.lease_renewal_window_ms()
    }

    /// A new attempt number, never used before in any epoch.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.last_attempt += 1;
        Attempt::new(self.epoch, self.last_attempt)
    }

    /// A new number for a placement inside this process.
    pub(crate) fn next_placement_id(&mut self) -> u64 {
        self.last_placement_id += 1;
        self.last_placement_id
    }

    pub(crate) fn new_machine(
        &self,
        ctx: &Context,
        id: &Id,
        machine_type: &str,
        zone: &str,
        spot: bool,
        owned: bool,
    ) -> Machine {
        let resources =
            ctx.catalog.as_ref().and_then(|c| c.machine_type(machine_type)).map(|f| f.resources()).unwrap_or_default();
        let (machine_type, zone) = (machine_type.to_string(), zone.to_string());
        let capacity = Capacity { total: resources, used: Resources::default() };
        Machine { machine_type, zone, spot, owned, capacity, ..Machine::new(id.clone(), ctx.now) }
    }

    /// Puts a placement on a machine and counts it everywhere.
    pub(crate) fn add_placement(&mut self, machine: &Id, p: Placement) {
        if !self.fleet.machines.contains_key(machine) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        self.fleet.machines.take_room(machine, &p.need);
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        let of_task = TaskPlacement {
            machine: machine.clone(),
            placement_id: p.placement_id,
            attempt: p.attempt,
            agent_epoch: p.agent_epoch,
            planned: p.stage == PlacementState::Planned,
        };
        job.tasks.add_placement(p.task, of_task, &m.zone);
        let ownership = Ownership::from_owned(m.owned);
        self.scheduler.usage_mut().add(&job.spec.class, &job.spec.team, &p.need, ownership);
        m.placements.push(p);
    }

    /// Takes a placement off a machine; the caller has the proof that it is gone.
    pub(crate) fn release_placement(
        &mut self,
        now: u64,
        machine: &Id,
        placement_id: u64,
        done: bool,
    ) -> Option<Placement> {
        let m = self.fleet.machines.get_mut(machine)?;
        let at = m.placements.iter().position(|p| p.placement_id == placement_id)?;
        let p = m.placements.remove(at);
        if m.placements.is_empty() {
            m.lifecycle.idle_since = now;
        }
        self.fleet.machines.give_room(machine, &p.need);
        let m = self.fleet.machines.get(machine)?;
        self.scheduler.request_pass();
        if let Some(job) = self.jobs.get_mut(&p.job) {
            job.tasks.remove_placement(p.task, placement_id, &m.zone, p.stage.is_running());
            let ownership = Ownership::from_owned(m.owned);
            self.scheduler.usage_mut().remove(&job.spec.class, &job.spec.team, &p.need, ownership);
            let cancelled = job.cancelled;
            if !done {
                self.record_change(now, &p.job, p.task, false);
            }
            if cancelled {
                self.queue_write(now, &p.job);
            }
        }
        Some(p)
    }

    /// Stops all tasks of a cancelled job. What never left is released at once.
    pub(crate) fn stop_job(&mut self, ctx: &mut Context, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(Id, u64)> = job.tasks.placements().map(|l| (l.machine.clone(), l.placement_id)).collect();
        for (machine, placement_id) in live {
            self.stop_placement(ctx.now.monotonic_ms, &machine, placement_id);
        }
        self.queue_write(ctx.now.monotonic_ms, id);
    }

    /// Stops a task at once; one whose `run` never left is released.
    pub(crate) fn stop_placement(&mut self, now: u64, machine: &Id, placement_id: u64) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        let Some(p) = m.placements.iter_mut().find(|p| p.placement_id == placement_id) else { return };
        if p.sent {
            p.stop_grace_s = Some(0.0);
            self.fleet.calls.call_soon(machine.clone());
        } else {
            self.release_placement(now, machine, placement_id, false);
        }
    }

    /// Done and running tasks of a job, for display.
    pub(crate) fn count(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |j| (j.tasks.done_count(), j.tasks.running_count()))
    }

    /// Counts of all jobs that await nothing and their records' versions, for the other nodes: who
    /// has a version from here need not look for cancelled jobs before this one.
    pub(crate) fn job_progress(&self) -> Vec<shaleshunt_peer::JobProgress> {
        // A job takes some 30 bytes of a frame. Of many more than a frame may hold, the rest is
        // shown by the leader alone and read at each poll.
        self.jobs
            .values()
            .filter(|j| !j.cancelled && !j.is_blocked())
            .map(|j| shaleshunt_peer::JobProgress {
                job: j.id.to_string(),
                record_version: j.record.version,
                done: j.tasks.done_count(),
                running: j.tasks.running_count(),
            })
            .take(shaleshunt_peer::MAX_FRAME / 256)
            .collect()
    }
}
