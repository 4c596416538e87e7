use super::*;
use shaleshunt_wire::worker::TaskStatus;
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch, FencingToken, Revision};
use std::collections::BTreeSet;

/// Number of variants of [`Event`], with those of [`AgentEvent`] in place of their common one.
const VARIANT_COUNT: usize = 41;

/// Index of an event among the samples. The match is exhaustive, so a new variant fails to compile until it is added
/// here, and the tests fail until it is added to the samples.
fn sample_index(event: &Event) -> usize {
    match event {
        Event::LeaderElected { .. } => 0,
        Event::LeaderStateLoaded { .. } => 1,
        Event::LeaderSteppedDown { .. } => 2,
        Event::LeaderStatus(_) => 3,
        Event::StateServiceRelayStarted { .. } => 4,
        Event::StateServiceRelayEnded => 5,
        Event::WriteRateReduced { .. } => 6,
        Event::TransactionRejected { .. } => 7,
        Event::RecordUnreadable { .. } => 8,
        Event::SubmissionPartsUnreadable { .. } => 9,
        Event::SubmissionPartsUnreferenced { .. } => 10,
        Event::SubmissionPartsRemoved { .. } => 11,
        Event::JobAccepted { .. } => 12,
        Event::JobCancellationRecorded { .. } => 13,
        Event::JobCancelled { .. } => 14,
        Event::JobCompleted { .. } => 15,
        Event::JobDependenciesMet { .. } => 16,
        Event::JobCancelledByDependency { .. } => 17,
        Event::JobDependenciesChecked(_) => 18,
        Event::JobOffloaded { .. } => 19,
        Event::TaskFailed { .. } => 20,
        Event::Agent(event) => 21 + agent_event_index(event),
        Event::TasksPreempted { .. } => 28,
        Event::MachineAdopted { .. } => 29,
        Event::MachineInterruptionNotice { .. } => 30,
        Event::MachineLeaseExpired { .. } => 31,
        Event::MachineQuarantined { .. } => 32,
        Event::MachineSlow { .. } => 33,
        Event::ZoneUnreachable { .. } => 34,
        Event::OwnedMachinesRecorded { .. } => 35,
        Event::SettingTooSmall(_) => 36,
        Event::ScaleOutGranted { .. } => 37,
        Event::ScaleOutNoCapacity { .. } => 38,
        Event::ScaleOutRejected { .. } => 39,
        Event::ScaleInCompleted { .. } => 40,
    }
}

/// Index of an event about agents among the samples of these; exhaustive for the same reason as [`sample_index`].
fn agent_event_index(event: &AgentEvent) -> usize {
    match event {
        AgentEvent::TaskStartRepeated(_) => 0,
        AgentEvent::TaskStopSent(..) => 1,
        AgentEvent::TaskForgetSent(..) => 2,
        AgentEvent::TaskCommandSent(..) => 3,
        AgentEvent::TaskWithoutPlacement(..) => 4,
        AgentEvent::CommandsRefused(_) => 5,
        AgentEvent::TaskEventsSuppressed { .. } => 6,
    }
}

/// A sample of each event about agents with its severity and its log line.
fn agent_samples() -> Vec<(Event, Severity, &'static str)> {
    use Severity::{Debug, Info};
    let attempt = || AttemptOnMachine {
        task: "wk-000412/3".into(),
        attempt: Attempt(9),
        machine: "m-17".into(),
        token: FencingToken(1_048_577),
    };
    let refused = RefusedCall {
        machine: "m-17".into(),
        token: FencingToken(1_048_577),
        seen_token: FencingToken(2_097_152),
        agent_epoch: AgentEpoch(1),
        current_epoch: AgentEpoch(2),
    };
    let samples = [
        (
            AgentEvent::TaskStartRepeated(attempt()),
            Info,
            "event=task_start_repeated task=wk-000412/3 attempt=9 machine=m-17 token=1048577",
        ),
        (
            AgentEvent::TaskStopSent(attempt(), StopReason::WithoutPlacement),
            Info,
            "event=task_stop_sent task=wk-000412/3 attempt=9 machine=m-17 token=1048577 reason=without_placement",
        ),
        (
            AgentEvent::TaskForgetSent(attempt(), ExitCause::Error),
            Info,
            "event=task_forget_sent task=wk-000412/3 attempt=9 machine=m-17 token=1048577 cause=Error",
        ),
        (
            AgentEvent::TaskCommandSent(attempt(), "start"),
            Debug,
            "event=task_command_sent task=wk-000412/3 attempt=9 machine=m-17 token=1048577 command=start",
        ),
        (
            AgentEvent::TaskWithoutPlacement(attempt(), TaskStatus::Running),
            Info,
            "event=task_without_placement task=wk-000412/3 attempt=9 machine=m-17 token=1048577 status=Running",
        ),
        (
            AgentEvent::CommandsRefused(refused),
            Info,
            "event=commands_refused machine=m-17 token=1048577 seen_token=2097152 agent_epoch=1 current_epoch=2",
        ),
        (AgentEvent::TaskEventsSuppressed { events: 12 }, Info, "event=task_events_suppressed events=12"),
    ];
    samples.map(|(event, severity, line)| (Event::Agent(Box::new(event)), severity, line)).into()
}

/// A sample of each event with its severity and its log line.
#[allow(clippy::too_many_lines, reason = "a table with an entry for each event")]
fn samples() -> Vec<(Event, Severity, &'static str)> {
    use Severity::{Debug, Error, Info};
    let id = |name: &str| -> Id { name.into() };
    let (job, machine) = (id("wk-000412"), id("m-17"));
    let (zone, request) = ("zhubei".to_string(), "h-7-1".to_string());
    let foreign = ForeignWrite { key: "f/wk-1".into(), expected: Revision(0), found: Some(Revision(7)) };
    let insufficient =
        InsufficientSetting { setting: "params.resources.core_share", value: 0.5, required: 0.64, machines: 4000 };
    let status = LeaderStatus {
        jobs: 1,
        tasks_waiting: 2,
        machines_usable: 3,
        machines: 4,
        transactions: 5,
        writes_ends: 6,
        writes_pages: 7,
        writes_blocks: 8,
        writes_other: 9,
        write_budget: 10.4,
        ends_pending: 11,
        jobs_pending: 12,
        jobs_deferred: 13,
        pages: 14,
        transaction_in_flight: true,
    };
    let mut samples = vec![
        (
            Event::LeaderElected { epoch: Epoch(7), token: FencingToken(7_340_032) },
            Info,
            "event=leader_elected epoch=7 token=7340032",
        ),
        (
            Event::LeaderStateLoaded {
                epoch: Epoch(7),
                jobs: 408,
                machines: 85,
                revision: Revision(231),
                seconds: 0.25,
            },
            Info,
            "event=leader_state_loaded epoch=7 jobs=408 machines=85 revision=231 seconds=0.25",
        ),
        (
            Event::LeaderSteppedDown { epoch: Epoch(7), reason: StepDownReason::ForeignWrite(foreign) },
            Info,
            "event=leader_stepped_down epoch=7 reason=foreign_write detail=\"another client wrote a key of the leader: \
             f/wk-1 expected at version 0, found at version 7\"",
        ),
        (
            Event::LeaderStatus(Box::new(status)),
            Debug,
            "event=leader_status jobs=1 tasks_waiting=2 machines_usable=3 machines=4 transactions=5 writes_ends=6 \
             writes_pages=7 writes_blocks=8 writes_other=9 write_budget=10 ends_pending=11 jobs_pending=12 \
             jobs_deferred=13 pages=14 transaction_in_flight=true",
        ),
        (Event::StateServiceRelayStarted { peer: "n2".into() }, Info, "event=state_service_relay_started peer=n2"),
        (Event::StateServiceRelayEnded, Info, "event=state_service_relay_ended"),
        (Event::WriteRateReduced { writes_per_s: 42.54321 }, Info, "event=write_rate_reduced writes_per_s=42.543"),
        (
            Event::TransactionRejected { reason: "value \"x\"\ntoo large".into() },
            Error,
            "event=transaction_rejected reason=\"value \\\"x\\\"\\ntoo large\"",
        ),
        (Event::RecordUnreadable { key: "j/wk-1".into() }, Error, "event=record_unreadable key=j/wk-1"),
        (
            Event::SubmissionPartsUnreadable { prefix: "s/wk-1/".into() },
            Error,
            "event=submission_parts_unreadable prefix=s/wk-1/",
        ),
        (
            Event::SubmissionPartsUnreferenced { prefix: "s/wk-1/".into() },
            Debug,
            "event=submission_parts_unreferenced prefix=s/wk-1/",
        ),
        (
            Event::SubmissionPartsRemoved { prefix: "s/wk-1/".into(), job_known: false },
            Debug,
            "event=submission_parts_removed prefix=s/wk-1/ job_known=false",
        ),
        (Event::JobAccepted { job: job.clone() }, Debug, "event=job_accepted job=wk-000412"),
        (Event::JobCancellationRecorded { job: job.clone() }, Info, "event=job_cancellation_recorded job=wk-000412"),
        (Event::JobCancelled { job: job.clone() }, Debug, "event=job_cancelled job=wk-000412"),
        (Event::JobCompleted { job: job.clone() }, Debug, "event=job_completed job=wk-000412"),
        (Event::JobDependenciesMet { job: job.clone() }, Debug, "event=job_dependencies_met job=wk-000412"),
        (
            Event::JobCancelledByDependency { job: job.clone() },
            Debug,
            "event=job_cancelled_by_dependency job=wk-000412",
        ),
        (
            Event::JobDependenciesChecked(Box::new(DependencyCheck {
                job: job.clone(),
                any_cancelled: false,
                examined: 273,
                oldest_confirmation_s: 4.25,
            })),
            Debug,
            "event=job_dependencies_checked job=wk-000412 any_cancelled=false examined=273 oldest_confirmation_s=4.25",
        ),
        (Event::JobOffloaded { job: job.clone() }, Debug, "event=job_offloaded job=wk-000412"),
        (
            Event::TaskFailed { task: "wk-000412/3".into(), machine: machine.clone(), cause: ExitCause::UnknownTask },
            Debug,
            "event=task_failed task=wk-000412/3 machine=m-17 cause=UnknownTask",
        ),
        (
            Event::TasksPreempted { machine: machine.clone(), job: job.clone(), tasks: 2 },
            Debug,
            "event=tasks_preempted machine=m-17 job=wk-000412 tasks=2",
        ),
        (Event::MachineAdopted { machine: machine.clone() }, Debug, "event=machine_adopted machine=m-17"),
        (
            Event::MachineInterruptionNotice { machine: machine.clone(), seconds_left: 12.5 },
            Debug,
            "event=machine_interruption_notice machine=m-17 seconds_left=12.5",
        ),
        (
            Event::MachineLeaseExpired { machine: machine.clone(), tasks: 3 },
            Info,
            "event=machine_lease_expired machine=m-17 tasks=3",
        ),
        (
            Event::MachineQuarantined { machine: machine.clone(), seconds: 60.0 },
            Info,
            "event=machine_quarantined machine=m-17 seconds=60",
        ),
        (Event::MachineSlow { machine: machine.clone() }, Debug, "event=machine_slow machine=m-17"),
        (Event::ZoneUnreachable { zone: zone.clone() }, Info, "event=zone_unreachable zone=zhubei"),
        (Event::OwnedMachinesRecorded { machines: 85 }, Info, "event=owned_machines_recorded machines=85"),
        (
            Event::SettingTooSmall(insufficient),
            Info,
            "event=setting_too_small setting=params.resources.core_share value=0.5 least=0.64 machines=4000",
        ),
        (
            Event::ScaleOutGranted { request: request.clone(), zone: zone.clone(), granted: 2, requested: 5 },
            Info,
            "event=scale_out_granted request=h-7-1 zone=zhubei granted=2 requested=5",
        ),
        (
            Event::ScaleOutNoCapacity { request: request.clone(), zone },
            Debug,
            "event=scale_out_no_capacity request=h-7-1 zone=zhubei",
        ),
        (
            Event::ScaleOutRejected { request, reason: String::new() },
            Error,
            "event=scale_out_rejected request=h-7-1 reason=\"\"",
        ),
        (Event::ScaleInCompleted { machine }, Debug, "event=scale_in_completed machine=m-17"),
    ];
    let after_failed_tasks = samples.iter().position(|(event, ..)| event.name() == "tasks_preempted").unwrap();
    samples.splice(after_failed_tasks..after_failed_tasks, agent_samples());
    samples
}

#[test]
fn samples_contain_each_event_once_in_order() {
    let indices: Vec<usize> = samples().iter().map(|(event, ..)| sample_index(event)).collect();
    assert_eq!(indices, (0..VARIANT_COUNT).collect::<Vec<_>>());
}

#[test]
fn event_names_are_unique_and_in_snake_case() {
    let names: BTreeSet<&str> = samples().iter().map(|(event, ..)| event.name()).collect();
    assert_eq!(names.len(), VARIANT_COUNT);
    assert!(names.iter().all(|name| name.chars().all(|c| c.is_ascii_lowercase() || c == '_')), "{names:?}");
}

#[test]
fn names_lists_the_events_in_order() {
    let names: Vec<&str> = samples().iter().map(|(event, ..)| event.name()).collect();
    assert_eq!(names, Event::NAMES);
}

/// Page that documents the log events for operators.
const OPERATIONS_PAGE: &str = include_str!("../../../../docs/operations.md");

#[test]
fn operations_page_has_the_severity_and_fields_of_each_event() {
    for (event, severity, _) in samples() {
        let heading = format!("#### `{}`\n\n", event.name());
        let (_, entry) = OPERATIONS_PAGE.split_once(&heading).unwrap_or_else(|| panic!("no entry: {heading}"));
        let (head, _) = entry.split_once("\n\n").unwrap();
        let keys: Vec<String> = event.fields().iter().map(|(key, _)| format!("`{key}`")).collect();
        let fields = if keys.is_empty() { "none".to_string() } else { keys.join(", ") };
        let expected = format!("Severity: {}. Fields: {fields}.", format!("{severity:?}").to_lowercase());
        assert_eq!(head.replace('\n', " "), expected, "{}", event.name());
    }
}

#[test]
fn each_event_has_the_expected_severity() {
    for (event, severity, _) in samples() {
        assert_eq!(event.severity(), severity, "{event}");
    }
}

#[test]
fn events_are_formatted_as_one_line_of_keys_and_values() {
    for (event, _, line) in samples() {
        assert_eq!(event.to_string(), line);
        let details = event.details().to_string();
        assert_eq!(format!("event={} {details}", event.name()).trim_end(), line);
        assert!(!line.contains('\n'));
    }
}

#[test]
fn field_names_are_unique_and_differ_from_the_common_fields_of_a_log_line() {
    for (event, ..) in samples() {
        let keys: Vec<&str> = event.fields().into_iter().map(|(key, _)| key).collect();
        assert!(keys.iter().all(|key| !["node", "event", "message"].contains(key)), "{event}");
        assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), keys.len(), "{event}");
    }
}

#[test]
fn text_is_quoted_unless_it_is_a_single_word() {
    let text = |t: &'static str| EventValue::from(t).to_string();
    assert_eq!(text("f/wk-1"), "f/wk-1");
    assert_eq!(text("two words"), "\"two words\"");
    assert_eq!(text("a=b"), "\"a=b\"");
    assert_eq!(text("a\nb"), "\"a\\nb\"");
    assert_eq!(text("\u{1b}[0m"), "\"\\u{1b}[0m\"");
    assert_eq!(text(""), "\"\"");
}

#[test]
fn each_step_down_reason_has_a_stable_name_that_the_operations_page_lists() {
    let foreign = ForeignWrite { key: "f/wk-1".into(), expected: Revision(0), found: None };
    let reasons = [
        (StepDownReason::NewerEpoch, "newer_epoch"),
        (StepDownReason::NewerLeader, "newer_leader"),
        (StepDownReason::NewerFencingToken, "newer_fencing_token"),
        (StepDownReason::LeaseExpired, "lease_expired"),
        (StepDownReason::ChangesMissed, "changes_missed"),
        (StepDownReason::RecordsUnreadable, "records_unreadable"),
        (StepDownReason::TransactionRejected, "transaction_rejected"),
        (StepDownReason::ForeignWrite(foreign), "foreign_write"),
        (StepDownReason::NoHeartbeats, "no_heartbeats"),
        (StepDownReason::NumbersExhausted, "numbers_exhausted"),
    ];
    for (reason, name) in reasons {
        assert_eq!(reason.name(), name);
        assert!(OPERATIONS_PAGE.contains(&format!("`{name}`")), "{name} is not on the operations page");
    }
}
