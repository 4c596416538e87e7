//! A node that leads and confirms a cancellation itself stops the job's tasks at once, though its watch
//! brings nothing: the state service may refuse that just then.

mod common;

use shaleshunt_core::io::{Answer, Command, DirectCommandsReply, Effect};
use shaleshunt_core::{Controller, KvRequest, Timestamp, Tuning};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::state::StateService;
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, TaskCommand, TaskReport, TaskStatus};
use shaleshunt_wire::{AgentEpoch, FencingToken};
use std::collections::BTreeMap;

struct Play {
    node: Controller,
    state: StateService,
    cloud: Cloud,
    now: u64,
    watch: bool,
    answers: BTreeMap<u64, Answer>,
    commands: Vec<TaskCommand>,
    sequence: u64,
    token: FencingToken,
    tasks: Vec<TaskReport>,
}

impl Play {
    fn new() -> Play {
        let settings = common::settings(158.0);
        let mut cloud = common::cloud();
        cloud.give(0, "f", "a", false, Some(0));
        let node =
            Controller::new(settings, Tuning::default(), Timestamp { monotonic_ms: 1, wall_ms: 1_700_000_000_000 }, 7);
        let state = common::state();
        Play {
            node,
            state,
            cloud,
            now: 1,
            watch: true,
            answers: BTreeMap::new(),
            commands: Vec::new(),
            sequence: 0,
            token: FencingToken::default(),
            tasks: Vec::new(),
        }
    }

    fn tell(&mut self, command: Command) {
        let mut commands = vec![command];
        while !commands.is_empty() {
            let time = Timestamp { monotonic_ms: self.now, wall_ms: 1_700_000_000_000 + self.now };
            for effect in self.node.step(time, std::mem::take(&mut commands)) {
                match effect {
                    Effect::Kv(_, KvRequest::Watch { .. }, _) if !self.watch => {}
                    Effect::Kv(id, request, _) => {
                        let answer = self.state.handle(self.now, (0, 1), id, request);
                        commands.extend(answer.map(|a| Command::Kv(id, a)));
                    }
                    Effect::Cloud(id, request) => {
                        let (answer, _) = self.cloud.handle(self.now, request);
                        commands.push(Command::Cloud(id, answer));
                    }
                    Effect::DirectCommands(id, _, direct_commands) => {
                        let report = self.carry_out(direct_commands);
                        commands.push(Command::DirectCommands(id, Ok(DirectCommandsReply::Executed(report))));
                    }
                    Effect::Answer(id, answer) => {
                        self.answers.insert(id, answer);
                    }
                    Effect::Peer(..) | Effect::Log(..) => {}
                }
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += 20;
            for (_, id, reply) in self.state.turn(self.now) {
                if self.watch {
                    self.tell(Command::Kv(id, Ok(reply)));
                }
            }
            self.tell(Command::Tick);
        }
    }

    /// The one machine: what it is told to run runs on.
    fn carry_out(&mut self, commands: DirectCommands) -> Heartbeat {
        self.token = self.token.max(commands.token);
        for order in &commands.commands {
            match order.clone() {
                TaskCommand::Run { task, attempt } => {
                    let status = TaskStatus::Running;
                    self.tasks.push(TaskReport { task, attempt, status, cause: None, checkpointed: None });
                }
                TaskCommand::Stop { task, .. } => self.tasks.retain(|p| p.task != task),
                TaskCommand::Forget { .. } => {}
            }
        }
        self.commands.extend(commands.commands);
        self.report()
    }

    fn report(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: "vm-000001".into(),
            endpoint: "m1".into(),
            machine_type: "f".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: self.sequence,
            token: self.token,
            preemption_notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn check_in(&mut self, id: u64) {
        let report = self.report();
        self.tell(Command::Heartbeat(id, Box::new(report)));
        let Some(Answer::Heartbeat(reply)) = self.answers.get(&id) else { panic!("{:?}", self.answers.get(&id)) };
        self.token = self.token.max(reply.token);
    }

    fn halts(&self) -> usize {
        self.commands.iter().filter(|o| matches!(o, TaskCommand::Stop { .. })).count()
    }
}

const JOB: &str = r#"{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":100.0,"markEveryS":0.0,"markTakesS":0.0}"#;

#[test]
fn a_confirmed_cancellation_stops_tasks_without_the_watch() {
    let mut p = Play::new();
    p.pass(1000);
    assert!(p.node.leads());
    p.check_in(1);
    p.check_in(2);
    p.pass(1000);
    p.tell(Command::Submit(3, Box::new(Submission::parse(JOB.as_bytes()).unwrap())));
    p.pass(1000);
    assert_eq!((p.tasks.len(), p.halts()), (2, 0), "both tasks run: {:?}", p.commands);
    p.watch = false;
    p.pass(1000);
    p.tell(Command::Cancel(5, "wk-1".into()));
    let told = matches!(p.answers.get(&5), Some(Answer::Job(200, v)) if v.status == JobStatus::Cancelled);
    assert!(told, "{:?}", p.answers.get(&5));
    assert_eq!(p.halts(), 2, "{:?}", p.commands);
}
