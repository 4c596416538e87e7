//! Discrete-event simulation of a site: production controller code, and simulated services, agents, users and network.
//!
//! One event queue in simulated time drives all parties, each of which has a module of its own. All random numbers
//! come from one seeded generator, so that a seed always gives the same run. A change to the order in which numbers
//! are drawn or events are scheduled therefore changes every run.
//!
//! Times are milliseconds of simulated time since the start of the run, unless a name has another unit.

mod agents;
mod controllers;
mod effects;
mod event;
mod fault;
mod inject;
mod network;
mod previous_version;
mod repetition;
mod requests;
mod store_traffic;
mod temporary;
mod users;
mod waiting_jobs;

pub use controllers::ProgramVersion;
pub use fault::{
    AgentMemory, CloudFault, ControllerChoice, ControllerFault, DuplicateArrival, Fault, JobFault, LinkFault,
    MachineChoice, MachineFault, RepetitionFault, StoreFault, TransactionExecution,
};
pub use network::{PartitionScope, PartitionedMessages};
pub use repetition::{RepeatedKind, Repetition};
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
use repetition::Repetitions;
use requests::Requests;
use shaleshunt_core::io::Command;
use shaleshunt_core::{Settings, Tuning};
use shaleshunt_wire::Epoch;
use store_traffic::StoreEndpoint;
use temporary::TemporaryDelay;
use users::Users;

/// Wall-clock time at the start of the run, in ms since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
/// Interval of the tick on which all parties act on elapsed time, in ms.
const TICK_MS: u64 = 20;
/// Interval between the initial starts of two controllers, in ms.
const CONTROLLER_START_INTERVAL_MS: u64 = 7;
/// Interval at which the checker is told which jobs wait although a machine has room, in ms.
const WAITING_JOBS_CHECK_INTERVAL_MS: u64 = 1_000;
/// Fraction of messages with an additional delay of [`SLOW_MESSAGE_EXTRA_MS`].
const SLOW_MESSAGE_FRACTION: f64 = 0.02;
/// Additional delay of a slow message, in ms.
const SLOW_MESSAGE_EXTRA_MS: u64 = 150;
/// Exclusive upper bound of the random part of a message's delay, in ms.
const MAX_MESSAGE_JITTER_MS: u64 = 4;

/// The simulated cloud and the injected faults of its traffic.
struct CloudEndpoint {
    service: Cloud,
    /// End of the cloud's outage, in ms; meaningful only while the cloud is down.
    down_until_ms: u64,
    /// Delay after which scale-out requests are executed, with their replies lost.
    delayed_scale_out: TemporaryDelay,
}

/// Counters and optional recordings of a run.
#[derive(Default)]
pub struct Recording {
    /// Number of direct calls from controllers to agents.
    pub direct_calls: u32,
    /// How often a leader considered a zone unreachable.
    pub unreachable_zones: u32,
    /// Log lines of all parties; `None`, the default, records none.
    pub log: Option<Vec<String>>,
    /// Digest of all commands and effects; `None`, the default, computes none.
    pub trace_digest: Option<TraceDigest>,
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
    repetitions: Repetitions,
    fault_schedule: FaultSchedule,
    /// Checker of the protocol's rules.
    pub checker: Checker,
    /// Counters and recordings of the run.
    pub recording: Recording,
}

impl Simulation {
    /// Creates a site with one controller for each element of `settings`, which must not be empty.
    ///
    /// Machines, users and faults are added before the run. The store's limits, the team quotas and the cancellation
    /// time come from the first controller's settings.
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
            cloud: CloudEndpoint {
                service: Cloud::default(),
                down_until_ms: 0,
                delayed_scale_out: TemporaryDelay::default(),
            },
            agents: Agents::default(),
            users: Users::default(),
            requests: Requests::default(),
            repetitions: Repetitions::new(seed),
            fault_schedule: FaultSchedule::default(),
            checker,
            recording: Recording::default(),
        };
        for index in 0..count {
            simulation.queue.schedule(1 + index as u64 * CONTROLLER_START_INTERVAL_MS, Event::ControllerStart(index));
        }
        simulation.queue.schedule(TICK_MS, Event::Tick);
        simulation
    }

    /// Runs the simulation until `until_ms` since the start of the run.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(event) = self.queue.next_until(until_ms) {
            self.handle(event);
        }
        self.queue.advance_clock_to(until_ms);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::StoreRequest { from, id, request } => self.handle_at_store(from, id, request),
            Event::RepeatedStoreRequest { from, id, request } => self.handle_copy_at_store(from, id, request),
            Event::CloudRequest { from, id, request } => self.handle_at_cloud(from, id, request),
            Event::AgentCommands { from, id, address, commands } => {
                self.deliver_direct_commands(from, id, &address, commands)
            }
            Event::Message { to, command } => self.deliver_message(to, command),
            Event::RequestTimeout { from, id, kind } => self.time_out_request(from, id, kind),
            Event::AgentHeartbeat { controller, heartbeat, reply_to } => {
                self.deliver_heartbeat(controller, heartbeat, reply_to)
            }
            Event::HeartbeatAnswer { agent, heartbeat_id, reply } => {
                self.deliver_heartbeat_answer(&agent, heartbeat_id, reply)
            }
            Event::ControllerStart(index) => self.start_controller(index),
            Event::UserStep(job) => self.user_step(&job),
            Event::UserProbe { job, controller, request } => self.user_probe(job, controller, request),
            Event::RepeatedUserRequest { job, controller, request } => {
                self.repeat_user_request(job, controller, request)
            }
            Event::FaultBegins(index) => self.begin_fault(index),
        }
    }

    fn tick(&mut self) {
        let now = self.queue.now();
        self.end_expired_faults();
        self.answer_watches();
        self.cloud.service.advance(now);
        self.start_agents();
        self.reclaim_machines();
        self.advance_agents();
        self.checker.check_cancelled_tasks(now);
        self.deliver_kept_duplicates();
        if now % WAITING_JOBS_CHECK_INTERVAL_MS < TICK_MS {
            self.check_waiting_jobs();
        }
        for (job, _) in self.users.by_job.iter().filter(|(_, user)| user.is_waiting()) {
            self.checker.check_answer_gap(now, self.fault_schedule.last_end_ms, job);
        }
        for index in 0..self.controllers.len() {
            self.step(index, Command::Tick);
        }
        self.queue.schedule(now + TICK_MS, Event::Tick);
    }

    fn end_expired_faults(&mut self) {
        let now = self.queue.now();
        self.store.end_outage(now);
        if self.cloud.service.down && now >= self.cloud.down_until_ms {
            self.cloud.service.down = false;
        }
        self.network.remove_ended_partitions(now);
    }

    /// Draws the network delay of a message, in ms.
    fn network_delay_ms(&mut self) -> u64 {
        let slow = u64::from(self.random.random_bool(SLOW_MESSAGE_FRACTION)) * SLOW_MESSAGE_EXTRA_MS;
        1 + slow + self.random.random_range(0..MAX_MESSAGE_JITTER_MS)
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

    /// Sets the program version that a controller runs from its next start on.
    pub fn set_version(&mut self, controller: usize, version: ProgramVersion) {
        self.controllers[controller].version = version;
    }

    /// The key-value store.
    pub fn store(&self) -> &KeyValueStore {
        &self.store.service
    }

    /// The key-value store, to configure before the run.
    pub fn store_mut(&mut self) -> &mut KeyValueStore {
        &mut self.store.service
    }

    /// The cloud, to configure before the run.
    pub fn cloud_mut(&mut self) -> &mut Cloud {
        &mut self.cloud.service
    }

    /// Number of machines whose agents run.
    pub fn running_machines(&self) -> usize {
        self.agents.running.len()
    }

    /// Number of controllers that are active leaders.
    pub fn leader_count(&self) -> usize {
        self.controllers.iter().filter(|controller| controller.is_leader()).count()
    }

    /// Current leader epoch, which is the number of elections so far.
    pub fn leader_epoch(&self) -> Epoch {
        let elections = self.store.service.entries_with_prefix("l/epoch");
        elections.iter().filter_map(|(_, value)| value["epoch"].as_u64()).map(Epoch).max().unwrap_or_default()
    }

    /// Number of keys in the key-value store that start with `prefix`.
    pub fn key_count(&self, prefix: &str) -> usize {
        self.store.service.entries_with_prefix(prefix).len()
    }
}
