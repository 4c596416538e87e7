//! Candidate machines for tasks of a job: which machines can take a task, and how well each one suits the job.

use crate::leader::scheduler::constraints::{MachineKind, allows, zone_headroom};
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Job, Machine};
use shaleshunt_wire::user::Priority;

/// Limit on placements on one machine: a heartbeat and its reply list all of them, at up to 128 bytes each, in one
/// body.
const MAX_PLACEMENTS_PER_MACHINE: usize = shaleshunt_wire::MAX_BODY_BYTES / 128;

/// A job avoids the machines on which its tasks failed while they are fewer than this; with more of them the job
/// itself is at fault.
const MIN_FAILED_MACHINES_TO_BLAME_JOB: usize = 3;

/// The extent of a candidate search.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Search<'a> {
    /// The only zone to search; `None` for all zones.
    pub(crate) zone: Option<&'a str>,
    /// Number of candidates after which the search ends; `None` examines all machines.
    pub(crate) max_candidates: Option<usize>,
}

/// Availability of the image of a job on a machine, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    Present,
    /// Another placement on the machine is already fetching the image.
    Fetching,
    Absent,
}

/// The properties of a machine that matter most to the job, best first. All candidates of one search have the same
/// variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preference {
    /// Order for a job whose start objective is shorter than its image fetch.
    ImageFirst { image: ImageState, other_kind: bool },
    /// Order for other jobs: the preferred kind of machine, spot or not, then machines that hold the image.
    KindFirst { other_kind: bool, fetch_needed: bool },
}

/// A machine that can take tasks of the job.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) machine: &'a Machine,
    /// Whether the machine has been in quarantine and is still on probation.
    pub(super) suspect: bool,
    pub(super) preference: Preference,
    /// Free cores, in thousandths, or their negative if the emptiest machine is preferred. Smaller values are
    /// preferred.
    pub(super) free_cores_rank: i64,
    /// Number of further tasks of the job that fit.
    pub(super) capacity: u32,
    /// Number of tasks of the job on the machine; zero unless the job spreads its tasks.
    pub(super) tasks_of_job: usize,
}

/// Whether tasks of the job are spread over machines and zones: replicas of services, and jobs that ask for spread
/// zones.
pub(super) fn spreads_tasks(job: &Job) -> bool {
    job.is_service() || job.spec.spread_zones
}

/// Filters the machines for one job and rates those that remain.
struct Filter<'a, 'b> {
    view: &'b SchedulingView<'a>,
    job: &'b Job,
    /// Number of tasks to place.
    tasks: u32,
    search: Search<'b>,
    prefers_image: bool,
    prefers_spot: bool,
    prefers_emptiest: bool,
}

/// Returns machines that can take tasks of the job, in the order examined, up to the limit of the search.
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
        if search.max_candidates.is_some_and(|max| candidates.len() >= max) {
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
        let prefers_image = view.must_start_before_fetch(job);
        let is_short = || view.estimates.run_s(job) < view.scheduler.ranks.spot_estimate_limit_s;
        Filter {
            view,
            job,
            tasks,
            search,
            prefers_image,
            // Offloaded jobs and short jobs go to spot machines; other spot jobs avoid machines that the cloud may
            // reclaim.
            prefers_spot: job.spec.spot && (job.scheduling.offloaded || is_short()),
            // Work that may be preempted is spread over machines. More urgent work then finds room beside it on a
            // machine that holds its image.
            prefers_emptiest: job.scheduling.priority <= Priority::Normal && !prefers_image && !job.is_gang(),
        }
    }

    /// The machines to examine. A limited search examines the best machines by free cores first.
    fn machines(&self) -> Box<dyn Iterator<Item = &'a Machine> + 'a> {
        let machines = self.view.machines;
        let cores = self.job.need.cores;
        match (self.search.max_candidates, self.prefers_emptiest) {
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

    /// Whether the job avoids this machine because of failures or slow tasks there.
    fn avoids(&self, machine: &Machine) -> bool {
        let failed_on = &self.job.failures.machines;
        let failed_here = failed_on.len() < MIN_FAILED_MACHINES_TO_BLAME_JOB && failed_on.contains(&machine.id);
        let on_probation = machine.health.quarantine_count > 0 && !machine.placements.is_empty();
        let slow = machine.health.slow_until_ms > self.view.now.monotonic_ms && !self.job.is_service();
        failed_here || on_probation || slow
    }

    fn rate(&self, machine: &'a Machine) -> Candidate<'a> {
        let suspect = machine.health.quarantine_count > 0;
        let free = machine.free();
        let fitting = if suspect { 1 } else { free.fit_count(&self.job.need, i64::from(self.tasks)) as u32 };
        let tasks_of_job = if spreads_tasks(self.job) {
            machine.placements.iter().filter(|p| p.job == self.job.id).count()
        } else {
            0
        };
        Candidate {
            machine,
            suspect,
            preference: self.preference(machine),
            free_cores_rank: if self.prefers_emptiest { -free.cores } else { free.cores },
            capacity: fitting.min((MAX_PLACEMENTS_PER_MACHINE - machine.placements.len()) as u32),
            tasks_of_job,
        }
    }

    fn preference(&self, machine: &Machine) -> Preference {
        let image = image_state(self.job, machine);
        let other_kind = machine.spot != self.prefers_spot;
        if self.prefers_image {
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
