//! The cloud: types, hires, returns and a lagging list.

use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, ListedMachine, ListedMachineStatus};
use std::collections::BTreeMap;

/// Machines on a page of the list in the scenarios.
const SMALL_PAGE: usize = 5;

/// A machine that the cloud has given out.
#[derive(Debug, Clone)]
pub struct Rented {
    /// Name.
    pub id: String,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Since when.
    pub since: u64,
    /// When it is up; never if `None`.
    pub up_at: Option<u64>,
}

/// The stand-in.
#[derive(Default)]
pub struct Cloud {
    /// Types.
    pub catalog: Catalog,
    /// What is left by type, zone and kind.
    pub capacity: BTreeMap<(String, String, bool), u32>,
    /// What is out.
    pub machines: BTreeMap<String, Rented>,
    scale_outs: BTreeMap<String, Vec<String>>,
    count: u32,
    past: Vec<(u64, Vec<ListedMachine>)>,
    /// How old lists are.
    pub batch_lag_ms: u64,
    /// Machines on a page of the list; 0 for the small pages of the scenarios, so that paging is played.
    pub page_size: usize,
    /// Out of order.
    pub down: bool,
    /// Machines hired from now on never come up.
    pub duds: u32,
}

impl Cloud {
    /// Gives out a machine that is up at `up_at`.
    pub fn give(&mut self, now: u64, machine_type: &str, zone: &str, spot: bool, up_at: Option<u64>) -> String {
        self.count += 1;
        let id = format!("vm-{:06}", self.count);
        let m =
            Rented { id: id.clone(), machine_type: machine_type.into(), zone: zone.into(), spot, since: now, up_at };
        self.machines.insert(id.clone(), m);
        id
    }

    /// Carries out a request. The names of returned machines are in the second part.
    pub fn handle(&mut self, now: u64, request: CloudRequest) -> (Result<CloudReply, RequestError>, Vec<String>) {
        if self.down {
            return (Err(RequestError::Unavailable), Vec::new());
        }
        let reply = match request {
            CloudRequest::Catalog => CloudReply::Catalog(self.catalog.clone()),
            CloudRequest::ScaleOut(h) => {
                if let Some(old) = self.scale_outs.get(&h.request) {
                    return (Ok(CloudReply::ScaledOut(old.clone())), Vec::new());
                }
                let key = (h.machine_type.clone(), h.zone.clone(), h.spot);
                let left = self.capacity.get(&key).copied().unwrap_or(0);
                let n = left.min(h.count);
                if n == 0 {
                    CloudReply::NoCapacity
                } else {
                    self.capacity.insert(key, left - n);
                    let boot = self.catalog.machine_type(&h.machine_type).map_or(0.0, |f| f.boot_s);
                    let names: Vec<String> = (0..n)
                        .map(|i| {
                            let dud = self.duds > 0;
                            self.duds = self.duds.saturating_sub(1);
                            let up = now + (boot * 1000.0 * (0.7 + f64::from(i) * 0.1)) as u64;
                            self.give(now, &h.machine_type, &h.zone, h.spot, (!dud).then_some(up))
                        })
                        .collect();
                    self.scale_outs.insert(h.request, names.clone());
                    CloudReply::ScaledOut(names)
                }
            }
            CloudRequest::ScaleIn(names) => {
                for n in &names {
                    self.take(n);
                }
                return (Ok(CloudReply::ScaledIn), names);
            }
            CloudRequest::List { after } => {
                let seen = self.past.iter().rev().find(|(t, _)| *t + self.batch_lag_ms <= now);
                let all = seen.map(|(_, l)| l.clone()).unwrap_or_default();
                let mut machines: Vec<ListedMachine> = all.into_iter().filter(|m| m.id > after).collect();
                let size = if self.page_size > 0 { self.page_size } else { SMALL_PAGE };
                let truncated = machines.len() > size;
                machines.truncate(size);
                CloudReply::MachineList(ListPage { machines, truncated })
            }
        };
        (Ok(reply), Vec::new())
    }

    /// Takes a machine back, its capacity too.
    pub fn take(&mut self, id: &str) {
        if let Some(m) = self.machines.remove(id) {
            *self.capacity.entry((m.machine_type, m.zone, m.spot)).or_default() += 1;
        }
    }

    /// Remembers what the list shows now.
    pub fn turn(&mut self, now: u64) {
        if self.past.last().is_some_and(|(t, _)| now < t + 500) {
            return;
        }
        let list = self
            .machines
            .values()
            .map(|m| ListedMachine {
                id: m.id.clone(),
                endpoint: m.id.clone(),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                status: if m.up_at.is_some_and(|t| t <= now) {
                    ListedMachineStatus::Running
                } else {
                    ListedMachineStatus::Booting
                },
                age_s: (now - m.since) as f64 / 1000.0,
            })
            .collect();
        self.past.push((now, list));
        // What is older than the newest that may be shown is never shown again.
        let shown = self.past.iter().rposition(|(t, _)| *t + self.batch_lag_ms <= now).unwrap_or(0);
        self.past.drain(..shown);
    }
}
