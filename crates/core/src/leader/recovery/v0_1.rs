//! Restores records in the format of version 0.1: machines with their placements, and separate task outcomes.

use crate::controller::Context;
use crate::leader::Leader;
use crate::leader::store::{StoredPlacement, WriteUrgency};
use crate::model::{Id, Job};
use crate::records::{V01MachineRecord, V01PlacementRecord, keys};
use shaleshunt_wire::kv::KeyValue;

/// Tasks of a chunk of outcomes, per KiB of the value size limit. A chunk took a third of the limit and encoded six
/// tasks per character.
const TASKS_PER_KIB: f64 = 1024.0 * 2.0;
/// The number of tasks in a chunk is a multiple of this number, and at least this number.
const CHUNK_TASKS_MULTIPLE: u32 = 64;

/// A task whose state was read from a record of version 0.1 and has to be rewritten.
struct ReadTask {
    job: Id,
    task: u32,
}

impl Leader {
    /// Restores records of version 0.1 and queues their contents to be rewritten. An entry on a task page takes
    /// precedence, since the leader that wrote the page had read these records.
    pub(super) fn restore_v0_1_records(&mut self, ctx: &Context) {
        let mut read_tasks: Vec<ReadTask> = Vec::new();
        for pair in std::mem::take(&mut self.recovery.v0_1_outcomes) {
            self.restore_v0_1_outcomes(ctx, pair, &mut read_tasks);
        }
        for pair in std::mem::take(&mut self.recovery.v0_1_machines) {
            self.restore_v0_1_machine(ctx, pair, &mut read_tasks);
        }
        for ReadTask { job, task } in read_tasks {
            self.record_task_change(ctx.now.monotonic_ms, &job, task, WriteUrgency::Immediate);
        }
    }

    fn restore_v0_1_outcomes(&mut self, ctx: &Context, pair: KeyValue, read_tasks: &mut Vec<ReadTask>) {
        let tasks = (ctx.settings.store_quota.value_kb * TASKS_PER_KIB) as u32;
        let tasks_per_chunk = (tasks / CHUNK_TASKS_MULTIPLE * CHUNK_TASKS_MULTIPLE).max(CHUNK_TASKS_MULTIPLE);
        let mut parts = pair.key[keys::V01_OUTCOMES.len()..].rsplitn(2, '/');
        let chunk = parts.next().and_then(|chunk| chunk.parse::<u32>().ok());
        let job = parts.next().and_then(|job| self.jobs.get_mut(job));
        if let (Some(chunk), Some(job), Some(text)) = (chunk, job, pair.value.as_str()) {
            let new_tasks = job.tasks.restore_done(chunk.saturating_mul(tasks_per_chunk), text);
            read_tasks.extend(new_tasks.into_iter().map(|task| ReadTask { job: job.id.clone(), task }));
        }
        self.store.add_v0_1_key(pair.key, pair.version);
    }

    fn restore_v0_1_machine(&mut self, ctx: &Context, pair: KeyValue, read_tasks: &mut Vec<ReadTask>) {
        let id: Id = pair.key[keys::V01_MACHINES.len()..].into();
        self.store.add_v0_1_key(pair.key, pair.version);
        let Ok(record) = serde_json::from_value::<V01MachineRecord>(pair.value) else { return };
        if !self.fleet.machines.contains_key(&id) {
            let mut machine = self.new_machine(ctx, &id, &record.machine_type, &record.zone, record.spot, record.owned);
            machine.agent.endpoint = record.endpoint;
            machine.agent.epoch = record.agent_epoch;
            machine.rented_at_ms = record.rented_at_ms;
            self.fleet.machines.insert(machine);
            self.assign_block(ctx, &id);
        }
        let is_on_no_page =
            |job: &Job, task: u32| job.writes.page_of_task.get(task as usize).is_none_or(|page| *page == 0);
        for V01PlacementRecord { job, task, attempt } in record.placements {
            let Some(job) = self.jobs.get(job.as_str()).filter(|job| is_on_no_page(job, task)) else { continue };
            let (job, machine, agent_epoch) = (job.id.clone(), id.clone(), record.agent_epoch);
            self.restore_placement(ctx, StoredPlacement { job: job.clone(), task, machine, agent_epoch, attempt });
            read_tasks.push(ReadTask { job, task });
        }
    }
}
