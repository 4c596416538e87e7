//! Sample submissions, jobs, machines and placements for unit tests.

use super::{CallInFlight, CallPurpose, Job, Machine, Placement, PlacementState};
use crate::records::{JobRecord, SplitSubmissionRecord};
use crate::time::Timestamp;
use shaleshunt_wire::user::{JobKind, Priority, Submission};
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch, FencingToken, Resources, Revision};

/// Agent epoch of the sample placements.
pub(crate) const AGENT_EPOCH: AgentEpoch = AgentEpoch(5);

/// An attempt that the leader of epoch 1 made.
pub(crate) fn attempt(number: u64) -> Attempt {
    Attempt::new(Epoch(1), number)
}

/// A machine of which only the name is known.
pub(crate) fn machine(name: &str) -> Machine {
    Machine::new(name.into(), Timestamp { monotonic_ms: 1, wall_ms: 1 })
}

/// Begins a direct call to the machine that carries commands.
pub(crate) fn begin_call(machine: &mut Machine) {
    machine.call.begin(CallInFlight {
        request: 1,
        purpose: CallPurpose::SendCommands,
        token: FencingToken::default(),
        agent_epoch: AgentEpoch::NONE,
        has_commands: true,
        first_starts: Vec::new(),
        follow_up_needed: false,
    });
}

/// Attempt 9 at task 3 of job `wk-1`. The start command counts as sent unless the placement is only planned.
pub(crate) fn placement(state: PlacementState) -> Placement {
    Placement {
        job: "wk-1".into(),
        task: 3,
        attempt: attempt(9),
        agent_epoch: AGENT_EPOCH,
        placement_id: 7,
        need: Resources::default(),
        image: 0,
        state,
        start_sent: state != PlacementState::Planned,
        planned_at_ms: 0,
        running_since_ms: None,
        stop_grace_s: None,
    }
}

/// The submission of an array of one task of one core, with an estimate of 60 s.
pub(crate) fn submission(id: &str) -> Submission {
    Submission {
        id: id.into(),
        class: "class".into(),
        team: "team".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cores: 1.0,
        accelerators: 0.0,
        memory_gb: 1.0,
        image: "image".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: false,
        estimated_run_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// The record of a job whose submission of three tasks is stored in parts below `s/ID/n0-1-1/`.
pub(crate) fn split_submission_record(id: &str) -> SplitSubmissionRecord {
    SplitSubmissionRecord {
        parts_prefix: format!("s/{id}/n0-1-1/"),
        tasks: 3,
        accepted_at_ms: 1,
        cancelled: false,
        has_cancellation_key: false,
    }
}

/// Job `wk-1` with the given number of tasks, each of 1 CPU and 60 s.
pub(crate) fn job(tasks: u32) -> Job {
    let submission = Submission { tasks, image_gb: 2.0, spot: true, ..submission("wk-1") };
    Job::new(JobRecord::new(submission, 1), Revision(1))
}
