//! Candidate machines for a job's tasks: which machines can take one, and how well each is suited.

use crate::leader::scheduler::constraints::{MachineKind, allows, zone_headroom};
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Job, Machine};
use shaleshunt_wire::user::Priority;

/// Most placements on one machine: a heartbeat and its reply name each of them in one body.
const MAX_PLACEMENTS_PER_MACHINE: usize = shaleshunt_wire::MAX_BODY_BYTES / 128;

/// A machine on which fewer than so many tasks of a job failed is avoided by that job; after more
/// failures the fault is the job's own.
const FAILED_MACHINES_AVOIDED: usize = 3;

/// Where candidates are looked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Search<'a> {
    /// The only zone to look in, if there is one.
    pub(crate) zone: Option<&'a str>,
    /// So many candidates are enough; all machines are examined without a limit.
    pub(crate) max_candidates: Option<usize>,
}

/// How a machine has the job's image, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    Present,
    /// Another placement there is having it fetched.
    Fetching,
    Absent,
}

/// What matters most about a machine for the job, best first. All candidates of one search have the
/// same variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preference {
    /// The job is to start sooner than its image can be fetched.
    ImageFirst { image: ImageState, other_kind: bool },
    /// Spot jobs on spot machines and the others elsewhere, then machines that hold the image.
    KindFirst { other_kind: bool, fetch_needed: bool },
}

/// A machine that can take tasks of the job.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) machine: &'a Machine,
    /// On probation after failures.
    pub(super) suspect: bool,
    pub(super) preference: Preference,
    /// Free cores, smaller first; negated where the emptiest machine is to come first.
    pub(super) free_cores_rank: i64,
    /// How many further tasks of the job fit.
    pub(super) capacity: u32,
    /// How many tasks of the job it has already; counted only where tasks keep apart.
    pub(super) tasks_of_job: usize,
}

/// Whether the job's tasks keep apart from each other: replicas of services, and jobs spread over zones.
pub(super) fn keeps_apart(job: &Job) -> bool {
    job.is_service() || job.spec.spread_zones
}

/// Filters machines for one job and rates what is left.
struct Filter<'a, 'b> {
    view: &'b SchedulingView<'a>,
    job: &'b Job,
    /// Most tasks to be placed.
    tasks: u32,
    search: Search<'b>,
    image_first: bool,
    prefers_spot: bool,
    emptiest_first: bool,
}

/// Machines that can take tasks of the job, at most as many as the search allows, in the order examined.
pub(super) fn find_candidates<'a>(
    view: &SchedulingView<'a>,
    job: &Job,
    tasks: u32,
    search: Search,
) -> Vec<Candidate<'a>> {
    let filter = Filter::new(view, job, tasks, search);
    let mut candidates = Vec::new();
    let mut examined = 0;
    for machine in filter.machines() {
        if search.max_candidates.is_some_and(|most| candidates.len() >= most) {
            break;
        }
        examined += 1;
        if filter.accepts(machine) {
            candidates.push(filter.rate(machine));
        }
    }
    view.work.count_machines_examined(examined);
    candidates
}

impl<'a, 'b> Filter<'a, 'b> {
    fn new(view: &'b SchedulingView<'a>, job: &'b Job, tasks: u32, search: Search<'b>) -> Filter<'a, 'b> {
        let image_first = view.must_start_before_fetch(job);
        let is_short = || view.estimates.run_s(job) < view.scheduler.ranks.spot_estimate_limit_s;
        Filter {
            view,
            job,
            tasks,
            search,
            image_first,
            // Offloaded jobs go to rented machines, and so do short ones; the rest keeps off machines
            // that the cloud may take back.
            prefers_spot: job.spec.spot && (job.scheduling.offloaded || is_short()),
            // What more urgent work may preempt is spread out, so that such work finds room beside it
            // on a machine that holds its image.
            emptiest_first: job.scheduling.priority <= Priority::Normal && !image_first && !job.is_gang(),
        }
    }

    /// The machines to examine. A limited search takes the best by free cores first.
    fn machines(&self) -> Box<dyn Iterator<Item = &'a Machine> + 'a> {
        let machines = self.view.machines;
        let cores = self.job.need.cores;
        match (self.search.max_candidates, self.emptiest_first) {
            (None, _) => machines.with_free_cores(cores),
            (Some(_), true) => Box::new(machines.emptiest_first(cores)),
            (Some(_), false) => Box::new(machines.fullest_first(cores)),
        }
    }

    fn accepts(&self, machine: &Machine) -> bool {
        machine.free().fits(&self.job.need)
            && machine.is_schedulable(self.view.now.monotonic_ms, self.view.settings)
            && machine.placements.len() < MAX_PLACEMENTS_PER_MACHINE
            && allows(self.job, MachineKind::of(machine))
            && !self.avoids(machine)
            && self.search.zone.is_none_or(|zone| zone == machine.zone)
            && zone_headroom(self.job, &machine.zone) > 0
    }

    /// Whether the job keeps off this machine because of how tasks fare there.
    fn avoids(&self, machine: &Machine) -> bool {
        let failed_on = &self.job.failures.machines;
        let failed_here = failed_on.len() < FAILED_MACHINES_AVOIDED && failed_on.contains(&machine.id);
        let on_probation = machine.health.quarantine_count > 0 && !machine.placements.is_empty();
        let slow = machine.health.slow_until_ms > self.view.now.monotonic_ms && !self.job.is_service();
        failed_here || on_probation || slow
    }

    fn rate(&self, machine: &'a Machine) -> Candidate<'a> {
        let suspect = machine.health.quarantine_count > 0;
        let free = machine.free();
        let fitting = if suspect { 1 } else { free.fit_count(&self.job.need, i64::from(self.tasks)) as u32 };
        let tasks_of_job =
            if keeps_apart(self.job) { machine.placements.iter().filter(|p| p.job == self.job.id).count() } else { 0 };
        Candidate {
            machine,
            suspect,
            preference: self.preference(machine),
            free_cores_rank: if self.emptiest_first { -free.cores } else { free.cores },
            capacity: fitting.min((MAX_PLACEMENTS_PER_MACHINE - machine.placements.len()) as u32),
            tasks_of_job,
        }
    }

    fn preference(&self, machine: &Machine) -> Preference {
        let image = image_state(self.job, machine);
        let other_kind = machine.spot != self.prefers_spot;
        if self.image_first {
            Preference::ImageFirst { image, other_kind }
        } else {
            Preference::KindFirst { other_kind, fetch_needed: image > ImageState::Present }
        }
    }
}

fn image_state(job: &Job, machine: &Machine) -> ImageState {
    if machine.images.contains(job.image) {
        return ImageState::Present;
    }
    let being_fetched = machine.placements.iter().any(|p| p.running_since_ms.is_none() && p.image == job.image);
    if being_fetched { ImageState::Fetching } else { ImageState::Absent }
}
