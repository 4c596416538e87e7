//! Choice of machines for the tasks of a job: bin packing for most jobs, spreading for replicas and spread zones.

use crate::leader::scheduler::candidates::{Candidate, Preference, Search, find_candidates, spreads_tasks};
use crate::leader::scheduler::constraints::{tasks_in_zone, zone_headroom};
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use std::collections::BTreeMap;

/// Returns machines for up to `tasks` further tasks of the job, best first, with one entry per task. One search
/// serves all tasks of the job.
pub(crate) fn find_machines(view: &SchedulingView, job: &Job, tasks: u32, search: Search) -> Vec<Id> {
    let candidates = find_candidates(view, job, tasks, search);
    if spreads_tasks(job) { spread(job, candidates, tasks) } else { pack(job, candidates, tasks, search) }
}

/// Sort key of a machine for tasks that are spread, best first. The fields are compared in the order of their
/// declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SpreadRank {
    suspect: bool,
    preference: Preference,
    tasks_of_job: usize,
    tasks_in_zone: u32,
    rented: bool,
    free_cores_rank: i64,
}

/// Puts each task where the job has the fewest tasks. Zones and machines are ranked again after each task.
fn spread(job: &Job, mut candidates: Vec<Candidate>, tasks: u32) -> Vec<Id> {
    let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in &candidates {
        let zone = candidate.machine.zone.as_str();
        by_zone.entry(zone).or_insert(tasks_in_zone(job, zone));
    }
    let mut found = Vec::new();
    while (found.len() as u32) < tasks {
        let zone_has_room = |zone: &str| by_zone[zone] - tasks_in_zone(job, zone) < zone_headroom(job, zone);
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.capacity > 0 && zone_has_room(&candidate.machine.zone))
            .min_by_key(|candidate| SpreadRank {
                suspect: candidate.suspect,
                preference: candidate.preference,
                tasks_of_job: candidate.tasks_of_job,
                tasks_in_zone: by_zone[candidate.machine.zone.as_str()],
                rented: !candidate.machine.owned,
                free_cores_rank: candidate.free_cores_rank,
            });
        let Some(candidate) = best else { break };
        candidate.capacity -= 1;
        candidate.tasks_of_job += 1;
        *by_zone.entry(&candidate.machine.zone).or_default() += 1;
        found.push(candidate.machine.id.clone());
    }
    found
}

/// Sort key of a machine for tasks that are packed, best first. The fields are compared in the order of their
/// declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PackRank {
    suspect: bool,
    preference: Preference,
    outside_home_zone: bool,
    rented: bool,
    free_cores_rank: i64,
}

/// Fills one machine after the other, starting in the home zone of the job.
fn pack(job: &Job, mut candidates: Vec<Candidate>, tasks: u32, search: Search) -> Vec<Id> {
    if job.spec.single_zone && search.zone.is_none() {
        keep_largest_zone(&mut candidates);
    }
    let home = home_zone(job, &candidates).map(str::to_string);
    candidates.sort_by_key(|candidate| PackRank {
        suspect: candidate.suspect,
        preference: candidate.preference,
        outside_home_zone: Some(&candidate.machine.zone) != home.as_ref(),
        rented: !candidate.machine.owned,
        free_cores_rank: candidate.free_cores_rank,
    });
    let mut found = Vec::new();
    for candidate in candidates {
        let left = tasks - found.len() as u32;
        if left == 0 {
            break;
        }
        found.extend((0..candidate.capacity.min(left)).map(|_| candidate.machine.id.clone()));
    }
    found
}

/// Keeps only the candidates of the zone with the most capacity.
fn keep_largest_zone(candidates: &mut Vec<Candidate>) {
    let mut capacity: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in candidates.iter() {
        *capacity.entry(&candidate.machine.zone).or_default() += candidate.capacity;
    }
    let largest = capacity.into_iter().max_by_key(|(_, capacity)| *capacity).map(|(zone, _)| zone.to_string());
    candidates.retain(|candidate| Some(&candidate.machine.zone) == largest.as_ref());
}

/// Placed tasks of a job in a zone and room for more. The zone with the greatest value is the home zone.
#[derive(Default, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneShare {
    placed: u32,
    capacity: u32,
}

/// Returns the zone in which the tasks of the job are kept together: where the job has the most tasks already,
/// else where most of it fits. A job ends with its last task, so a partitioned zone delays fewer jobs if each has
/// its tasks in one zone.
fn home_zone<'a>(job: &Job, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let mut zones: BTreeMap<&str, ZoneShare> = BTreeMap::new();
    for candidate in candidates {
        let zone = candidate.machine.zone.as_str();
        let share = zones.entry(zone).or_insert(ZoneShare { placed: tasks_in_zone(job, zone), capacity: 0 });
        share.capacity += candidate.capacity;
    }
    zones.into_iter().max_by(|(_, one), (_, other)| one.cmp(other)).map(|(zone, _)| zone)
}

#[cfg(test)]
mod tests;
