//! Tests bounds on the counted work of a leader. The work per command must not grow with the product of machines and
//! queued jobs, and a leader that is short of processor time must leave more time between scheduling passes.

mod common;

use common::Site;
use shaleshunt_core::io::{Answer, Batch, Command, DirectCommandsReply, Effect};
use shaleshunt_core::work_counters::WorkCounts;
use shaleshunt_simulation::agent::{Agent, HeartbeatId, JobFacts, Machine};
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::Submission;
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines in a fleet, unless a test compares fleets of different sizes.
const MACHINES: u64 = 60;
/// Minimum number of jobs submitted to a fleet.
const MIN_JOBS: u64 = 80;
/// Number of tasks of each job.
const JOB_TASKS: u64 = 200;
/// Heartbeat interval of agents, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 5_000;
/// Duration of machine leases, in ms.
const LEASE_MS: u64 = 27_000;

/// A leader with a fleet of owned machines, in simulated time.
struct Fleet {
    site: Site,
    agents: Vec<Agent>,
    jobs: BTreeMap<String, Submission>,
    /// Id of the latest request to the leader.
    last_request: u64,
}

/// The leader's answer to a request.
struct Answered {
    id: u64,
    answer: Answer,
}

/// A heartbeat in flight.
struct Sent {
    /// Index of the sending agent.
    agent: usize,
    heartbeat: HeartbeatId,
}

impl Fleet {
    fn new(machines: u64) -> Fleet {
        let mut site = Site::new(85.0);
        site.cloud.page_size = 500;
        let agents = (0..machines)
            .map(|number| {
                let id = site.add_machine();
                let machine = Machine {
                    address: id.clone(),
                    id,
                    machine_type: "f".into(),
                    zone: "a".into(),
                    spot: false,
                    capacity: Resources::new(16.0, 0.0, 64.0),
                    fetch_gb_per_s: 0.5,
                };
                let mut agent = Agent::new(machine, LEASE_MS, 0);
                agent.heartbeats.next_at_ms = number * HEARTBEAT_INTERVAL_MS / machines;
                agent
            })
            .collect();
        Fleet { site, agents, jobs: BTreeMap::new(), last_request: 1 << 40 }
    }

    /// Executes one batch, and then the replies that its effects lead to at the same time. Returns the leader's
    /// answers.
    fn execute(&mut self, mut batch: Batch) -> Vec<Answered> {
        let mut answers = Vec::new();
        while !batch.is_empty() {
            for effect in self.site.step(std::mem::take(&mut batch)) {
                match effect {
                    Effect::DirectCommands(id, to, commands) => {
                        let Some(agent) = self.agents.iter_mut().find(|agent| agent.machine.id == to) else { continue };
                        let reply = agent.execute_direct_commands(self.site.now, commands, &self.jobs);
                        let (DirectCommandsReply::Executed(heartbeat) | DirectCommandsReply::Fenced(heartbeat)) = reply;
                        batch.push(Command::DirectCommands(id, Ok(DirectCommandsReply::Executed(heartbeat))));
                    }
                    Effect::Answer(id, answer) => answers.push(Answered { id, answer }),
                    other => batch.extend(self.site.serve(other)),
                }
            }
        }
        answers
    }

    /// Advances the time by `ms`; the leader executes a batch every `step_ms`.
    fn pass_time(&mut self, ms: u64, step_ms: u64) {
        for _ in 0..ms / step_ms {
            let mut batch = self.site.advance(step_ms);
            self.site.cloud.advance(self.site.now);
            let sent = self.send_heartbeats(&mut batch);
            batch.push(Command::Tick);
            for Answered { id, answer } in self.execute(batch) {
                let Some(sent) = sent.get(&id) else { continue };
                let agent = &mut self.agents[sent.agent];
                match answer {
                    Answer::Heartbeat(reply) => {
                        agent.handle_heartbeat_reply(self.site.now, sent.heartbeat, reply, &self.jobs)
                    }
                    _ => agent.heartbeats.in_flight = None,
                }
            }
        }
    }

    /// Adds the due heartbeats to a batch, and returns them by the ids of their requests.
    fn send_heartbeats(&mut self, batch: &mut Batch) -> BTreeMap<u64, Sent> {
        let now = self.site.now;
        let facts = JobFacts { jobs: &self.jobs, completed: &BTreeSet::new(), failing: &BTreeSet::new() };
        let mut sent = BTreeMap::new();
        for (index, agent) in self.agents.iter_mut().enumerate() {
            agent.advance(now, &facts);
            let Some(heartbeat) = agent.heartbeat_if_due(now, HEARTBEAT_INTERVAL_MS) else { continue };
            let Some(id) = agent.heartbeats.in_flight else { continue };
            self.last_request += 1;
            sent.insert(self.last_request, Sent { agent: index, heartbeat: id });
            batch.push(Command::Heartbeat(self.last_request, Box::new(heartbeat)));
        }
        sent
    }

    fn submit(&mut self, number: u64, cores: f64, estimated_run_s: f64) {
        let text = format!(
            r#"{{"ref":"wk-{number}","jobline":"x","crew":"t","shape":"array","urgency":"normal","pieces":{JOB_TASKS},
            "cores":{cores:.3},"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":0.1,"oneZone":false,"scatter":false,
            "borrowed":false,"expectS":{estimated_run_s:.1},"markEveryS":0.0,"markTakesS":0.0}}"#
        );
        let submission = Submission::parse(text.as_bytes()).unwrap();
        self.jobs.insert(submission.id.clone(), submission.clone());
        self.last_request += 1;
        self.execute(vec![Command::Submit(self.last_request, Box::new(submission))]);
    }

    /// The work that the leader does while the time advances by `ms`.
    fn work_during(&mut self, ms: u64, step_ms: u64) -> WorkCounts {
        let before = self.site.controller.work();
        self.pass_time(ms, step_ms);
        let after = self.site.controller.work();
        WorkCounts {
            scheduling_passes: after.scheduling_passes - before.scheduling_passes,
            machines_examined: after.machines_examined - before.machines_examined,
            autoscaler_runs: after.autoscaler_runs - before.autoscaler_runs,
            autoscaler_machines_examined: after.autoscaler_machines_examined - before.autoscaler_machines_examined,
            overrun_checks: after.overrun_checks - before.overrun_checks,
        }
    }
}

/// A fleet with more work than it can run. Jobs differ in the size and duration of their tasks; the shortest take
/// `task_s`.
fn overloaded_fleet(machines: u64, task_s: f64) -> Fleet {
    let mut fleet = Fleet::new(machines);
    fleet.pass_time(10_000, 50);
    assert!(fleet.site.controller.is_active_leader());
    let jobs = MIN_JOBS.max(machines * 4 / JOB_TASKS);
    for number in 0..jobs {
        fleet.submit(number, 4.0 + number as f64 / MIN_JOBS as f64 * 0.8, task_s * (1.0 + number as f64 / jobs as f64));
        fleet.pass_time(if number < MIN_JOBS { 200 } else { 100 }, 50);
    }
    fleet.pass_time(20_000, 50);
    let running: usize = fleet.agents.iter().map(|agent| agent.tasks.len()).sum();
    assert!(running as u64 >= machines * 3, "only {running} tasks run, so the fleet is not full");
    fleet
}

/// Jobs of one class differ slightly in the resources that they need. Each scheduling pass used to examine every
/// machine for every job, although a smaller job had just found no room; the passes took a quarter of a busy leader's
/// time.
#[test]
fn full_fleet_is_not_examined_for_every_waiting_job() {
    let mut fleet = overloaded_fleet(MACHINES, 500.0);
    let work = fleet.work_during(20_000, 50);
    assert!(work.scheduling_passes > 5, "{work:?}");
    assert!(work.machines_examined <= work.scheduling_passes * MACHINES * 3, "{work:?}");
}

/// A leader whose batches begin late has no processor time for a scheduling pass with each of them.
#[test]
fn leader_with_late_batches_runs_fewer_scheduling_passes() {
    let mut fleet = overloaded_fleet(MACHINES, 3.0);
    let tick_ms = HEARTBEAT_INTERVAL_MS / 60;
    let quick = fleet.work_during(20_000, tick_ms / 2);
    let late = fleet.work_during(20_000, tick_ms * 2);
    assert!(
        late.scheduling_passes * 3 <= 20_000 / (tick_ms * 2),
        "expected at most one pass per three late batches: {late:?} {quick:?}"
    );
    assert!(late.scheduling_passes >= 20, "expected scheduling passes to go on: {late:?}");
}

/// The work of a scheduling pass must not grow with the fleet, the work of an autoscaler run not with the fleet times
/// the queue, and the work of a heartbeat not with the fleet. A pass used to visit all machines for each stage with a
/// deadline, for the order among jobs and for each job, and all machines were checked for slow tasks eight times per
/// heartbeat interval.
#[test]
fn scheduling_work_does_not_grow_with_full_fleet() {
    let mut small = overloaded_fleet(1_000, 500.0);
    let mut large = overloaded_fleet(4_000, 500.0);
    let (small, large) = (small.work_during(20_000, 50), large.work_during(20_000, 50));
    assert!(small.scheduling_passes > 5 && large.scheduling_passes > 5, "{small:?} {large:?}");
    // An autoscaler run visits the whole fleet once; all other examined machines have free capacity.
    let by_pass = |work: WorkCounts, machines: u64| {
        work.machines_examined.saturating_sub(work.autoscaler_runs * machines) / work.scheduling_passes
    };
    assert!(by_pass(large, 4_000) <= by_pass(small, 1_000) + 100, "{small:?} {large:?}");
    for (work, machines) in [(small, 1_000), (large, 4_000)] {
        assert!(work.autoscaler_machines_examined <= work.autoscaler_runs * machines * 3, "{work:?}");
        // Each heartbeat causes one check; a direct call returns a second heartbeat in some intervals.
        assert!(work.overrun_checks <= machines * 4 * 2 + machines, "{work:?}");
    }
}
