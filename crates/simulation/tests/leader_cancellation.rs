//! Tests that a leader which confirms a cancellation itself stops the job's tasks at once. It must not wait for its
//! watch to report the cancellation, because the key-value store may refuse the watch at that moment.

mod common;

use common::Site;
use shaleshunt_core::io::{Answer, Command, DirectCommandsReply, Effect};
use shaleshunt_core::{Batch, KvRequest};
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, TaskCommand, TaskReport, TaskStatus};
use shaleshunt_wire::{AgentEpoch, FencingToken};
use std::collections::BTreeMap;

/// Interval between the ticks of the controller, in ms.
const TICK_MS: u64 = 20;

/// A leader with one machine, which executes all commands.
struct Leader {
    site: Site,
    /// Whether the store answers the leader's watches.
    watch_answered: bool,
    answers: BTreeMap<u64, Answer>,
    commands: Vec<TaskCommand>,
    sequence: u64,
    token: FencingToken,
    tasks: Vec<TaskReport>,
}

impl Leader {
    fn new() -> Leader {
        let mut site = Site::new(158.0);
        site.add_machine();
        Leader {
            site,
            watch_answered: true,
            answers: BTreeMap::new(),
            commands: Vec::new(),
            sequence: 0,
            token: FencingToken::default(),
            tasks: Vec::new(),
        }
    }

    /// Passes a command to the controller, together with the replies that its effects lead to at once.
    fn execute(&mut self, command: Command) {
        let mut batch: Batch = vec![command];
        while !batch.is_empty() {
            for effect in self.site.step(std::mem::take(&mut batch)) {
                match effect {
                    Effect::Kv(_, KvRequest::Watch { .. }, _) if !self.watch_answered => {}
                    Effect::DirectCommands(id, _, commands) => {
                        let heartbeat = self.execute_on_machine(commands);
                        batch.push(Command::DirectCommands(id, Ok(DirectCommandsReply::Executed(heartbeat))));
                    }
                    Effect::Answer(id, answer) => {
                        self.answers.insert(id, answer);
                    }
                    other => batch.extend(self.site.serve(other)),
                }
            }
        }
    }

    fn pass_time(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            for answer in self.site.advance(TICK_MS) {
                if self.watch_answered {
                    self.execute(answer);
                }
            }
            self.execute(Command::Tick);
        }
    }

    /// Executes direct commands on the machine and returns the heartbeat that answers them.
    fn execute_on_machine(&mut self, commands: DirectCommands) -> Heartbeat {
        self.token = self.token.max(commands.token);
        for command in &commands.commands {
            match command.clone() {
                TaskCommand::Run { task, attempt } => {
                    let status = TaskStatus::Running;
                    self.tasks.push(TaskReport { task, attempt, status, cause: None, checkpointed: None });
                }
                TaskCommand::Stop { task, .. } => self.tasks.retain(|report| report.task != task),
                TaskCommand::Forget { .. } => {}
            }
        }
        self.commands.extend(commands.commands);
        self.heartbeat()
    }

    fn heartbeat(&mut self) -> Heartbeat {
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

    fn send_heartbeat(&mut self, id: u64) {
        let heartbeat = self.heartbeat();
        self.execute(Command::Heartbeat(id, Box::new(heartbeat)));
        let Some(Answer::Heartbeat(reply)) = self.answers.get(&id) else { panic!("{:?}", self.answers.get(&id)) };
        self.token = self.token.max(reply.token);
    }

    /// Number of stop commands that the machine has received.
    fn stop_commands(&self) -> usize {
        self.commands.iter().filter(|command| matches!(command, TaskCommand::Stop { .. })).count()
    }
}

const JOB: &str = r#"{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":100.0,"markEveryS":0.0,"markTakesS":0.0}"#;

#[test]
fn confirmed_cancellation_stops_tasks_without_watch_reply() {
    let mut leader = Leader::new();
    leader.pass_time(1000);
    assert!(leader.site.controller.is_active_leader());
    leader.send_heartbeat(1);
    leader.send_heartbeat(2);
    leader.pass_time(1000);
    leader.execute(Command::Submit(3, Box::new(Submission::parse(JOB.as_bytes()).unwrap())));
    leader.pass_time(1000);
    assert_eq!((leader.tasks.len(), leader.stop_commands()), (2, 0), "both tasks run: {:?}", leader.commands);
    leader.watch_answered = false;
    leader.pass_time(1000);
    leader.execute(Command::Cancel(5, "wk-1".into()));
    let is_confirmed =
        matches!(leader.answers.get(&5), Some(Answer::Job(200, view)) if view.status == JobStatus::Cancelled);
    assert!(is_confirmed, "{:?}", leader.answers.get(&5));
    assert_eq!(leader.stop_commands(), 2, "{:?}", leader.commands);
}
