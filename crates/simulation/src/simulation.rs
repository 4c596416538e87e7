//! A simulated site: controllers around the code that runs in production, and stand-ins of everything
//! around them, driven by one queue of events in simulated time.
//!
//! Each party has a module of its own. All chance comes from one generator, so a seed always gives
//! the same run: the order in which numbers are drawn and events are scheduled must not change by accident.

mod agents;
mod controllers;
mod effects;
mod event;
mod fault;
mod inject;
mod network;
mod previous_version;
mod requests;
mod store_traffic;
mod users;
mod waiting_jobs;
mod window;

pub use controllers::Version;
pub use fault::{
    CloudFault, ControllerChoice, ControllerFault, CopyArrival, Execution, Fault, JobFault, LinkFault, MachineChoice,
    MachineFault, StoreFault,
};
pub use network::{CutMessages, CutSide};
pub use users::{PlannedJob, SubmitWhen, User};

use crate::checker::Checker;
use crate::cloud::Cloud;
use crate::store::KeyValueStore;
use crate::trace_digest::TraceDigest;
use agents::Agents;
use controllers::Controller;
use event::{Event, EventQueue};
use inject::FaultSchedule;
use network::Network;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use requests::Requests;
use shaleshunt_core::io::Command;
use shaleshunt_core::{Settings, Tuning};
use shaleshunt_wire::Epoch;
use store_traffic::StoreEndpoint;
use users::Users;
use window::Delay;

/// Time of day at the beginning, in ms since 1970.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
/// Interval at which all parties look at their clocks, in ms.
const TICK_MS: u64 = 20;
/// Interval between the starts of two controllers, in ms.
const START_INTERVAL_MS: u64 = 7;
/// Interval at which the checker looks for jobs that wait though there is room, in ms.
const WAITING_JOBS_INTERVAL_MS: u64 = 1_000;
/// Share of the messages that take much longer.
const SLOW_MESSAGES: f64 = 0.02;
/// How much longer those take, in ms.
const SLOW_MESSAGE_MS: u64 = 150;
/// How much the time of a message varies, in ms.
const MESSAGE_JITTER_MS: u64 = 4;

/// The cloud and the faults of its traffic.
struct CloudEndpoint {
    service: Cloud,
    down_until: u64,
    /// How much later requests for machines are carried out, their answers lost.
    delayed_scale_out: Delay,
}

/// What is recorded of a run.
#[derive(Default)]
pub struct Recording {
    /// Direct calls to agents that controllers have made.
    pub direct_calls: u32,
    /// How often a leader took a zone for cut off.
    pub isolated_zones: u32,
    /// Lines of the log, if it is wanted.
    pub log: Option<Vec<String>>,
    /// Digest of all commands and effects, if it is wanted.
    pub trace: Option<TraceDigest>,
}

/// A simulated site.
pub struct Simulation {
    queue: EventQueue,
    random: StdRng,
    tuning: Tuning,
    controllers: Vec<Controller>,
    network: Network,
    store: StoreEndpoint,
    cloud: CloudEndpoint,
    agents: Agents,
    users: Users,
    requests: Requests,
    faults: FaultSchedule,
    /// The checker of the protocol's rules.
    pub checker: Checker,
    /// What is recorded besides.
    pub recording: Recording,
}

impl Simulation {
    /// A site with a controller for each settings, which must not be empty; machines, users and faults are
    /// added before it runs.
    pub fn new(settings: Vec<Settings>, seed: u64) -> Simulation {
        let first = &settings[0];
        let mut store = KeyValueStore::default();
        store.limits = first.store_quota.clone();
        let mut checker = Checker::new((first.cancel_s * 1000.0) as u64);
        let limits = first.teams.iter().map(|(name, team)| (name.clone(), team.limit.cores as f64 / 1000.0));
        checker.cpu_limits = limits.collect();
        let count = settings.len();
        let mut simulation = Simulation {
            queue: EventQueue::default(),
            random: StdRng::seed_from_u64(seed),
            tuning: Tuning::default(),
            network: Network::new(settings.iter().map(|settings| settings.zone.clone()).collect()),
            controllers: settings.into_iter().map(Controller::new).collect(),
            store: StoreEndpoint::new(store, count),
            cloud: CloudEndpoint { service: Cloud::default(), down_until: 0, delayed_scale_out: Delay::default() },
            agents: Agents::default(),
            users: Users::default(),
            requests: Requests::default(),
            faults: FaultSchedule::default(),
            checker,
            recording: Recording::default(),
        };
        for index in 0..count {
            simulation.queue.schedule(1 + index as u64 * START_INTERVAL_MS, Event::ControllerStart(index));
        }
        simulation.queue.schedule(TICK_MS, Event::Tick);
        simulation
    }

    /// Runs until a time, in ms since the beginning.
    pub fn run(&mut self, until: u64) {
        while let Some(event) = self.queue.next_until(until) {
            self.handle(event);
        }
        self.queue.move_clock_to(until);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::StoreRequest { from, id, request } => self.handle_at_store(from, id, request),
            Event::CloudRequest { from, id, request } => self.handle_at_cloud(from, id, request),
            Event::AgentCommands { from, id, agent, commands } => self.take_commands(from, id, agent, commands),
            Event::Message { to, command } => self.take_message(to, command),
            Event::RequestTimeout { from, id, kind } => self.time_out(from, id, kind),
            Event::AgentHeartbeat { controller, heartbeat, answer_to } => {
                self.take_heartbeat(controller, heartbeat, answer_to)
            }
            Event::HeartbeatAnswer { agent, answered, reply } => self.take_heartbeat_answer(&agent, answered, reply),
            Event::ControllerStart(index) => self.start_controller(index),
            Event::UserStep(job) => self.user_step(&job),
            Event::UserProbe { job, controller, request } => self.user_probe(job, controller, request),
            Event::FaultBegins(index) => self.begin_fault(index),
        }
    }

    fn tick(&mut self) {
        let now = self.queue.now();
        self.end_outages();
        self.answer_watches();
        self.cloud.service.advance(now);
        self.start_agents();
        self.reclaim_machines();
        self.advance_agents();
        self.checker.check_cancelled_tasks(now);
        self.deliver_kept_copies();
        if now % WAITING_JOBS_INTERVAL_MS < TICK_MS {
            self.check_waiting_jobs();
        }
        for (job, _) in self.users.by_job.iter().filter(|(_, user)| user.is_waiting()) {
            self.checker.check_answer_gap(now, self.faults.calm_from, job);
        }
        for index in 0..self.controllers.len() {
            self.step(index, Command::Tick);
        }
        self.queue.schedule(now + TICK_MS, Event::Tick);
    }

    fn end_outages(&mut self) {
        let now = self.queue.now();
        self.store.end_outage(now);
        if self.cloud.service.down && now >= self.cloud.down_until {
            self.cloud.service.down = false;
        }
        self.network.remove_ended(now);
    }

    /// How long a message takes, in ms.
    fn network_delay(&mut self) -> u64 {
        let slow = u64::from(self.random.random_bool(SLOW_MESSAGES)) * SLOW_MESSAGE_MS;
        1 + slow + self.random.random_range(0..MESSAGE_JITTER_MS)
    }

    fn heartbeat_interval_s(&self) -> f64 {
        self.controllers[0].settings.heartbeat_interval_s
    }

    fn lease_ms(&self) -> u64 {
        (self.controllers[0].settings.lease_s * 1000.0) as u64
    }

    fn log_line(&mut self, text: impl FnOnce() -> String) {
        let at_s = self.queue.now() as f64 / 1000.0;
        if let Some(log) = &mut self.recording.log {
            log.push(format!("{at_s:.3} {}", text()));
        }
    }

    /// Sets the version that a controller runs from its next start on.
    pub fn set_version(&mut self, controller: usize, version: Version) {
        self.controllers[controller].version = version;
    }

    /// The key-value store.
    pub fn store(&self) -> &KeyValueStore {
        &self.store.service
    }

    /// The key-value store, to be changed before the simulation runs.
    pub fn store_mut(&mut self) -> &mut KeyValueStore {
        &mut self.store.service
    }

    /// The cloud, to be changed before the simulation runs.
    pub fn cloud_mut(&mut self) -> &mut Cloud {
        &mut self.cloud.service
    }

    /// How many machines are up.
    pub fn machines(&self) -> usize {
        self.agents.running.len()
    }

    /// How many controllers lead.
    pub fn leaders(&self) -> usize {
        self.controllers.iter().filter(|controller| controller.leads()).count()
    }

    /// How often a leader has been elected.
    pub fn epoch(&self) -> Epoch {
        let elections = self.store.service.entries_under("l/epoch");
        elections.iter().filter_map(|(_, value)| value["epoch"].as_u64()).map(Epoch).max().unwrap_or_default()
    }

    /// How many keys with a prefix the key-value store holds.
    pub fn stored_keys(&self, prefix: &str) -> usize {
        self.store.service.entries_under(prefix).len()
    }
}
