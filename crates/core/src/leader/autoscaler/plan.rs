//! Scale-out plans: the cheapest machines for the demand that neither free capacity nor requested and booting machines
//! cover.

use crate::leader::autoscaler::demand::demand;
use crate::leader::autoscaler::offer_selection::{ZoneMarket, cheapest_offer};
use crate::leader::autoscaler::offers::Offer;
use crate::leader::autoscaler::view::ScaleOutView;
use crate::leader::scheduler::constraints::{allows, zone_headroom};
use crate::model::{Id, Job, Machine};
use shaleshunt_wire::{MAX_MACHINES_PER_SCALE_OUT, Resources};
use std::collections::BTreeMap;

/// Number of requests that a round may always make, even if the cloud's request rate allows fewer.
const MIN_REQUESTS_PER_ROUND: u32 = 3;

/// Number of machines to request of one offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedRequest {
    pub(super) offer: Offer,
    pub(super) count: u32,
}

/// Result of a round of the autoscaler.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ScaleOutPlan {
    /// Requests, in the order in which they are sent.
    pub(super) requests: Vec<PlannedRequest>,
    /// Machines whose free capacity the demand uses.
    pub(super) needed_machines: Vec<Id>,
}

/// Plans a round. Waiting and expected tasks first use spare capacity; for the rest the cheapest offers are rented.
pub(super) fn plan_scale_out(view: &ScaleOutView) -> ScaleOutPlan {
    let demand = demand(view);
    view.scheduling.work.count_autoscaler_run();
    view.scheduling.work.count_autoscaler_machines_examined(view.scheduling.machines.len());
    let mut planner = Planner::new(view, &demand);
    for job in demand {
        planner.cover_job(job);
    }
    planner.plan
}

/// Spare capacity of a schedulable, booting or requested machine.
struct SpareCapacity {
    offer: Offer,
    free: Resources,
    /// The machine, until the plan uses it for the first time; absent for a requested machine.
    machine: Option<Id>,
}

struct Planner<'a, 'b> {
    view: &'b ScaleOutView<'a>,
    spare: Vec<SpareCapacity>,
    /// Entries of `spare` before this index cannot hold even the smallest task.
    first_usable: usize,
    smallest_cores: i64,
    team_usage: BTreeMap<String, Resources>,
    remaining_machines: u32,
    max_requests: u32,
    machines_by_market: BTreeMap<ZoneMarket, u32>,
    plan: ScaleOutPlan,
}

impl<'a, 'b> Planner<'a, 'b> {
    fn new(view: &'b ScaleOutView<'a>, demand: &[&Job]) -> Planner<'a, 'b> {
        let tuning = view.scheduling.tuning;
        let requests_per_round =
            view.scheduling.settings.cloud_rps * tuning.autoscaler_interval_s * tuning.scale_out_request_share;
        let max_requests = requests_per_round.max(1.0) as u32;
        Planner {
            view,
            spare: spare_capacity(view),
            first_usable: 0,
            smallest_cores: demand.iter().map(|job| job.need.cores).min().unwrap_or(0),
            team_usage: view.scheduling.scheduler.usage().by_team().clone(),
            remaining_machines: max_requests * MAX_MACHINES_PER_SCALE_OUT,
            max_requests,
            machines_by_market: machines_by_market(view),
            plan: ScaleOutPlan::default(),
        }
    }

    /// Finds capacity for the job's waiting tasks, within its team's quota.
    fn cover_job(&mut self, job: &Job) {
        let Some(quota) = self.view.scheduling.settings.teams.get(&job.spec.team) else { return };
        let used = self.team_usage.entry(job.spec.team.clone()).or_default();
        let tasks = job.waiting_task_count().min(quota.max_tasks(used, &job.need));
        let uncovered = self.use_spare(job, tasks);
        self.rent(job, uncovered);
    }

    /// Assigns spare capacity to up to `tasks` tasks. Returns how many found none.
    fn use_spare(&mut self, job: &Job, tasks: u32) -> u32 {
        let mut remaining = tasks;
        let mut by_zone = ZoneTasks::default();
        while self.spare.get(self.first_usable).is_some_and(|spare| spare.free.cores < self.smallest_cores) {
            self.first_usable += 1;
        }
        for spare in &mut self.spare[self.first_usable..] {
            self.view.scheduling.work.count_autoscaler_machines_examined(1);
            if remaining == 0 {
                break;
            }
            if !spare.free.fits(&job.need) || !allows(job, spare.offer.kind()) {
                continue;
            }
            let fitting = spare.free.fit_count(&job.need, i64::from(remaining)) as u32;
            let placed = by_zone.place(job, &spare.offer.zone, fitting);
            if placed == 0 {
                continue;
            }
            spare.free.add(&job.need, -i64::from(placed));
            remaining -= placed;
            self.plan.needed_machines.extend(spare.machine.take());
        }
        self.add_team_usage(job, tasks - remaining);
        remaining
    }

    /// Rents machines for the tasks, as long as there are offers and the round may request more machines.
    fn rent(&mut self, job: &Job, tasks: u32) {
        let mut remaining = tasks;
        while remaining > 0 && self.remaining_machines > 0 {
            let Some(offer) = cheapest_offer(self.view, job, &self.machines_by_market) else { break };
            let placed = self.rent_machine(job, remaining, &offer);
            remaining = remaining.saturating_sub(placed);
            if !self.add_to_requests(offer) {
                break;
            }
        }
    }

    /// Adds a machine of this offer to the spare capacity. Returns how many of the tasks it holds.
    fn rent_machine(&mut self, job: &Job, tasks: u32, offer: &Offer) -> u32 {
        let machine_type = self.view.catalog.machine_type(&offer.machine_type);
        let mut free = machine_type.map(|machine_type| machine_type.resources()).unwrap_or_default();
        let fitting = free.fit_count(&job.need, i64::from(tasks)) as u32;
        let placed = fitting.min(zone_headroom(job, &offer.zone)).max(1);
        free.add(&job.need, -i64::from(placed));
        self.spare.push(SpareCapacity { offer: offer.clone(), free, machine: None });
        self.add_team_usage(job, placed);
        self.remaining_machines -= 1;
        let market = ZoneMarket { zone: offer.zone.clone(), spot: offer.spot };
        *self.machines_by_market.entry(market).or_default() += 1;
        placed
    }

    /// Adds one machine to a request for this offer, or to a new request. Returns false if the round may make no
    /// further request.
    fn add_to_requests(&mut self, offer: Offer) -> bool {
        let requests = &mut self.plan.requests;
        let can_grow =
            |planned: &&mut PlannedRequest| planned.offer == offer && planned.count < MAX_MACHINES_PER_SCALE_OUT;
        if let Some(planned) = requests.iter_mut().find(can_grow) {
            planned.count += 1;
            return true;
        }
        if requests.len() as u32 >= self.max_requests.max(MIN_REQUESTS_PER_ROUND) {
            return false;
        }
        requests.push(PlannedRequest { offer, count: 1 });
        true
    }

    fn add_team_usage(&mut self, job: &Job, tasks: u32) {
        self.team_usage.entry(job.spec.team.clone()).or_default().add(&job.need, i64::from(tasks));
    }
}

/// Number of tasks of one job that were assigned spare capacity, by zone.
#[derive(Default)]
struct ZoneTasks {
    by_zone: BTreeMap<String, u32>,
}

impl ZoneTasks {
    /// Places as many of the `fitting` tasks in the zone as the job's zone rules allow beside those placed so far, and
    /// returns their number.
    fn place(&mut self, job: &Job, zone: &str, fitting: u32) -> u32 {
        if !job.spec.spread_zones && !job.spec.single_zone {
            return fitting;
        }
        let elsewhere = self.by_zone.iter().any(|(other, tasks)| *tasks > 0 && other != zone);
        if job.spec.single_zone && elsewhere {
            return 0;
        }
        let in_zone = self.by_zone.get(zone).copied().unwrap_or(0);
        let placed = fitting.min(zone_headroom(job, zone).saturating_sub(in_zone));
        if placed > 0 {
            self.by_zone.insert(zone.to_string(), in_zone + placed);
        }
        placed
    }
}

/// Collects spare capacity, the fullest machines first, so that a machine that is not needed stays empty and is
/// returned.
fn spare_capacity(view: &ScaleOutView) -> Vec<SpareCapacity> {
    let machines = view.scheduling.machines.values().filter(|machine| is_usable_soon(view, machine));
    let mut spare: Vec<SpareCapacity> = machines
        .map(|machine| SpareCapacity {
            offer: Offer { machine_type: machine.machine_type.clone(), zone: machine.zone.clone(), spot: machine.spot },
            free: machine.free(),
            machine: Some(machine.id.clone()),
        })
        .collect();
    for request in view.scale_outs.unanswered() {
        let Some(machine_type) = view.catalog.machine_type(&request.machine_type) else { continue };
        let offer =
            Offer { machine_type: request.machine_type.clone(), zone: request.zone.clone(), spot: request.spot };
        let free = machine_type.resources();
        spare.extend((0..request.count).map(|_| SpareCapacity { offer: offer.clone(), free, machine: None }));
    }
    spare.retain(|spare| spare.free.cores > 0 && spare.free.memory > 0);
    spare.sort_by_key(|spare| spare.free.cores);
    spare
}

/// Whether the machine is schedulable or booting. A machine that boots in a partitioned zone is unusable until the
/// partition ends.
fn is_usable_soon(view: &ScaleOutView, machine: &Machine) -> bool {
    let booting = machine.agent.last_heartbeat_ms.is_none()
        && !machine.lifecycle.scale_in_wanted
        && !view.reachability.is_partitioned(&machine.zone);
    booting || machine.is_schedulable(view.scheduling.now.monotonic_ms, view.scheduling.settings)
}

fn machines_by_market(view: &ScaleOutView) -> BTreeMap<ZoneMarket, u32> {
    let mut machines: BTreeMap<ZoneMarket, u32> = BTreeMap::new();
    for machine in view.scheduling.machines.values() {
        *machines.entry(ZoneMarket { zone: machine.zone.clone(), spot: machine.spot }).or_default() += 1;
    }
    machines
}

#[cfg(test)]
mod tests;
