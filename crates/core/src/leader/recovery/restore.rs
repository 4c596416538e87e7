//! Restores the leader's state from the records that were read: machine blocks, placements and split submissions.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::store::{StoredBlock, StoredPlacement};
use crate::model::{CachedImage, Id, Job, Placement, PlacementState};
use crate::records::{BlockRecord, MachineRecord, keys};
use shaleshunt_wire::kv::KeyValue;
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeat intervals that the machines of a zone have for their first heartbeat to a new leader, since the zone may
/// already be partitioned.
const ZONE_FIRST_HEARTBEAT_INTERVALS: u64 = 2;

impl Leader {
    /// Restores the state from the records, after everything has been read, and starts to act as leader.
    pub(super) fn activate(&mut self, ctx: &mut Context) {
        if self.store.has_owned_list() {
            self.autoscaler.owned.finish_loading();
        }
        self.restore_split_submissions(ctx);
        for pair in std::mem::take(&mut self.recovery.blocks) {
            self.restore_block(ctx, pair);
        }
        let pages = std::mem::take(&mut self.recovery.pages);
        for placement in self.store.restore_pages(pages, &mut self.jobs) {
            self.restore_placement(ctx, placement);
        }
        self.restore_v0_1_records(ctx);
        self.stop_superseded_placements();
        self.active = true;
        self.activate_jobs(ctx);
        self.expect_machines(ctx);
        ctx.emit(Event::LeaderStateLoaded {
            epoch: self.epoch,
            jobs: self.jobs.len(),
            machines: self.fleet.machines.len(),
            revision: self.watch.revision(),
            seconds: ctx.now.monotonic_ms.saturating_sub(self.elected_at_ms) as f64 / 1000.0,
        });
        self.watch_jobs(ctx);
    }

    /// Registers the dependencies of all jobs and queues their pending writes.
    fn activate_jobs(&mut self, ctx: &mut Context) {
        let ids: Vec<Id> = self.jobs.keys().cloned().collect();
        for id in &ids {
            if self.jobs.get(id).is_some_and(|job| job.cancelled) {
                self.stop_job(ctx, id);
            }
            self.add_dependencies(ctx, id);
            self.queue_job_write(ctx.now.monotonic_ms, id);
        }
    }

    /// Expects a heartbeat from all machines, and starts calls to them, a limited number at a time, so that they
    /// confirm the new fencing token before their next heartbeat.
    fn expect_machines(&mut self, ctx: &Context) {
        let window_ms = ctx.settings.heartbeat_interval_ms() * ZONE_FIRST_HEARTBEAT_INTERVALS;
        let deadline_ms = ctx.now.monotonic_ms + window_ms;
        for machine in self.fleet.machines.values().filter(|machine| !machine.zone.is_empty()) {
            self.fleet.reachability.expect_machine(&machine.zone, deadline_ms);
        }
        self.fleet.confirm_all_tokens();
    }

    /// Assigns the submission parts to their jobs. Parts without a job record are queued for removal.
    ///
    /// Parts and records are read at different times. A record whose parts are missing or incomplete among those that
    /// were read was created during recovery: its parts are read again, and no earlier leader has placed its tasks.
    fn restore_split_submissions(&mut self, ctx: &mut Context) {
        let mut by_prefix: BTreeMap<String, Vec<KeyValue>> = BTreeMap::new();
        for part in std::mem::take(&mut self.recovery.submission_parts) {
            let prefix = keys::submission_parts_prefix(&part.key).to_string();
            by_prefix.entry(prefix).or_default().push(part);
        }
        for read in std::mem::take(&mut self.recovery.split_records) {
            let parts = by_prefix.remove(&read.record.parts_prefix).unwrap_or_default();
            match read.record.join(&parts) {
                Some(record) => self.add_split_job(ctx, record, read.version, parts),
                None => self.read_submission_parts(ctx, read),
            }
        }
        for prefix in by_prefix.keys() {
            ctx.emit(Event::SubmissionPartsUnreferenced { prefix: prefix.clone() });
        }
        self.store.add_unreferenced_parts(by_prefix.into_values());
    }

    fn restore_block(&mut self, ctx: &Context, pair: KeyValue) {
        let Some(number) = keys::machine_block_number(&pair.key) else { return };
        let Ok(record) = serde_json::from_value::<BlockRecord>(pair.value) else { return };
        let images: Vec<CachedImage> = record
            .images
            .iter()
            .map(|image| CachedImage { image: self.fleet.images.number(&image.name), size_gb: image.gb })
            .collect();
        let mut owned = false;
        let mut machines = BTreeSet::new();
        for (name, machine) in record.machines {
            let id: Id = name.as_str().into();
            // A machine is in two blocks only if its move between them was not completed; either block is valid.
            if self.fleet.machines.contains_key(&id) {
                continue;
            }
            owned = machine.owned;
            self.restore_machine(ctx, &id, number, &record.zone, &images, machine);
            machines.insert(id);
        }
        let block = StoredBlock { number, zone: record.zone, owned, machines, version: pair.version };
        self.store.restore_block(ctx.now.monotonic_ms, block);
    }

    fn restore_machine(
        &mut self,
        ctx: &Context,
        id: &Id,
        block: u32,
        zone: &str,
        images: &[CachedImage],
        record: MachineRecord,
    ) {
        let mut machine = self.new_machine(ctx, id, &record.machine_type, zone, record.spot, record.owned);
        machine.agent.endpoint = record.endpoint;
        machine.agent.epoch = record.agent_epoch;
        machine.rented_at_ms = record.rented_at_ms;
        machine.images = record.images.iter().filter_map(|index| images.get(*index as usize).copied()).collect();
        machine.record.block = Some(block);
        machine.record.committed = true;
        self.fleet.machines.insert(machine);
    }

    /// Restores a placement that an earlier leader committed. A placement of a task whose outcome is committed is
    /// ignored.
    pub(super) fn restore_placement(&mut self, ctx: &Context, stored: StoredPlacement) {
        let StoredPlacement { job: id, task, machine, agent_epoch, attempt } = stored;
        let is_open = |job: &&Job| !job.tasks.is_done(task) && task < job.spec.tasks;
        let Some(job) = self.jobs.get(&id).filter(is_open) else { return };
        let mut placements = job.tasks.placements_of(task).iter();
        if placements.any(|known| known.machine == machine && known.attempt == attempt) {
            return;
        }
        let (need, image, image_gb) = (job.need, job.image, job.spec.image_gb);
        if !self.fleet.machines.contains_key(&machine) {
            // The machine was returned after the last entries of its tasks were written, or was never recorded. It is
            // kept until missing heartbeats or another return prove it gone.
            let unknown = self.new_machine(ctx, &machine, "", "", false, false);
            self.fleet.machines.insert(unknown);
        }
        if let Some(machine) = self.fleet.machines.get_mut(&machine) {
            machine.images.add_if_absent(image, image_gb);
        }
        let placement = Placement {
            job: id,
            task,
            attempt,
            agent_epoch,
            placement_id: self.next_placement_id(),
            need,
            image,
            state: PlacementState::Committed,
            start_sent: true,
            planned_at_ms: ctx.now.monotonic_ms,
            running_since_ms: None,
            stop_grace_s: None,
        };
        self.add_placement(&machine, placement);
    }

    /// Stops superseded placements. Where records of version 0.1 contain two placements of a task, the earlier one had
    /// been released before the later one was planned, so its task is gone. The task must not be started again; the
    /// placement is released like any other once it is proven gone.
    fn stop_superseded_placements(&mut self) {
        for job in self.jobs.values() {
            for superseded in job.tasks.superseded_placements() {
                let machine = self.fleet.machines.get_mut(&superseded.machine);
                if let Some(placement) = machine.and_then(|machine| machine.placement_mut(superseded.placement_id)) {
                    placement.stop_grace_s = Some(0.0);
                }
            }
        }
    }
}
