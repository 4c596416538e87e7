//! Reading of the cloud's machine list, page by page. The list lags, so a machine's absence from it proves nothing.

use crate::capacity;
use crate::controller::Context;
use crate::event::Event;
use crate::io::CloudRequest;
use crate::leader::autoscaler::owned_machines::OwnedMachines;
use crate::leader::scheduler::usage::Ownership;
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use crate::settings::Settings;
use shaleshunt_wire::cloud::{ListPage, ListedMachine, ListedMachineStatus};
use std::collections::BTreeSet;

/// Fraction of the cloud's request rate that a long list uses.
const REQUEST_FRACTION: f64 = 0.25;

/// Fraction of one second's requests that the first pages use, which are requested without a pause.
const BURST_FRACTION: f64 = 0.5;

/// Multiple of the list's lag after which the list is requested again. An empty list counts only after the same time.
const LIST_INTERVAL_LAGS: f64 = 2.0;

/// Retries per heartbeat interval after a failed request.
const RETRIES_PER_HEARTBEAT: u64 = 2;

/// Maximum age of a machine that the list may state, in seconds; larger values are clamped.
const MAX_MACHINE_AGE_S: f64 = 1e9;

/// State of reading the list.
#[derive(Debug)]
pub(super) struct MachineListScan {
    machines: Vec<ListedMachine>,
    pages: u32,
    page_requested: bool,
    /// When the next page may be requested (ms, monotonic).
    next_page_at_ms: u64,
}

impl MachineListScan {
    pub(super) fn new(now: u64) -> MachineListScan {
        MachineListScan { machines: Vec::new(), pages: 0, page_requested: false, next_page_at_ms: now }
    }

    /// Begins the request of a page if one is due, and returns the name of the machine after which the page begins;
    /// empty for the first page. A failed page is requested again.
    fn begin_page(&mut self, now: u64) -> Option<String> {
        if self.page_requested || now < self.next_page_at_ms {
            return None;
        }
        self.page_requested = true;
        Some(self.machines.last().map(|machine| machine.id.clone()).unwrap_or_default())
    }

    /// Adds a received page. Returns the whole list after the last page.
    fn take_page(
        &mut self,
        now_ms: u64,
        page: ListPage,
        settings: &Settings,
        owned: &OwnedMachines,
    ) -> Option<Vec<ListedMachine>> {
        self.page_requested = false;
        self.pages += 1;
        let more = page.truncated && !page.machines.is_empty();
        self.machines.extend(page.machines);
        if more {
            self.next_page_at_ms = now_ms + self.pause_between_pages_ms(settings, owned);
            return None;
        }
        let pages = f64::from(std::mem::take(&mut self.pages));
        let lag_ms = settings.machine_list_lag_s.max(1.0) * (LIST_INTERVAL_LAGS * 1000.0);
        self.next_page_at_ms = now_ms + lag_ms.max(pages * page_interval_ms(settings)) as u64;
        Some(std::mem::take(&mut self.machines))
    }

    /// Pause before the next page. A few pages are requested without a pause; the rest of a long list leaves request
    /// rate for scaling out. Before the owned machines are known, nothing is rented, so no pause is needed.
    fn pause_between_pages_ms(&self, settings: &Settings, owned: &OwnedMachines) -> u64 {
        let burst_over = f64::from(self.pages) >= settings.cloud_rps * BURST_FRACTION;
        if owned.is_known() && burst_over { page_interval_ms(settings) as u64 } else { 0 }
    }

    fn page_failed(&mut self, now: u64, settings: &Settings) {
        self.page_requested = false;
        self.next_page_at_ms = now + settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
    }
}

/// Time between pages at the list's fraction of the request rate, in ms.
fn page_interval_ms(settings: &Settings) -> f64 {
    1000.0 / (settings.cloud_rps * REQUEST_FRACTION)
}

impl Leader {
    /// Requests a page of the list if one is due.
    pub(super) fn request_machine_list_page(&mut self, ctx: &mut Context) {
        if let Some(after) = self.autoscaler.machine_list.begin_page(ctx.now.monotonic_ms) {
            let pending = self.pending_request(LeaderRequest::MachineList);
            ctx.send_cloud(CloudRequest::List { after }, pending);
        }
    }

    /// Processes a received page of the list.
    pub(super) fn take_machine_list_page(&mut self, ctx: &mut Context, page: ListPage) {
        let autoscaler = &mut self.autoscaler;
        let now = ctx.now.monotonic_ms;
        if let Some(list) = autoscaler.machine_list.take_page(now, page, &ctx.settings, &autoscaler.owned) {
            self.take_machine_list(ctx, list);
        }
    }

    /// Schedules a retry of a page that was not received.
    pub(super) fn retry_machine_list_page(&mut self, ctx: &Context) {
        self.autoscaler.machine_list.page_failed(ctx.now.monotonic_ms, &ctx.settings);
    }

    /// Processes the whole list.
    fn take_machine_list(&mut self, ctx: &mut Context, list: Vec<ListedMachine>) {
        self.determine_owned_machines(ctx, &list);
        self.warn_if_too_small(ctx);
        for listed in list {
            self.take_listed_machine(ctx, listed);
        }
    }

    /// Determines the owned machines when the service starts for the first time: the on-demand machines that are up.
    /// Because lists lag, an empty list counts only after a while.
    fn determine_owned_machines(&mut self, ctx: &mut Context, list: &[ListedMachine]) {
        let since_election_ms = ctx.now.monotonic_ms.saturating_sub(self.elected_at_ms) as f64;
        let list_is_current = since_election_ms > ctx.settings.machine_list_lag_s * (LIST_INTERVAL_LAGS * 1000.0);
        if self.autoscaler.owned.is_known() || (list.is_empty() && !list_is_current) {
            return;
        }
        let owned: BTreeSet<String> = list
            .iter()
            .filter(|machine| !machine.spot && machine.status == ListedMachineStatus::Running)
            .map(|machine| machine.id.clone())
            .collect();
        ctx.emit(Event::OwnedMachinesRecorded { machines: owned.len() });
        self.store.record_owned_machines(&owned, ctx.limits.max_value_bytes());
        self.autoscaler.owned.set_names(owned);
    }

    fn take_listed_machine(&mut self, ctx: &Context, listed: ListedMachine) {
        let id: Id = listed.id.as_str().into();
        let owned = self.autoscaler.owned.contains(&listed.id);
        if !self.fleet.machines.contains_key(&id) {
            // A recently returned machine may still be listed. The machine is then added as new and found unreachable;
            // its second return is answered with 200 as well.
            let mut machine = self.new_machine(ctx, &id, &listed.machine_type, &listed.zone, listed.spot, owned);
            let age_ms = (listed.age_s.clamp(0.0, MAX_MACHINE_AGE_S) * 1000.0) as u64;
            machine.rented_at_ms = ctx.now.wall_ms.saturating_sub(age_ms);
            // The machine is known only from the list. A record is written once its agent sends a heartbeat.
            self.fleet.machines.insert(machine);
        }
        self.set_ownership(&id, owned);
        let Some(machine) = self.fleet.machines.get_mut(&id) else { return };
        machine.lifecycle.listed = true;
        if listed.status == ListedMachineStatus::Failed {
            machine.lifecycle.scale_in_wanted = true;
        }
        if self.fleet.takes_listed_endpoint(&id, &listed.endpoint) {
            self.update_endpoint(&id, &listed.endpoint);
        }
    }

    /// Updates whether a machine is owned, in the fleet, its record and the usage of its jobs.
    fn set_ownership(&mut self, id: &Id, owned: bool) {
        let Some(machine) = self.fleet.machines.get_mut(id).filter(|machine| machine.owned != owned) else { return };
        machine.owned = owned;
        self.store.machine_changed(machine);
        for placement in &machine.placements {
            if let Some(job) = self.jobs.get(&placement.job) {
                self.scheduler.usage_mut().change_ownership(&job.spec.class, Ownership::from_owned(owned));
            }
        }
    }

    /// Logs, once, the settings that are too small for the owned machines or for the maximum number of machines that
    /// the teams' quotas allow.
    fn warn_if_too_small(&mut self, ctx: &mut Context) {
        let (Some(owned), Some(catalog)) = (self.autoscaler.owned.count(), &ctx.catalog) else { return };
        if std::mem::replace(&mut self.autoscaler.capacity_checked, true) {
            return;
        }
        let max_machines = capacity::max_machines(&ctx.settings, catalog).unwrap_or(0);
        for warning in capacity::insufficient_settings(&ctx.settings, max_machines.max(owned as u32)) {
            ctx.emit(Event::SettingTooSmall(warning));
        }
    }
}

#[cfg(test)]
mod tests;
