//! Scale-out requests under way: recorded first, then made under the same name until they are answered,
//! then removed when every machine granted is recorded.
//!
//! A request may be carried out though its answer is lost. Its record lets another leader make it again
//! under its name, so that no machine is rented twice or forgotten. The autoscaler adds and makes requests,
//! the store writes and removes their records.

use crate::model::Id;
use shaleshunt_wire::cloud::ScaleOutRequest;
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeMap;

/// A scale-out request under way.
#[derive(Debug)]
pub(crate) struct ScaleOut {
    request: ScaleOutRequest,
    /// Version of its record; absent until recorded.
    version: Revision,
    /// A write or removal of its record is under way.
    record_in_flight: bool,
    /// The request to the cloud is under way.
    request_in_flight: bool,
    /// Not made again before this time (steady clock, ms).
    retry_at: u64,
    /// The machines granted, once it is answered.
    granted: Option<Vec<Id>>,
}

impl ScaleOut {
    fn new(request: ScaleOutRequest, version: Revision) -> ScaleOut {
        ScaleOut { request, version, record_in_flight: false, request_in_flight: false, retry_at: 0, granted: None }
    }

    /// What to do with its record now. A record is removed only when every machine granted is recorded
    /// or gone, as `is_settled` tells.
    pub(crate) fn needed_record_change(&self, is_settled: impl Fn(&Id) -> bool) -> Option<ScaleOutRecordChange<'_>> {
        match &self.granted {
            _ if self.record_in_flight => None,
            None if self.version == Revision::ABSENT => Some(ScaleOutRecordChange::Write(&self.request)),
            Some(machines) if machines.iter().all(is_settled) => Some(ScaleOutRecordChange::Remove(self.version)),
            _ => None,
        }
    }

    /// A write or removal of its record is under way.
    pub(crate) fn mark_record_change_sent(&mut self) {
        self.record_in_flight = true;
    }

    fn is_due(&self, now: u64) -> bool {
        self.version > Revision::ABSENT && self.granted.is_none() && !self.request_in_flight && now >= self.retry_at
    }
}

/// What is to be done with a request's record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ScaleOutRecordChange<'a> {
    /// Written for the first time.
    Write(&'a ScaleOutRequest),
    /// Removed, if it still has this version.
    Remove(Revision),
}

/// Scale-out requests under way, by name.
#[derive(Debug, Default)]
pub(crate) struct ScaleOutRequests {
    by_name: BTreeMap<String, ScaleOut>,
    /// Requests named by this leader so far.
    named: u64,
}

impl ScaleOutRequests {
    /// A record was read: another leader's request is under way.
    pub(crate) fn restore(&mut self, request: ScaleOutRequest, version: Revision) {
        self.by_name.insert(request.request.clone(), ScaleOut::new(request, version));
    }

    /// A name for a new request, which no other request ever has.
    pub(crate) fn next_name(&mut self, node_name: &str, epoch: Epoch) -> String {
        self.named += 1;
        format!("{node_name}-{epoch}-{}", self.named)
    }

    /// Adds a request; it is made once its record is committed.
    pub(crate) fn add(&mut self, request: ScaleOutRequest) {
        self.by_name.insert(request.request.clone(), ScaleOut::new(request, Revision::ABSENT));
    }

    /// All requests, to see which records are to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&String, &mut ScaleOut)> {
        self.by_name.iter_mut()
    }

    /// A request's record was written at this revision.
    pub(crate) fn mark_recorded(&mut self, name: &str, revision: Revision) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.version = revision;
            scale_out.record_in_flight = false;
        }
    }

    /// A request's record was not changed; it is tried again.
    pub(crate) fn record_change_failed(&mut self, name: &str) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.record_in_flight = false;
        }
    }

    /// A request's record was removed: it is over.
    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Requests whose machines are still to come.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.by_name.values().filter(|scale_out| scale_out.granted.is_none()).map(|scale_out| &scale_out.request)
    }

    /// Requests to make now; they count as made.
    pub(crate) fn take_due(&mut self, now: u64) -> Vec<ScaleOutRequest> {
        let due = self.by_name.values_mut().filter(|scale_out| scale_out.is_due(now));
        due.map(|scale_out| {
            scale_out.request_in_flight = true;
            scale_out.request.clone()
        })
        .collect()
    }

    /// A request came back, with an answer or without; returns it if it is still under way.
    pub(crate) fn request_finished(&mut self, name: &str) -> Option<ScaleOutRequest> {
        let scale_out = self.by_name.get_mut(name)?;
        scale_out.request_in_flight = false;
        Some(scale_out.request.clone())
    }

    /// A request was answered with these machines; none if it was refused.
    pub(crate) fn mark_answered(&mut self, name: &str, granted: Vec<Id>) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.granted = Some(granted);
        }
    }

    /// A request without a clear answer is made again, not before this time (steady clock, ms).
    pub(crate) fn delay_retry(&mut self, name: &str, retry_at: u64) {
        if let Some(scale_out) = self.by_name.get_mut(name) {
            scale_out.retry_at = retry_at;
        }
    }
}

#[cfg(test)]
mod tests;
