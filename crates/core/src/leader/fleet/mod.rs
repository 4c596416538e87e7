//! The leader's machines: their capacity and placements, the heartbeats from their agents, and the commands to them.
//!
//! [`Fleet`] owns the machines, the names of their images, the queue of direct calls and the heartbeat state of each
//! zone. Invariants:
//! - A machine's capacity changes only through [`machines::MachineIndex`], which is indexed by free CPUs.
//! - At most one direct call to a machine is in flight ([`crate::model::DirectCall`]).
//! - A placement is released only on proof that it is gone; [`reconciliation`] lists the proofs.
//!
//! Decisions are functions from machines and jobs to typed results: [`reconciliation`], [`commands`], [`health`],
//! [`slow_machines`], [`partitions`], [`lease_expiry`]. The leader carries them out, because that also changes jobs,
//! the store and the queue, on which this module does not depend.

pub(crate) mod calls;
pub(crate) mod commands;
pub(crate) mod event_budget;
pub(crate) mod health;
pub(crate) mod heartbeat_effects;
pub(crate) mod images;
pub(crate) mod interruption;
pub(crate) mod lease_expiry;
pub(crate) mod machines;
pub(crate) mod partitions;
pub(crate) mod probes;
pub(crate) mod reachability;
pub(crate) mod reconciliation;
pub(crate) mod slow_machines;

use crate::leader::fleet::calls::CallQueue;
use crate::leader::fleet::event_budget::EventBudget;
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::fleet::reachability::Reachability;
use crate::model::{CallPurpose, Id, Machine};

/// The machines and the state that is needed to talk to them.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Machines by name.
    pub(crate) machines: MachineIndex,
    /// Image names by number.
    pub(crate) images: ImageNames,
    /// Direct calls to make.
    pub(crate) calls: CallQueue,
    /// Heartbeat state of each zone.
    pub(crate) reachability: Reachability,
    /// Number of events about single tasks that may be logged.
    pub(crate) events: EventBudget,
}

impl Fleet {
    /// Creates a fleet without machines.
    pub(crate) fn new(now: u64) -> Fleet {
        Fleet {
            machines: MachineIndex::default(),
            images: ImageNames::default(),
            calls: CallQueue::default(),
            reachability: Reachability::new(now),
            events: EventBudget::new(now),
        }
    }

    /// Removes a machine that is proven gone. A token confirmation in flight to the machine counts as ended.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        if machine.call.in_flight().is_some_and(|call| call.purpose == CallPurpose::ConfirmToken) {
            self.calls.confirmation_ended();
        }
        Some(machine)
    }

    /// Queues every machine that can be called for a confirmation of the fencing token.
    pub(crate) fn confirm_all_tokens(&mut self) {
        let callable = self.machines.values().filter(|machine| machine.agent.can_be_called());
        self.calls.set_unconfirmed(callable.map(|machine| machine.id.clone()));
    }

    /// The next machine to ask for a confirmation of the fencing token, if fewer than `max_in_flight` confirmations are
    /// in flight. Skips machines that have confirmed meanwhile and machines with a call in flight.
    pub(crate) fn next_to_confirm(&mut self, max_in_flight: u32) -> Option<Id> {
        let machines = &self.machines;
        self.calls.next_unconfirmed(max_in_flight, |id| {
            machines.get(id).is_some_and(|machine| {
                !machine.agent.token_confirmed && machine.call.is_idle() && machine.agent.can_be_called()
            })
        })
    }
}
