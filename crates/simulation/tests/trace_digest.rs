//! Tests that trace digests are equal for equal commands and effects, and differ for any difference.

use shaleshunt_core::io::{Answer, CloudReply, CloudRequest, DirectCommandsReply};
use shaleshunt_core::{Command, Effect, KvReply, KvRequest, RequestError};
use shaleshunt_peer::Frame;
use shaleshunt_simulation::process::ProcessId;
use shaleshunt_simulation::scenario::{Scenario, SeedDigest};
use shaleshunt_simulation::trace_digest::TraceDigest;
use shaleshunt_wire::kv::{Transaction, Write};
use shaleshunt_wire::user::{JobStatus, JobView};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, TaskCommand};
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken, Revision};
use std::collections::BTreeSet;

const SCENARIO: &str = "
    machine-type f cores 16 memory 64 boot 5
    machines f a 2
    machines f b 2
    job wk-a at 2 tasks 20 runtime 4
    job wk-b at 4 tasks 8 runtime 3 cancel 9
    at 8 kill leader for 6
    until 40
";

fn digests(text: &str, seeds: u64) -> Vec<SeedDigest> {
    Scenario::parse("digests.txt", text).unwrap().trace_digests(Some(seeds))
}

#[test]
fn same_seed_gives_same_digest() {
    assert_eq!(digests(SCENARIO, 2), digests(SCENARIO, 2));
}

#[test]
fn different_seeds_give_different_digests() {
    let digests = digests(SCENARIO, 3);
    assert_eq!(digests.iter().map(|found| found.seed).collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(digests.iter().map(|found| &found.digest).collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn changed_setting_gives_different_digest() {
    let base = digests(SCENARIO, 1);
    for line in ["store-writes-per-s 3", "heartbeat-interval 3.1", "team t limit 16 guarantee 0"] {
        assert_ne!(digests(&format!("{line}\n{SCENARIO}"), 1), base, "{line}");
    }
}

const PROCESS: ProcessId = ProcessId { controller: 1, incarnation: 2 };

/// The digest of a single command.
fn command_digest(command: &Command) -> String {
    let mut digest = TraceDigest::default();
    digest.record_command(1000, PROCESS, command);
    digest.finish()
}

/// The digest of a single effect.
fn effect_digest(effect: &Effect) -> String {
    let mut digest = TraceDigest::default();
    digest.record_effect(1000, PROCESS, effect);
    digest.finish()
}

/// Commands of which no two are equal; most differ from another one in a single value.
fn commands() -> Vec<Command> {
    let heartbeat = |sequence| Heartbeat {
        machine: "m".into(),
        endpoint: "m:1".into(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        sequence,
        token: FencingToken(3),
        preemption_notice_s: None,
        tasks: Vec::new(),
    };
    let errors = [
        RequestError::NotSent,
        RequestError::LocalOverload,
        RequestError::OutcomeUnknown,
        RequestError::Unavailable,
        RequestError::Throttled,
        RequestError::Rejected("a".into()),
        RequestError::Rejected("b".into()),
        RequestError::ResponseTooLong,
        RequestError::MalformedResponse,
    ];
    let kv_replies = [
        KvReply::Missing,
        KvReply::Committed(Revision(1)),
        KvReply::Committed(Revision(2)),
        KvReply::LeaseGranted(1),
        KvReply::Conflict(vec!["a".into(), "b".into()]),
        KvReply::Conflict(vec!["b".into(), "a".into()]),
        KvReply::Done,
        KvReply::Compacted,
    ];
    let cloud_replies = [
        CloudReply::ScaledOut(vec!["a".into()]),
        CloudReply::ScaledOut(vec!["b".into()]),
        CloudReply::NoCapacity,
        CloudReply::ScaledIn,
    ];
    let mut all = vec![
        Command::Status(1, "wk-a".into()),
        Command::Status(2, "wk-a".into()),
        Command::Status(1, "wk-b".into()),
        Command::Cancel(1, "wk-a".into()),
        Command::HealthCheck(1),
        Command::Heartbeat(1, Box::new(heartbeat(1))),
        Command::Heartbeat(1, Box::new(heartbeat(2))),
        Command::DirectCommands(1, Ok(DirectCommandsReply::Executed(heartbeat(1)))),
        Command::DirectCommands(1, Ok(DirectCommandsReply::Fenced(heartbeat(1)))),
        Command::Peer("n1".into(), Frame::Hello { node: "n1".into() }),
        Command::Peer("n2".into(), Frame::Hello { node: "n1".into() }),
        Command::Peer("n1".into(), Frame::Hello { node: "n2".into() }),
        Command::PeerDisconnected("n1".into()),
        Command::Tick,
    ];
    all.extend(errors.iter().map(|e| Command::Kv(1, Err(e.clone()))));
    all.extend(errors.iter().map(|e| Command::Cloud(1, Err(e.clone()))));
    all.extend(errors.iter().map(|e| Command::DirectCommands(1, Err(e.clone()))));
    all.extend(kv_replies.map(|reply| Command::Kv(1, Ok(reply))));
    all.extend(cloud_replies.map(|reply| Command::Cloud(1, Ok(reply))));
    all
}

/// Effects of which no two are equal; most differ from another one in a single value.
fn effects() -> Vec<Effect> {
    let commands = |token, attempt| DirectCommands {
        token: FencingToken(token),
        agent_epoch: AgentEpoch(1),
        commands: vec![TaskCommand::Run { task: "wk-a/0".into(), attempt: Attempt(attempt) }],
    };
    let view = |status| JobView { id: "wk-a".into(), status, done: None, running: None };
    let error = |status, error, retry_after| Answer::Error { status, error, retry_after };
    let transaction = |key: &str, v: u32| Transaction {
        preconditions: Vec::new(),
        writes: vec![Write::set(key, serde_json::json!(v))],
    };
    let answers = [
        Answer::Job(200, view(JobStatus::Queued)),
        Answer::Job(201, view(JobStatus::Queued)),
        Answer::Job(200, view(JobStatus::Running)),
        error(503, "a", None),
        error(503, "b", None),
        error(503, "a", Some(0)),
        error(503, "a", Some(1)),
        error(429, "a", None),
        Answer::Heartbeat(HeartbeatReply { token: FencingToken(1), commands: Vec::new() }),
        Answer::Heartbeat(HeartbeatReply { token: FencingToken(2), commands: Vec::new() }),
        Answer::Redirect(None),
        Answer::Redirect(Some("n1".into())),
        Answer::Redirect(Some("n2".into())),
        Answer::Healthy,
    ];
    let mut all = vec![
        Effect::Kv(1, KvRequest::Transaction(transaction("a", 1)), None),
        Effect::Kv(2, KvRequest::Transaction(transaction("a", 1)), None),
        Effect::Kv(1, KvRequest::Transaction(transaction("b", 1)), None),
        Effect::Kv(1, KvRequest::Transaction(transaction("a", 2)), None),
        Effect::Kv(1, KvRequest::Transaction(transaction("a", 1)), Some("n1".into())),
        Effect::Kv(1, KvRequest::Get { key: "a".into() }, None),
        Effect::Cloud(1, CloudRequest::Catalog),
        Effect::Cloud(1, CloudRequest::ScaleIn(vec!["a".into()])),
        Effect::Cloud(1, CloudRequest::ScaleIn(vec!["b".into()])),
        Effect::Cloud(1, CloudRequest::List { after: "a".into() }),
        Effect::DirectCommands(1, "m:1".into(), commands(1, 1)),
        Effect::DirectCommands(1, "m:2".into(), commands(1, 1)),
        Effect::DirectCommands(1, "m:1".into(), commands(2, 1)),
        Effect::DirectCommands(1, "m:1".into(), commands(1, 2)),
        Effect::Peer("n1".into(), Frame::Hello { node: "n1".into() }),
    ];
    all.extend(answers.map(|answer| Effect::Answer(1, answer)));
    all
}

#[test]
fn different_commands_and_effects_give_different_digests() {
    let (commands, effects) = (commands(), effects());
    let mut digests: BTreeSet<String> = commands.iter().map(command_digest).collect();
    digests.extend(effects.iter().map(effect_digest));
    assert_eq!(digests.len(), commands.len() + effects.len());
}

#[test]
fn time_process_and_order_change_the_digest() {
    let process = |controller, incarnation| ProcessId { controller, incarnation };
    let digest = |steps: &[(u64, ProcessId, Command)]| {
        let mut digest = TraceDigest::default();
        for (now, process, command) in steps {
            digest.record_command(*now, *process, command);
        }
        digest.finish()
    };
    let digests = [
        digest(&[]),
        digest(&[(1, process(0, 1), Command::Tick)]),
        digest(&[(2, process(0, 1), Command::Tick)]),
        digest(&[(1, process(1, 1), Command::Tick)]),
        digest(&[(1, process(0, 2), Command::Tick)]),
        digest(&[(1, process(0, 1), Command::Tick), (1, process(0, 1), Command::HealthCheck(1))]),
        digest(&[(1, process(0, 1), Command::HealthCheck(1)), (1, process(0, 1), Command::Tick)]),
    ];
    assert_eq!(digests.iter().collect::<BTreeSet<_>>().len(), digests.len());
}

#[test]
fn log_events_do_not_change_the_digest() {
    let mut digest = TraceDigest::default();
    digest.record_effect(
        1,
        PROCESS,
        &Effect::Log(shaleshunt_core::event::Event::LeaderElected {
            epoch: shaleshunt_wire::Epoch(1),
            token: shaleshunt_wire::FencingToken::default(),
        }),
    );
    assert_eq!(digest.finish(), TraceDigest::default().finish());
}

/// Fails if the encoding of commands and effects changes, for example because it depends on names in the code. After
/// such a change, digests can no longer be compared with those of earlier versions.
#[test]
fn encoding_is_stable() {
    let mut digest = TraceDigest::default();
    commands().iter().for_each(|command| digest.record_command(1000, PROCESS, command));
    effects().iter().for_each(|effect| digest.record_effect(1000, PROCESS, effect));
    assert_eq!(digest.finish(), "e36ffabbf83d74b610f5a5b391bef0f5");
}
