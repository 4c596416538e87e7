//! A leader with one machine, for tests that decide how the key-value store answers each request.

use super::Site;
use shaleshunt_core::io::{Answer, Command, DirectCommandsReply, Effect};
use shaleshunt_core::{Batch, KvRequest, RequestError};
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::worker::{DirectCommands, ExitCause, Heartbeat, TaskCommand, TaskReport, TaskStatus};
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken};
use std::collections::BTreeMap;

/// Interval between the ticks of the controller, in ms.
const TICK_MS: u64 = 20;
/// Refused requests after which a test fails, since the controller repeats them without a pause.
const MAX_REFUSED_REQUESTS: usize = 100;

/// A job of two tasks.
const JOB: &str = r#"{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":100.0,"markEveryS":0.0,"markTakesS":0.0}"#;

/// The submission of job `wk-1`, an array of two tasks.
pub fn submission() -> Submission {
    Submission::parse(JOB.as_bytes()).unwrap()
}

/// What the store does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreResponse {
    /// Executes the request and answers it.
    Serve,
    /// Holds the request until [`Leader::release_held`].
    Hold,
    /// Refuses the request at once.
    Refuse,
}

/// A controller that leads, with one machine, which executes all commands.
pub struct Leader {
    /// The site with the controller.
    pub site: Site,
    /// Decides what the store does with a request.
    pub respond: Box<dyn FnMut(&KvRequest) -> StoreResponse>,
    /// Number of refused requests.
    pub refused: usize,
    /// Answers of the controller, by request.
    pub answers: BTreeMap<u64, Answer>,
    /// Commands that the machine has received.
    pub commands: Vec<TaskCommand>,
    /// Tasks on the machine.
    pub tasks: Vec<TaskReport>,
    held: Vec<Effect>,
    sequence: u64,
    token: FencingToken,
    last_request: u64,
}

impl Leader {
    /// Starts a controller, to which the store answers as `respond` decides.
    pub fn new(respond: impl FnMut(&KvRequest) -> StoreResponse + 'static) -> Leader {
        let mut site = Site::new(158.0);
        site.add_machine();
        Leader {
            site,
            respond: Box::new(respond),
            refused: 0,
            answers: BTreeMap::new(),
            commands: Vec::new(),
            tasks: Vec::new(),
            held: Vec::new(),
            sequence: 0,
            token: FencingToken::default(),
            last_request: 0,
        }
    }

    /// Ends the controller and starts it again.
    pub fn restart(&mut self) {
        self.site.restart();
        self.held.clear();
    }

    /// Passes a command to the controller, together with the replies that its effects lead to at once.
    pub fn execute(&mut self, command: Command) {
        let mut batch: Batch = vec![command];
        while !batch.is_empty() {
            for effect in self.site.step(std::mem::take(&mut batch)) {
                batch.extend(self.execute_effect(effect));
            }
        }
    }

    fn execute_effect(&mut self, effect: Effect) -> Option<Command> {
        match effect {
            Effect::Kv(id, request, route) => match (self.respond)(&request) {
                StoreResponse::Serve => self.site.serve(Effect::Kv(id, request, route)),
                StoreResponse::Hold => {
                    self.held.push(Effect::Kv(id, request, route));
                    None
                }
                StoreResponse::Refuse => {
                    self.refused += 1;
                    assert!(self.refused < MAX_REFUSED_REQUESTS, "requests are repeated without a pause: {request:?}");
                    Some(Command::Kv(id, Err(RequestError::Unavailable)))
                }
            },
            Effect::DirectCommands(id, _, commands) => {
                let heartbeat = self.execute_on_machine(commands);
                Some(Command::DirectCommands(id, Ok(DirectCommandsReply::Executed(heartbeat))))
            }
            Effect::Answer(id, answer) => {
                self.answers.insert(id, answer);
                None
            }
            other => self.site.serve(other),
        }
    }

    /// Has the store serve the requests that it holds, and all later ones.
    pub fn release_held(&mut self) {
        self.respond = Box::new(|_| StoreResponse::Serve);
        for effect in std::mem::take(&mut self.held) {
            if let Some(reply) = self.site.serve(effect) {
                self.execute(reply);
            }
        }
    }

    /// Advances the time in ticks.
    pub fn pass_time(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            for answer in self.site.advance(TICK_MS) {
                self.execute(answer);
            }
            self.execute(Command::Tick);
        }
    }

    /// Executes direct commands on the machine and returns the heartbeat that answers them.
    fn execute_on_machine(&mut self, commands: DirectCommands) -> Heartbeat {
        self.token = self.token.max(commands.token);
        self.execute_commands(commands.commands);
        self.heartbeat()
    }

    fn execute_commands(&mut self, commands: Vec<TaskCommand>) {
        for command in &commands {
            match command.clone() {
                TaskCommand::Run { task, attempt } => {
                    let status = TaskStatus::Running;
                    self.tasks.push(TaskReport { task, attempt, status, cause: None, checkpointed: None });
                }
                TaskCommand::Stop { task, attempt, .. } => self.exit(&task, attempt),
                TaskCommand::Forget { task, attempt } => {
                    self.tasks.retain(|report| report.task != task || report.attempt != attempt)
                }
            }
        }
        self.commands.extend(commands);
    }

    /// Ends an attempt, which the machine reports as stopped until it is told to forget it.
    fn exit(&mut self, task: &str, attempt: Attempt) {
        for report in self.tasks.iter_mut().filter(|report| report.task == task && report.attempt == attempt) {
            report.status = TaskStatus::Exited;
            report.cause = Some(ExitCause::Stopped);
        }
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

    /// Sends a heartbeat of the machine and executes the commands of the reply.
    pub fn send_heartbeat(&mut self) {
        let heartbeat = self.heartbeat();
        let id = self.send(|id| Command::Heartbeat(id, Box::new(heartbeat)));
        let Some(Answer::Heartbeat(reply)) = self.answers.remove(&id) else { panic!("{:?}", self.answers.get(&id)) };
        self.token = self.token.max(reply.token);
        self.execute_commands(reply.commands);
    }

    /// Has the machine see a fencing token, as if a command under it had arrived.
    pub fn show_token(&mut self, token: FencingToken) {
        self.token = self.token.max(token);
    }

    /// Highest fencing token that the machine has seen.
    pub fn seen_token(&self) -> FencingToken {
        self.token
    }

    /// Sends a user's request or a heartbeat under a new identifier, and returns the identifier.
    pub fn send(&mut self, command: impl FnOnce(u64) -> Command) -> u64 {
        self.last_request += 1;
        self.execute(command(self.last_request));
        self.last_request
    }

    /// Status of job `wk-1` as a query is answered; `None` if the answer has none.
    pub fn status(&mut self) -> Option<JobStatus> {
        let id = self.send(|id| Command::Status(id, "wk-1".into()));
        self.pass_time(1000);
        match self.answers.get(&id) {
            Some(Answer::Job(200, view)) => Some(view.status),
            _ => None,
        }
    }

    /// Number of stop commands that the machine has received.
    pub fn stop_commands(&self) -> usize {
        self.commands.iter().filter(|command| matches!(command, TaskCommand::Stop { .. })).count()
    }
}
