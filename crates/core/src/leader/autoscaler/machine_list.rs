//! The cloud's list of machines, read page by page. It lags: it proves nothing about what is gone.

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

/// Share of the cloud's requests that a long list takes.
const REQUEST_SHARE: f64 = 0.25;

/// Share of a second's requests that the first pages take, which are asked for without a pause.
const BURST_SHARE: f64 = 0.5;

/// A list is asked for again after so many times its lag, and an empty one counts only then.
const LAGS_BETWEEN_LISTS: f64 = 2.0;

/// After a failed request a page is asked for again in this part of a heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 2;

/// Oldest age of a machine that a list is believed, in seconds.
const MAX_AGE_S: f64 = 1e9;

/// The list as far as it has been read.
#[derive(Debug)]
pub(super) struct MachineListScan {
    machines: Vec<ListedMachine>,
    pages: u32,
    page_requested: bool,
    /// When the next page may be asked for (steady clock, ms).
    next_page_at: u64,
}

impl MachineListScan {
    pub(super) fn new(now: u64) -> MachineListScan {
        MachineListScan { machines: Vec::new(), pages: 0, page_requested: false, next_page_at: now }
    }

    /// The machine after which the next page begins, if one is to be asked for now. A page that failed is
    /// asked for again.
    fn begin_page(&mut self, now: u64) -> Option<String> {
        if self.page_requested || now < self.next_page_at {
            return None;
        }
        self.page_requested = true;
        Some(self.machines.last().map(|machine| machine.id.clone()).unwrap_or_default())
    }

    /// A page has come. Returns the whole list with its last page.
    fn take_page(
        &mut self,
        now: u64,
        page: ListPage,
        set: &Settings,
        owned: &OwnedMachines,
    ) -> Option<Vec<ListedMachine>> {
        self.page_requested = false;
        self.pages += 1;
        let more = page.truncated && !page.machines.is_empty();
        self.machines.extend(page.machines);
        if more {
            self.next_page_at = now + self.pause_between_pages_ms(set, owned);
            return None;
        }
        let pages = f64::from(std::mem::take(&mut self.pages));
        let lag_ms = set.machine_list_lag_s.max(1.0) * (LAGS_BETWEEN_LISTS * 1000.0);
        self.next_page_at = now + lag_ms.max(pages * page_interval_ms(set)) as u64;
        Some(std::mem::take(&mut self.machines))
    }

    /// A few pages are asked for at once; of a longer list the rest leaves requests for scaling out. That
    /// does not begin before it is known which machines are owned.
    fn pause_between_pages_ms(&self, set: &Settings, owned: &OwnedMachines) -> u64 {
        let burst_over = f64::from(self.pages) >= set.cloud_rps * BURST_SHARE;
        if owned.is_known() && burst_over { page_interval_ms(set) as u64 } else { 0 }
    }

    fn page_failed(&mut self, now: u64, set: &Settings) {
        self.page_requested = false;
        self.next_page_at = now + set.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
    }
}

/// Time between pages at the list's share of requests, in ms.
fn page_interval_ms(set: &Settings) -> f64 {
    1000.0 / (set.cloud_rps * REQUEST_SHARE)
}

impl Leader {
    /// Asks for a page of the list if one is due.
    pub(super) fn request_machine_list_page(&mut self, ctx: &mut Context) {
        if let Some(after) = self.autoscaler.machine_list.begin_page(ctx.now.monotonic_ms) {
            let wait = self.pending_request(LeaderRequest::MachineList);
            ctx.send_cloud(CloudRequest::List { after }, wait);
        }
    }

    /// A page of the list has come.
    pub(super) fn take_machine_list_page(&mut self, ctx: &mut Context, page: ListPage) {
        let autoscaler = &mut self.autoscaler;
        let now = ctx.now.monotonic_ms;
        if let Some(list) = autoscaler.machine_list.take_page(now, page, &ctx.settings, &autoscaler.owned) {
            self.take_machine_list(ctx, list);
        }
    }

    /// A page of the list did not come.
    pub(super) fn retry_machine_list_page(&mut self, ctx: &Context) {
        self.autoscaler.machine_list.page_failed(ctx.now.monotonic_ms, &ctx.settings);
    }

    /// Takes in the whole list.
    fn take_machine_list(&mut self, ctx: &mut Context, list: Vec<ListedMachine>) {
        self.determine_owned_machines(ctx, &list);
        self.warn_if_too_small(ctx);
        for listed in list {
            self.take_listed_machine(ctx, listed);
        }
    }

    /// When the service first begins, what is up is owned. Lists lag: an empty one counts only later.
    fn determine_owned_machines(&mut self, ctx: &mut Context, list: &[ListedMachine]) {
        let leading_ms = ctx.now.monotonic_ms.saturating_sub(self.elected_at) as f64;
        let settled = leading_ms > ctx.settings.machine_list_lag_s * (LAGS_BETWEEN_LISTS * 1000.0);
        if self.autoscaler.owned.is_known() || (list.is_empty() && !settled) {
            return;
        }
        let owned: BTreeSet<String> = list
            .iter()
            .filter(|machine| !machine.spot && machine.status == ListedMachineStatus::Running)
            .map(|machine| machine.id.clone())
            .collect();
        ctx.emit(Event::OwnedMachinesRecorded { machines: owned.len() });
        self.store.record_owned_machines(&owned, ctx.limits.max_value_bytes());
        self.autoscaler.owned.determine(owned);
    }

    fn take_listed_machine(&mut self, ctx: &Context, listed: ListedMachine) {
        let id: Id = listed.id.as_str().into();
        let owned = self.autoscaler.owned.contains(&listed.id);
        if !self.fleet.machines.contains_key(&id) {
            // A machine that was returned lately may still be listed. It is taken for new and found
            // silent; its return is answered 200 again.
            let mut machine = self.new_machine(ctx, &id, &listed.machine_type, &listed.zone, listed.spot, owned);
            let age_ms = (listed.age_s.clamp(0.0, MAX_AGE_S) * 1000.0) as u64;
            machine.rented_at_ms = ctx.now.wall_ms.saturating_sub(age_ms);
            // Known by the list only: it is recorded when its agent is heard.
            self.fleet.machines.insert(machine);
        }
        self.set_ownership(&id, owned);
        let Some(machine) = self.fleet.machines.get_mut(&id) else { return };
        machine.lifecycle.listed = true;
        if machine.agent.endpoint.is_empty() {
            machine.agent.endpoint = listed.endpoint;
        }
        if listed.status == ListedMachineStatus::Failed {
            machine.lifecycle.scale_in_wanted = true;
        }
    }

    /// Whether a machine is owned became known.
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

    /// Names, once, the settings that are too small for the machines owned and the most that the teams'
    /// limits allow.
    fn warn_if_too_small(&mut self, ctx: &mut Context) {
        let (Some(owned), Some(catalog)) = (self.autoscaler.owned.count(), &ctx.catalog) else { return };
        if std::mem::replace(&mut self.autoscaler.capacity_checked, true) {
            return;
        }
        let most = capacity::max_machines(&ctx.settings, catalog).unwrap_or(0);
        for warning in capacity::insufficient_settings(&ctx.settings, most.max(owned as u32)) {
            ctx.emit(Event::SettingTooSmall(warning));
        }
    }
}

#[cfg(test)]
mod tests;
