//! The machines that a leader knows: what they hold, what their agents say, what these are told.
//!
//! [`Fleet`] owns the machines, the names of their images, the queue of direct calls and what is
//! known of each zone's heartbeats. Its parts keep:
//! - a machine's room changes only through [`machines::MachineIndex`], which finds machines by it;
//! - at most one direct call to a machine is under way ([`crate::model::DirectCall`]);
//! - a placement is given up only on a proof, as listed in [`reconciliation`].
//!
//! Decisions are functions from machines and jobs to typed results: [`reconciliation`],
//! [`commands`], [`health`], [`slow_machines`], [`partitions`], [`lease_expiry`]. The leader carries
//! them out, since that touches jobs, the store and the queue too. Nothing here knows of these.

pub(crate) mod calls;
pub(crate) mod commands;
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
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::fleet::reachability::Reachability;
use crate::model::{CallPurpose, Id, Machine};

/// The machines, and what is to be told them.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// The machines.
    pub(crate) machines: MachineIndex,
    /// Images by number.
    pub(crate) images: ImageNames,
    /// Direct calls to be made.
    pub(crate) calls: CallQueue,
    /// What zones' heartbeats show.
    pub(crate) reachability: Reachability,
}

impl Fleet {
    /// A fleet without machines.
    pub(crate) fn new(now: u64) -> Fleet {
        Fleet {
            machines: MachineIndex::default(),
            images: ImageNames::default(),
            calls: CallQueue::default(),
            reachability: Reachability::new(now),
        }
    }

    /// Removes a machine that is proven gone, with the call to it that may be under way.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        if machine.call.in_flight().is_some_and(|call| call.purpose == CallPurpose::ConfirmToken) {
            self.calls.confirmation_ended();
        }
        Some(machine)
    }

    /// All machines that can be called are asked to confirm the fencing token, some at a time.
    pub(crate) fn confirm_all_tokens(&mut self) {
        let reachable = self.machines.values().filter(|machine| machine.agent.can_be_called());
        self.calls.set_unconfirmed(reachable.map(|machine| machine.id.clone()));
    }

    /// The next machine to be asked to confirm the fencing token, if fewer than `most` are being
    /// asked. Those that have shown it meanwhile, or that are called already, are passed over.
    pub(crate) fn next_to_confirm(&mut self, most: u32) -> Option<Id> {
        let machines = &self.machines;
        self.calls.next_unconfirmed(most, |id| {
            machines.get(id).is_some_and(|machine| {
                !machine.agent.token_confirmed && machine.call.is_idle() && machine.agent.can_be_called()
            })
        })
    }
}
