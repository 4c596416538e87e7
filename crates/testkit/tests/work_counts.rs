//! How much the leader does, counted: what it does for one command must not grow with the machines times the
//! queue, and a leader that is short of processor time leaves more time between passes over the queue.

mod common;

use shaleshunt_core::io::{Answer, Command, Effect, OrdersReply};
use shaleshunt_core::work::Work;
use shaleshunt_core::{Node, Now, Tuning};
use shaleshunt_testkit::agent::{Agent, CommandOutcome, JobFacts, Machine, ReportId};
use shaleshunt_testkit::cloud::{Cloud, Offer};
use shaleshunt_testkit::store::KeyValueStore;
use shaleshunt_wire::Room;
use shaleshunt_wire::user::Submission;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: u64 = 60;
const JOBS: u64 = 80;
const TASKS: u64 = 200;
const REPORT_MS: u64 = 5_000;
const LEASE_MS: u64 = 27_000;

/// A leader with a fleet that it owns, in simulated time.
struct Site {
    node: Node,
    store: KeyValueStore,
    cloud: Cloud,
    agents: Vec<Agent>,
    jobs: BTreeMap<String, Submission>,
    now: u64,
    requests: u64,
}

impl Site {
    fn new(fleet: u64) -> Site {
        let settings = common::settings(85.0);
        let mut cloud = common::cloud();
        cloud.page_size = 500;
        let agents = (0..fleet)
            .map(|number| {
                let machine = Machine {
                    id: cloud.create(0, Offer::on_demand("f", "a"), Some(0)),
                    machine_type: "f".into(),
                    zone: "a".into(),
                    spot: false,
                    capacity: Room::new(16.0, 0.0, 64.0),
                    fetch_gb_per_s: 0.5,
                };
                let mut agent = Agent::new(machine, LEASE_MS, 0);
                agent.reporting.next_at = number * REPORT_MS / fleet;
                agent
            })
            .collect();
        let store = common::store();
        let node = Node::new(settings, Tuning::default(), Now { mono: 1, wall: 1_700_000_000_000 }, 7);
        Site { node, store, cloud, agents, jobs: BTreeMap::new(), now: 1, requests: 1 << 40 }
    }

    /// Hands over one batch, and what it leads to in further batches of the same moment.
    fn tell(&mut self, mut commands: Vec<Command>) -> Vec<(u64, Answer)> {
        let mut answers = Vec::new();
        while !commands.is_empty() {
            let time = Now { mono: self.now, wall: 1_700_000_000_000 + self.now };
            for effect in self.node.step(time, std::mem::take(&mut commands)) {
                match effect {
                    Effect::State(id, request, _) => {
                        let answer = self.store.handle(self.now, common::request(id), request);
                        commands.extend(answer.map(|a| Command::State(id, a)));
                    }
                    Effect::Cloud(id, request) => {
                        let outcome = self.cloud.handle(self.now, request);
                        commands.push(Command::Cloud(id, outcome.reply));
                    }
                    Effect::Orders(id, to, orders) => {
                        let Some(agent) = self.agents.iter_mut().find(|agent| agent.machine.id == to) else { continue };
                        let outcome = agent.take_commands(self.now, orders, &self.jobs);
                        let (CommandOutcome::Executed(report) | CommandOutcome::Outdated(report)) = outcome;
                        commands.push(Command::Orders(id, Ok(OrdersReply::Executed(report))));
                    }
                    Effect::Answer(id, answer) => answers.push((id, answer)),
                    Effect::Peer(..) | Effect::Log(..) => {}
                }
            }
        }
        answers
    }

    /// Lets time pass; the node takes a batch every `step` ms.
    fn pass_time(&mut self, ms: u64, step: u64) {
        for _ in 0..ms / step {
            self.now += step;
            self.cloud.advance(self.now);
            let answers = self.store.advance(self.now).into_iter();
            let mut batch: Vec<Command> =
                answers.map(|answer| Command::State(answer.request.id, Ok(answer.reply))).collect();
            let facts = JobFacts { jobs: &self.jobs, completed: &BTreeSet::new(), failing: &BTreeSet::new() };
            let mut sent = BTreeMap::new();
            for (number, agent) in self.agents.iter_mut().enumerate() {
                agent.advance(self.now, &facts);
                if let Some(report) = agent.begin_report(self.now, REPORT_MS) {
                    self.requests += 1;
                    let id = ReportId { sent_at: self.now, session: report.session, number: report.tick };
                    sent.insert(self.requests, (number, id));
                    batch.push(Command::Checkin(self.requests, Box::new(report)));
                }
            }
            batch.push(Command::Tick);
            for (id, answer) in self.tell(batch) {
                let Some((number, report)) = sent.get(&id) else { continue };
                let agent = &mut self.agents[*number];
                match answer {
                    Answer::Report(reply) => agent.take_answer(self.now, *report, reply, &self.jobs),
                    _ => agent.reporting.in_flight = None,
                }
            }
        }
    }

    fn submit(&mut self, number: u64, cores: f64, expect_s: f64) {
        let text = format!(
            r#"{{"ref":"wk-{number}","jobline":"x","crew":"t","shape":"array","urgency":"normal","pieces":{TASKS},
            "cores":{cores:.3},"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":0.1,"oneZone":false,"scatter":false,
            "borrowed":false,"expectS":{expect_s:.1},"markEveryS":0.0,"markTakesS":0.0}}"#
        );
        let submission = Submission::parse(text.as_bytes()).unwrap();
        self.jobs.insert(submission.id.clone(), submission.clone());
        self.requests += 1;
        self.tell(vec![Command::Submit(self.requests, Box::new(submission))]);
    }

    fn work_during(&mut self, ms: u64, step: u64) -> Work {
        let before = self.node.work();
        self.pass_time(ms, step);
        let after = self.node.work();
        Work {
            passes: after.passes - before.passes,
            machines_examined: after.machines_examined - before.machines_examined,
            rounds: after.rounds - before.rounds,
            spaces_examined: after.spaces_examined - before.spaces_examined,
            speeds_examined: after.speeds_examined - before.speeds_examined,
        }
    }
}

/// A site with much more work than room, each job of another size, its tasks as long as said.
fn overloaded_site(fleet: u64, expect_s: f64) -> Site {
    let mut site = Site::new(fleet);
    site.pass_time(10_000, 50);
    assert!(site.node.leads());
    let jobs = JOBS.max(fleet * 4 / TASKS);
    for number in 0..jobs {
        site.submit(number, 4.0 + number as f64 / JOBS as f64 * 0.8, expect_s * (1.0 + number as f64 / jobs as f64));
        site.pass_time(if number < JOBS { 200 } else { 100 }, 50);
    }
    site.pass_time(20_000, 50);
    let running: usize = site.agents.iter().map(|agent| agent.tasks.len()).sum();
    assert!(running as u64 >= fleet * 3, "the fleet is full: {running}");
    site
}

/// Jobs of one class differ a little in what they need. Each looked at every machine in every pass, though one
/// that needed less had just found none: passes took a quarter of a busy leader's time.
#[test]
fn a_full_fleet_is_not_examined_for_every_waiting_job() {
    let mut site = overloaded_site(MACHINES, 500.0);
    let work = site.work_during(20_000, 50);
    assert!(work.passes > 5, "{work:?}");
    assert!(work.machines_examined <= work.passes * MACHINES * 3, "{work:?}");
}

/// A leader whose batches begin late has no time for a pass with each of them.
#[test]
fn a_leader_short_of_time_leaves_more_between_passes() {
    let mut site = overloaded_site(MACHINES, 3.0);
    let tick = REPORT_MS / 60;
    let quick = site.work_during(20_000, tick / 2);
    let late = site.work_during(20_000, tick * 2);
    assert!(late.passes * 3 <= 20_000 / (tick * 2), "a pass with every third batch at most: {late:?} {quick:?}");
    assert!(late.passes >= 20, "it goes on placing: {late:?}");
}

/// What a pass examines, a round of renting and a report do not grow with the fleet, with fleet times queue and with
/// fleet times reports. Each pass went through all machines for each stage with a deadline, for the order among
/// jobs and for each job; and all machines were examined for slowness eight times a reporting interval.
#[test]
fn a_pass_over_a_full_fleet_does_not_grow_with_it() {
    let mut small = overloaded_site(1_000, 500.0);
    let mut large = overloaded_site(4_000, 500.0);
    let (small, large) = (small.work_during(20_000, 50), large.work_during(20_000, 50));
    assert!(small.passes > 5 && large.passes > 5, "{small:?} {large:?}");
    // Once a round the fleet is gone through; all else is about machines with room.
    let by_pass = |work: Work, fleet: u64| work.machines_examined.saturating_sub(work.rounds * fleet) / work.passes;
    assert!(by_pass(large, 4_000) <= by_pass(small, 1_000) + 100, "{small:?} {large:?}");
    for (work, fleet) in [(small, 1_000), (large, 4_000)] {
        assert!(work.spaces_examined <= work.rounds * fleet * 3, "{work:?}");
        // With each report once, or twice where a direct call brings one too.
        assert!(work.speeds_examined <= fleet * 4 * 2 + fleet, "{work:?}");
    }
}
