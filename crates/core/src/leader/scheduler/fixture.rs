//! Jobs, machines and settings for unit tests of scheduling and autoscaling decisions.

use crate::io::Timestamp;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scheduler::Scheduler;
use crate::leader::scheduler::estimates::Estimates;
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Capacity, Id, Job, Machine, Placement, PlacementState, TaskPlacement, TaskProgress, samples};
use crate::records::JobRecord;
use crate::settings::{Settings, TeamQuota, Tuning};
use crate::work_counters::WorkCounter;
use shaleshunt_wire::cloud::{Catalog, MachineType};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources, Revision};
use std::collections::BTreeMap;

/// A change to a job in a test case.
pub(crate) type ChangeJob = fn(&mut Job);

/// A change to a machine in a test case.
pub(crate) type ChangeMachine = fn(&mut Machine);

/// The time of all decisions.
pub(crate) const NOW: Timestamp = Timestamp { monotonic_ms: 10_000_000, wall_ms: 50_000_000 };

/// The data that decisions read.
pub(crate) struct Fixture {
    pub(crate) jobs: BTreeMap<Id, Job>,
    pub(crate) machines: MachineIndex,
    pub(crate) scheduler: Scheduler,
    pub(crate) catalog: Catalog,
    pub(crate) settings: Settings,
    pub(crate) tuning: Tuning,
    pub(crate) work: WorkCounter,
    last_placement_id: u64,
}

impl Fixture {
    /// A fixture with a team without limits, no jobs and no machines.
    pub(crate) fn new() -> Fixture {
        let settings = Settings {
            node_name: "node".into(),
            teams: [("team".to_string(), TeamQuota::default())].into(),
            heartbeat_interval_s: 3.0,
            lease_s: 12.0,
            cancel_s: 60.0,
            cloud_rps: 10.0,
            machine_list_lag_s: 5.0,
            ..Settings::default()
        };
        Fixture {
            jobs: BTreeMap::new(),
            machines: MachineIndex::default(),
            scheduler: Scheduler::new(0),
            catalog: Catalog::default(),
            settings,
            tuning: Tuning::default(),
            work: WorkCounter::default(),
            last_placement_id: 0,
        }
    }

    pub(crate) fn view(&self) -> SchedulingView<'_> {
        SchedulingView {
            jobs: &self.jobs,
            machines: &self.machines,
            scheduler: &self.scheduler,
            estimates: Estimates {
                run_times: &self.scheduler.run_times,
                catalog: Some(&self.catalog),
                heartbeat_interval_s: self.settings.heartbeat_interval_s,
            },
            settings: &self.settings,
            tuning: &self.tuning,
            now: NOW,
            work: &self.work,
        }
    }

    /// Adds a job that was submitted at `NOW`, changed by `change`.
    pub(crate) fn add_job(&mut self, id: &str, change: impl FnOnce(&mut Job)) -> Id {
        let job = job(id, change);
        let id = job.id.clone();
        self.jobs.insert(id.clone(), job);
        id
    }

    /// Adds an owned machine of 16 cores that accepts tasks, changed by `change`.
    pub(crate) fn add_machine(&mut self, id: &str, change: impl FnOnce(&mut Machine)) -> Id {
        let mut machine = Machine::new(id.into(), NOW);
        machine.machine_type = "std".into();
        machine.zone = "a".into();
        machine.owned = true;
        machine.capacity = Capacity { total: Resources::new(16.0, 0.0, 64.0), used: Resources::default() };
        machine.record.committed = true;
        machine.agent.endpoint = format!("http://{}", machine.id);
        machine.agent.epoch = AgentEpoch(1);
        machine.agent.last_heartbeat_ms = Some(NOW.monotonic_ms);
        change(&mut machine);
        let id = machine.id.clone();
        self.machines.insert(machine);
        id
    }

    /// Places the next task of a job on a machine, where it has been running for `run_ms`. Returns the placement
    /// ID.
    pub(crate) fn run_task(&mut self, job: &Id, machine: &Id, run_ms: u64) -> u64 {
        self.last_placement_id += 1;
        let job_of_task = self.jobs.get_mut(job).expect("job");
        let placement = Placement {
            job: job.clone(),
            task: job_of_task.tasks.next_free_task(0).unwrap_or(0),
            attempt: Attempt::default(),
            agent_epoch: AgentEpoch(1),
            placement_id: self.last_placement_id,
            need: job_of_task.need,
            image: job_of_task.image,
            state: PlacementState::Running,
            start_sent: true,
            planned_at_ms: NOW.monotonic_ms - run_ms,
            running_since_ms: Some(NOW.monotonic_ms - run_ms),
            stop_grace_s: None,
        };
        let zone = &self.machines.get(machine).expect("machine").zone;
        job_of_task.tasks.add_placement(placement.task, task_placement(machine, placement.placement_id), zone);
        self.machines.add_placement(machine, placement).expect("machine");
        self.last_placement_id
    }

    /// Adds a machine type of 16 cores to the catalog.
    pub(crate) fn add_machine_type(&mut self, name: &str, price: f64, spot_price: f64, zones: &[&str]) {
        self.catalog.machine_types.push(MachineType {
            name: name.into(),
            cores: 16.0,
            accelerators: 0.0,
            memory_gb: 64.0,
            local_gb: 100.0,
            fetch_gb_per_s: 1.0,
            price,
            spot_price,
            boot_s: 60.0,
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
        });
    }
}

/// A job with one task of four cores and an estimate of 60 s, submitted at `NOW`, changed by `change`.
pub(crate) fn job(id: &str, change: impl FnOnce(&mut Job)) -> Job {
    let submission = Submission { cores: 4.0, ..samples::submission(id) };
    let mut job = Job::new(JobRecord::new(submission, NOW.wall_ms), Revision::ABSENT);
    change(&mut job);
    // Applies a changed number of tasks in the submission.
    if !job.tasks.has_placements() && !job.tasks.has_started() {
        let tasks = job.spec.tasks;
        set_tasks(&mut job, tasks);
    }
    job
}

/// Sets the number of tasks of the job. None of them is placed.
pub(crate) fn set_tasks(job: &mut Job, tasks: u32) {
    job.spec.tasks = tasks;
    job.tasks = TaskProgress::new(tasks);
}

/// Places the next task of the job on some machine in a zone.
pub(crate) fn place_in_zone(job: &mut Job, zone: &str) {
    let task = job.tasks.next_free_task(0).expect("a free task");
    job.tasks.add_placement(task, task_placement(&"elsewhere".into(), 0), zone);
}

fn task_placement(machine: &Id, placement_id: u64) -> TaskPlacement {
    TaskPlacement {
        machine: machine.clone(),
        placement_id,
        attempt: Attempt::default(),
        agent_epoch: AgentEpoch(1),
        planned: false,
    }
}

/// IDs as text, for comparisons.
pub(crate) fn names(ids: &[Id]) -> Vec<&str> {
    ids.iter().map(|id| &**id).collect()
}
