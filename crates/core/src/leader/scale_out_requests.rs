//! Scale-out requests in flight. A request is first recorded, then sent under the same name until it is answered,
//! and its record is removed when all granted machines are recorded.
//!
//! The cloud may carry out a request although its reply is lost. The record lets another leader repeat the request
//! under its name, so that no machine is rented twice or forgotten. The autoscaler adds and sends requests; the
//! store writes and removes their records.

use crate::model::Id;
use shaleshunt_wire::cloud::ScaleOutRequest;
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeMap;

/// A scale-out request in flight.
#[derive(Debug)]
pub(crate) struct ScaleOut {
    request: ScaleOutRequest,
    /// Version of its record; `Revision::ABSENT` until it is recorded.
    version: Revision,
    /// Whether a write or removal of its record is in flight.
    record_in_flight: bool,
    /// Whether the request to the cloud is in flight.
    request_in_flight: bool,
    /// Earliest time of the next try (monotonic clock, ms).
    retry_at: u64,
    /// The granted machines, none if the request was rejected; `None` until the request is answered.
    granted: Option<Vec<Id>>,
}

impl ScaleOut {
    fn new(request: ScaleOutRequest, version: Revision) -> ScaleOut {
        ScaleOut { request, version, record_in_flight: false, request_in_flight: false, retry_at: 0, granted: None }
    }

    /// Returns the change that its record needs now. The record is removed only when all granted machines are
    /// recorded or gone, as reported by `is_settled`.
    pub(crate) fn needed_record_change(&self, is_settled: impl Fn(&Id) -> bool) -> Option<ScaleOutRecordChange<'_>> {
        match &self.granted {
            _ if self.record_in_flight => None,
            None if self.version == Revision::ABSENT => Some(ScaleOutRecordChange::Write(&self.request)),
            Some(machines) if machines.iter().all(is_settled) => Some(ScaleOutRecordChange::Remove(self.version)),
            _ => None,
        }
    }

    /// Marks a write or removal of its record as in flight.
    pub(crate) fn mark_record_change_sent(&mut self) {
        self.record_in_flight = true;
    }

    fn is_due(&self, now: u64) -> bool {
        self.version > Revision::ABSENT && self.granted.is_none() && !self.request_in_flight && now >= self.retry_at
    }
}

/// A change to the record of a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ScaleOutRecordChange<'a> {
    /// Write the record for the first time.
    Write(&'a ScaleOutRequest),
    /// Remove the record if it still has this version.
    Remove(Revision),
}

/// Scale-out requests in flight, by name.
#[derive(Debug, Default)]
pub(crate) struct ScaleOutRequests {
    by_name: BTreeMap<String, ScaleOut>,
    /// Number of requests named by this leader.
    named_count: u64,
}

impl ScaleOutRequests {
    /// Restores the request of another leader from its record.
    pub(crate) fn restore(&mut self, request: ScaleOutRequest, version: Revision) {
        self.by_name.insert(request.request.clone(), ScaleOut::new(request, version));
    }

    /// Returns a name for a new request that is unique over all leaders.
    pub(crate) fn next_name(&mut self, node_name: &str, epoch: Epoch) -> String {
        self.named_count += 1;
        format!("{node_name}-{epoch}-{}", self.named_count)
    }

    /// Adds a request, which is sent once its record is committed.
    pub(crate) fn add(&mut self, request: ScaleOutRequest) {
        self.by_name.insert(request.request.clone(), ScaleOut::new(request, Revision::ABSENT));
    }

    /// All requests, for checking which records need a change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&String, &mut ScaleOut)> {
        self.by_name.iter_mut()
    }

    /// Marks the record of a request as written at this revision.
    pub(crate) fn mark_recorded(&mut self, name: &str, revision: Revision) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.version = revision;
            scale_out.record_in_flight = false;
        }
    }

    /// Marks the change of a record as failed, so that it is retried.
    pub(crate) fn record_change_failed(&mut self, name: &str) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.record_in_flight = false;
        }
    }

    /// Removes a request whose record was removed.
    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Requests that have not been answered.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.by_name.values().filter(|scale_out| scale_out.granted.is_none()).map(|scale_out| &scale_out.request)
    }

    /// Returns the requests to send now, and marks them as in flight.
    pub(crate) fn take_due(&mut self, now: u64) -> Vec<ScaleOutRequest> {
        let due = self.by_name.values_mut().filter(|scale_out| scale_out.is_due(now));
        due.map(|scale_out| {
            scale_out.request_in_flight = true;
            scale_out.request.clone()
        })
        .collect()
    }

    /// Marks a request as no longer in flight, after a reply or a failure. Returns the request if it still exists.
    pub(crate) fn request_finished(&mut self, name: &str) -> Option<ScaleOutRequest> {
        let scale_out = self.by_name.get_mut(name)?;
        scale_out.request_in_flight = false;
        Some(scale_out.request.clone())
    }

    /// Marks a request as answered with these machines; none if it was rejected.
    pub(crate) fn mark_answered(&mut self, name: &str, granted: Vec<Id>) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.granted = Some(granted);
        }
    }

    /// Delays the next try of a request without a definite answer until `retry_at` (monotonic clock, ms).
    pub(crate) fn delay_retry(&mut self, name: &str, retry_at: u64) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.retry_at = retry_at;
        }
    }
}

#[cfg(test)]
mod tests;
