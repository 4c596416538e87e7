//! What all machines and users of a run share.

use crate::failover::FailoverClock;
use shaleshunt_wire::user::Submission;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A controller as machines and users know it.
#[derive(Debug, Clone)]
pub struct ControllerAddress {
    /// Label, by which controllers name each other.
    pub node_name: String,
    /// Address for machines and users.
    pub address: String,
}

/// What happened to all machines together.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Reports answered.
    pub heartbeats: u64,
    /// Reports that another controller was named for, or that failed.
    pub redirects: u64,
    /// Direct calls.
    pub calls: u64,
    /// Sessions ended by lease expiry.
    pub leases_lost: u64,
}

/// The fleet.
pub struct Fleet {
    /// The controllers.
    pub controllers: Vec<ControllerAddress>,
    /// Jobs submitted so far.
    pub jobs: RefCell<BTreeMap<String, Submission>>,
    /// Heartbeat interval.
    pub heartbeat_interval: Duration,
    /// Counts of the run.
    pub counts: RefCell<Counts>,
    /// Names of the tasks that have completed.
    pub completed: RefCell<BTreeSet<String>>,
    began: Instant,
    failover: RefCell<FailoverClock>,
}

impl Fleet {
    /// A fleet that reports to these controllers, at times counted from `began`.
    pub fn new(controllers: Vec<ControllerAddress>, heartbeat_interval: Duration, began: Instant) -> Fleet {
        Fleet {
            controllers,
            jobs: RefCell::default(),
            heartbeat_interval,
            counts: RefCell::default(),
            completed: RefCell::default(),
            began,
            failover: RefCell::default(),
        }
    }

    /// Time since the beginning, in ms.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Controllers were ended just now: how long it takes until every machine has an answer is printed.
    pub fn begin_failover(&self) {
        self.failover.borrow_mut().start();
    }

    /// A machine's report was answered.
    pub fn heartbeat_answered(&self, machine: &str) {
        self.counts.borrow_mut().heartbeats += 1;
        if let Some(recovery) = self.failover.borrow_mut().answered(machine) {
            let (machines, seconds) = (recovery.machines, recovery.seconds);
            println!("        every one of {machines} machines has had an answer {seconds:.1} s after the end");
        }
    }
}
