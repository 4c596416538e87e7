//! State that all simulated agents and users of a run share.

use crate::failover::FailoverTimer;
use shaleshunt_wire::user::Submission;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A controller as agents and users know it.
#[derive(Debug, Clone)]
pub struct ControllerAddress {
    /// Node name, by which a redirect names the leader.
    pub node_name: String,
    /// Address for agents and users, as `host:port`.
    pub address: String,
}

/// Totals over all agents since the start of the run.
#[derive(Debug, Default, Clone, Copy)]
pub struct AgentCounters {
    /// Heartbeats that a controller has answered.
    pub heartbeats: u64,
    /// Heartbeats after which the agent turned to another controller: redirected or failed ones.
    pub redirects: u64,
    /// Direct calls received.
    pub direct_calls: u64,
    /// Machine leases that expired, each of which ended an agent epoch.
    pub leases_expired: u64,
}

/// The controllers that agents and users call, and what is known of jobs and agents.
pub struct Fleet {
    /// All controllers; agents refer to them by index.
    pub controllers: Vec<ControllerAddress>,
    /// Jobs submitted so far, by name.
    pub jobs: RefCell<BTreeMap<String, Submission>>,
    /// Mean interval between an agent's heartbeats.
    pub heartbeat_interval: Duration,
    /// Totals over all agents.
    pub counters: RefCell<AgentCounters>,
    /// Names of completed tasks, as the simulated agents expect them; the load test adds none.
    pub completed: RefCell<BTreeSet<String>>,
    started_at: Instant,
    failover_timer: RefCell<FailoverTimer>,
}

impl Fleet {
    /// Creates a fleet without jobs or agents, whose clock counts from `started_at`.
    pub fn new(controllers: Vec<ControllerAddress>, heartbeat_interval: Duration, started_at: Instant) -> Fleet {
        Fleet {
            controllers,
            jobs: RefCell::default(),
            heartbeat_interval,
            counters: RefCell::default(),
            completed: RefCell::default(),
            started_at,
            failover_timer: RefCell::default(),
        }
    }

    /// Time since the start of the run, in ms.
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Starts to measure a failover, as controllers have just been killed; its duration is printed once every machine
    /// has had an answer.
    pub fn start_failover_timer(&self) {
        self.failover_timer.borrow_mut().start();
    }

    /// Records that a controller has answered a machine's heartbeat.
    pub fn record_answered_heartbeat(&self, machine: &str) {
        self.counters.borrow_mut().heartbeats += 1;
        if let Some(failover) = self.failover_timer.borrow_mut().record_answer(machine) {
            let (machines, seconds) = (failover.machines, failover.duration_s);
            println!("        every one of {machines} machines has had an answer {seconds:.1} s after the end");
        }
    }
}
