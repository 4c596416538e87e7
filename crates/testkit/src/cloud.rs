//! The cloud: types, hires, returns and a lagging list.

use shaleshunt_core::IoError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, Listed, ListedStatus};
use std::collections::BTreeMap;

/// Machines on a page of the list in the scenarios.
const SMALL_PAGE: usize = 5;

/// A machine that the cloud has given out.
#[derive(Debug, Clone)]
pub struct Rented {
    /// Name.
    pub id: String,
    /// Type.
    pub frame: String,
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
    hires: BTreeMap<String, Vec<String>>,
    count: u32,
    past: Vec<(u64, Vec<Listed>)>,
    /// How old lists are.
    pub lag_ms: u64,
    /// Machines on a page of the list; 0 for the small pages of the scenarios, so that paging is played.
    pub page_size: usize,
    /// Out of order.
    pub down: bool,
    /// Machines hired from now on never come up.
    pub duds: u32,
}

impl Cloud {
    /// Gives out a machine that is up at `up_at`.
    pub fn give(&mut self, now: u64, frame: &str, zone: &str, spot: bool, up_at: Option<u64>) -> String {
        self.count += 1;
        let id = format!("vm-{:06}", self.count);
        let m = Rented { id: id.clone(), frame: frame.into(), zone: zone.into(), spot, since: now, up_at };
        self.machines.insert(id.clone(), m);
        id
    }

    /// Carries out a request. The names of returned machines are in the second part.
    pub fn handle(&mut self, now: u64, request: CloudRequest) -> (Result<CloudReply, IoError>, Vec<String>) {
        if self.down {
            return (Err(IoError::Refused), Vec::new());
        }
        let reply = match request {
            CloudRequest::Catalog => CloudReply::Catalog(self.catalog.clone()),
            CloudRequest::Hire(h) => {
                if let Some(old) = self.hires.get(&h.hire) {
                    return (Ok(CloudReply::Hired(old.clone())), Vec::new());
                }
                let key = (h.frame.clone(), h.zone.clone(), h.spot);
                let left = self.capacity.get(&key).copied().unwrap_or(0);
                let n = left.min(h.count);
                if n == 0 {
                    CloudReply::NoCapacity
                } else {
                    self.capacity.insert(key, left - n);
                    let boot = self.catalog.frame(&h.frame).map_or(0.0, |f| f.boot_s);
                    let names: Vec<String> = (0..n)
                        .map(|i| {
                            let dud = self.duds > 0;
                            self.duds = self.duds.saturating_sub(1);
                            let up = now + (boot * 1000.0 * (0.7 + f64::from(i) * 0.1)) as u64;
                            self.give(now, &h.frame, &h.zone, h.spot, (!dud).then_some(up))
                        })
                        .collect();
                    self.hires.insert(h.hire, names.clone());
                    CloudReply::Hired(names)
                }
            }
            CloudRequest::Return(names) => {
                for n in &names {
                    self.take(n);
                }
                return (Ok(CloudReply::Returned), names);
            }
            CloudRequest::List { after } => {
                let seen = self.past.iter().rev().find(|(t, _)| *t + self.lag_ms <= now);
                let all = seen.map(|(_, l)| l.clone()).unwrap_or_default();
                let mut machines: Vec<Listed> = all.into_iter().filter(|m| m.id > after).collect();
                let size = if self.page_size > 0 { self.page_size } else { SMALL_PAGE };
                let truncated = machines.len() > size;
                machines.truncate(size);
                CloudReply::Page(ListPage { machines, truncated })
            }
        };
        (Ok(reply), Vec::new())
    }

    /// Takes a machine back, its capacity too.
    pub fn take(&mut self, id: &str) {
        if let Some(m) = self.machines.remove(id) {
            *self.capacity.entry((m.frame, m.zone, m.spot)).or_default() += 1;
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
            .map(|m| Listed {
                id: m.id.clone(),
                endpoint: m.id.clone(),
                frame: m.frame.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                status: if m.up_at.is_some_and(|t| t <= now) { ListedStatus::Running } else { ListedStatus::Booting },
                age_s: (now - m.since) as f64 / 1000.0,
            })
            .collect();
        self.past.push((now, list));
        // What is older than the newest that may be shown is never shown again.
        let shown = self.past.iter().rposition(|(t, _)| *t + self.lag_ms <= now).unwrap_or(0);
        self.past.drain(..shown);
    }
}
