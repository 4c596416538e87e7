//! How much the leader does, counted: what it does for one command must not grow with the machines times the
//! queue, and a leader that is short of processor time leaves more time between passes over the queue.

mod common;

use shaleshunt_core::io::{Answer, Command, Effect};
use shaleshunt_core::work_counters::Work;
use shaleshunt_core::{Controller, Timestamp, Tuning};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::state::StateService;
use shaleshunt_testkit::worker::Worker;
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::Submission;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: u64 = 60;
const JOBS: u64 = 80;
const TASKS: u64 = 200;
const REPORT_MS: u64 = 5_000;

/// A leader with a fleet that it owns, in simulated time.
struct Site {
    node: Controller,
    state: StateService,
    cloud: Cloud,
    machines: Vec<Worker>,
    jobs: BTreeMap<String, Submission>,
    now: u64,
    requests: u64,
}

impl Site {
    fn new(fleet: u64) -> Site {
        let settings = common::settings(85.0);
        let mut cloud = common::cloud();
        cloud.page_size = 500;
        let resources = Resources::new(16.0, 0.0, 64.0);
        let machines = (0..fleet)
            .map(|number| {
                let id = cloud.give(0, "f", "a", false, Some(0));
                let mut machine = Worker::new(&id, "f", "a", false, resources, 0.5, 27_000, 0);
                machine.report_at = number * REPORT_MS / fleet;
                machine
            })
            .collect();
        let state = common::state();
        let node =
            Controller::new(settings, Tuning::default(), Timestamp { monotonic_ms: 1, wall_ms: 1_700_000_000_000 }, 7);
        Site { node, state, cloud, machines, jobs: BTreeMap::new(), now: 1, requests: 1 << 40 }
    }

    /// Hands over one batch, and what it leads to in further batches of the same moment.
    fn tell(&mut self, mut commands: Vec<Command>) -> Vec<(u64, Answer)> {
        let mut answers = Vec::new();
        while !commands.is_empty() {
            let time = Timestamp { monotonic_ms: self.now, wall_ms: 1_700_000_000_000 + self.now };
            for effect in self.node.step(time, std::mem::take(&mut commands)) {
                match effect {
                    Effect::Kv(id, request, _) => {
                        let answer = self.state.handle(self.now, (0, 1), id, request);
                        commands.extend(answer.map(|a| Command::Kv(id, a)));
                    }
                    Effect::Cloud(id, request) => {
                        let (answer, _) = self.cloud.handle(self.now, request);
                        commands.push(Command::Cloud(id, answer));
                    }
                    Effect::DirectCommands(id, to, direct_commands) => {
                        let Some(machine) = self.machines.iter_mut().find(|m| m.id == to) else { continue };
                        let (_, report) = machine.direct_commands(self.now, direct_commands, &self.jobs);
                        commands.push(Command::DirectCommands(
                            id,
                            Ok(shaleshunt_core::io::DirectCommandsReply::Executed(report)),
                        ));
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
            self.cloud.turn(self.now);
            let mut batch: Vec<Command> =
                self.state.turn(self.now).into_iter().map(|(_, id, reply)| Command::Kv(id, Ok(reply))).collect();
            let mut sent = BTreeMap::new();
            for (number, machine) in self.machines.iter_mut().enumerate() {
                machine.turn(self.now, &self.jobs, &BTreeSet::new(), &BTreeSet::new());
                if let Some(report) = machine.begin_report(self.now, REPORT_MS) {
                    self.requests += 1;
                    sent.insert(self.requests, (number, (self.now, report.agent_epoch, report.sequence)));
                    batch.push(Command::Heartbeat(self.requests, Box::new(report)));
                }
            }
            batch.push(Command::Tick);
            for (id, answer) in self.tell(batch) {
                let Some((number, key)) = sent.get(&id) else { continue };
                let machine = &mut self.machines[*number];
                match answer {
                    Answer::Heartbeat(reply) => machine.answer(self.now, *key, reply, &self.jobs),
                    _ => machine.waiting = None,
                }
            }
        }
    }

    fn submit(&mut self, number: u64, cores: f64, estimated_run_s: f64) {
        let text = format!(
            r#"{{"ref":"wk-{number}","jobline":"x","crew":"t","shape":"array","urgency":"normal","pieces":{TASKS},
            "cores":{cores:.3},"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":0.1,"oneZone":false,"scatter":false,
            "borrowed":false,"expectS":{estimated_run_s:.1},"markEveryS":0.0,"markTakesS":0.0}}"#
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
fn overloaded_site(fleet: u64, estimated_run_s: f64) -> Site {
    let mut site = Site::new(fleet);
    site.pass_time(10_000, 50);
    assert!(site.node.leads());
    let jobs = JOBS.max(fleet * 4 / TASKS);
    for number in 0..jobs {
        site.submit(
            number,
            4.0 + number as f64 / JOBS as f64 * 0.8,
            estimated_run_s * (1.0 + number as f64 / jobs as f64),
        );
        site.pass_time(if number < JOBS { 200 } else { 100 }, 50);
    }
    site.pass_time(20_000, 50);
    let running: usize = site.machines.iter().map(|m| m.tasks.len()).sum();
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
