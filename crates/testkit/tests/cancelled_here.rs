//! A node that leads and confirms a cancellation itself stops the job's tasks at once, though its watch
//! brings nothing: the state service may refuse that just then.

mod common;

use shaleshunt_core::io::{Answer, Command, Effect, OrdersReply};
use shaleshunt_core::{Node, Now, StateRequest, Tuning};
use shaleshunt_testkit::cloud::{Cloud, Offer};
use shaleshunt_testkit::store::KeyValueStore;
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::worker::{Order, Orders, Report, TaskReport, TaskStatus};
use std::collections::BTreeMap;

struct Play {
    node: Node,
    store: KeyValueStore,
    cloud: Cloud,
    now: u64,
    watch: bool,
    answers: BTreeMap<u64, Answer>,
    orders: Vec<Order>,
    tick: u64,
    token: u64,
    tasks: Vec<TaskReport>,
}

impl Play {
    fn new() -> Play {
        let settings = common::settings(158.0);
        let mut cloud = common::cloud();
        cloud.create(0, Offer::on_demand("f", "a"), Some(0));
        let node = Node::new(settings, Tuning::default(), Now { mono: 1, wall: 1_700_000_000_000 }, 7);
        let store = common::store();
        Play {
            node,
            store,
            cloud,
            now: 1,
            watch: true,
            answers: BTreeMap::new(),
            orders: Vec::new(),
            tick: 0,
            token: 0,
            tasks: Vec::new(),
        }
    }

    fn tell(&mut self, command: Command) {
        let mut commands = vec![command];
        while !commands.is_empty() {
            let time = Now { mono: self.now, wall: 1_700_000_000_000 + self.now };
            for effect in self.node.step(time, std::mem::take(&mut commands)) {
                match effect {
                    Effect::State(_, StateRequest::Watch { .. }, _) if !self.watch => {}
                    Effect::State(id, request, _) => {
                        let answer = self.store.handle(self.now, common::request(id), request);
                        commands.extend(answer.map(|a| Command::State(id, a)));
                    }
                    Effect::Cloud(id, request) => {
                        let outcome = self.cloud.handle(self.now, request);
                        commands.push(Command::Cloud(id, outcome.reply));
                    }
                    Effect::Orders(id, _, orders) => {
                        let report = self.carry_out(orders);
                        commands.push(Command::Orders(id, Ok(OrdersReply::Executed(report))));
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
            for answer in self.store.advance(self.now) {
                if self.watch {
                    self.tell(Command::State(answer.request.id, Ok(answer.reply)));
                }
            }
            self.tell(Command::Tick);
        }
    }

    /// The one machine: what it is told to run runs on.
    fn carry_out(&mut self, orders: Orders) -> Report {
        self.token = self.token.max(orders.token);
        for order in &orders.orders {
            match order.clone() {
                Order::Run { task, attempt } => {
                    let status = TaskStatus::Running;
                    self.tasks.push(TaskReport { task, attempt, status, cause: None, stored: None });
                }
                Order::Halt { task, .. } => self.tasks.retain(|p| p.task != task),
                Order::Forget { .. } => {}
            }
        }
        self.orders.extend(orders.orders);
        self.report()
    }

    fn report(&mut self) -> Report {
        self.tick += 1;
        Report {
            machine: "vm-000001".into(),
            endpoint: "m1".into(),
            frame: "f".into(),
            zone: "a".into(),
            spot: false,
            session: 1,
            tick: self.tick,
            token: self.token,
            warn_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn check_in(&mut self, id: u64) {
        let report = self.report();
        self.tell(Command::Checkin(id, Box::new(report)));
        let Some(Answer::Report(reply)) = self.answers.get(&id) else { panic!("{:?}", self.answers.get(&id)) };
        self.token = self.token.max(reply.token);
    }

    fn halts(&self) -> usize {
        self.orders.iter().filter(|o| matches!(o, Order::Halt { .. })).count()
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
    assert_eq!((p.tasks.len(), p.halts()), (2, 0), "both tasks run: {:?}", p.orders);
    p.watch = false;
    p.pass(1000);
    p.tell(Command::Withdraw(5, "wk-1".into()));
    let told = matches!(p.answers.get(&5), Some(Answer::Job(200, v)) if v.status == JobStatus::Aborted);
    assert!(told, "{:?}", p.answers.get(&5));
    assert_eq!(p.halts(), 2, "{:?}", p.orders);
}
