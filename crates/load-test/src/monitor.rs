//! Prints what the controllers use, and ends them at the times that were given.

use crate::arguments::Arguments;
use crate::controllers::Controller;
use crate::error::LoadTestError;
use crate::fleet::{Counts, Fleet};
use crate::process_usage::ProcessUsage;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two lines of output.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// What was counted at a time.
struct Sample {
    usage: Vec<ProcessUsage>,
    counts: Counts,
}

/// Times in seconds, of which those that have come are taken out.
struct Schedule(Vec<f64>);

impl Schedule {
    fn new(times: &[f64]) -> Schedule {
        let mut times = times.to_vec();
        times.sort_by(|left, right| right.total_cmp(left));
        Schedule(times)
    }

    /// Whether a time has come; later ones that have come too wait for the next line.
    fn take_due(&mut self, elapsed_s: f64) -> bool {
        let is_due = self.0.last().is_some_and(|at| elapsed_s >= *at);
        if is_due {
            self.0.pop();
        }
        is_due
    }
}

/// The controllers under measurement.
pub struct Monitor {
    fleet: Rc<Fleet>,
    controllers: Vec<Controller>,
    began: Instant,
}

impl Monitor {
    /// Begins to measure these controllers.
    pub fn new(fleet: Rc<Fleet>, controllers: Vec<Controller>) -> Monitor {
        Monitor { fleet, controllers, began: Instant::now() }
    }

    /// Prints a line each interval until the run is over.
    pub async fn run(&mut self, arguments: &Arguments) -> Result<(), LoadTestError> {
        let mut ends_of_leader = Schedule::new(&arguments.end_leader_at);
        let mut ends_of_all = Schedule::new(&arguments.end_all_at);
        let mut before = self.sample();
        while self.elapsed_s() < arguments.seconds {
            tokio::time::sleep(LINE_INTERVAL).await;
            let sample = self.sample();
            println!("{}", self.line(&before, &sample));
            let elapsed_s = self.elapsed_s();
            if ends_of_leader.take_due(elapsed_s) {
                self.restart_busiest(elapsed_s, &before, &sample)?;
            }
            if ends_of_all.take_due(elapsed_s) {
                self.restart_all(elapsed_s)?;
            }
            // Usage counts from a process's last start.
            before = Sample { usage: self.usage(), counts: sample.counts };
        }
        Ok(())
    }

    fn elapsed_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn usage(&self) -> Vec<ProcessUsage> {
        self.controllers.iter().map(Controller::usage).collect()
    }

    fn sample(&self) -> Sample {
        Sample { usage: self.usage(), counts: *self.fleet.counts.borrow() }
    }

    /// The leader does most of the work, so it is the one that used most.
    fn restart_busiest(&mut self, elapsed_s: f64, before: &Sample, now: &Sample) -> Result<(), LoadTestError> {
        let used_s = |index: &usize| now.usage[*index].user_s - before.usage[*index].user_s;
        let indices = 0..self.controllers.len();
        let busiest = indices.max_by(|left, right| used_s(left).total_cmp(&used_s(right)));
        if let Some(controller) = busiest.and_then(|index| self.controllers.get_mut(index)) {
            controller.restart()?;
            self.fleet.begin_failover();
            println!(
                "{elapsed_s:5.0} s: {} ended and started again, process {}",
                controller.node_name,
                controller.id()
            );
        }
        Ok(())
    }

    fn restart_all(&mut self, elapsed_s: f64) -> Result<(), LoadTestError> {
        for controller in &mut self.controllers {
            controller.restart()?;
        }
        self.fleet.begin_failover();
        println!("{elapsed_s:5.0} s: all controllers ended and started again");
        Ok(())
    }

    fn line(&self, before: &Sample, now: &Sample) -> String {
        let usages = before.usage.iter().zip(&now.usage);
        let controllers: Vec<String> = self
            .controllers
            .iter()
            .zip(usages)
            .map(|(controller, (before, now))| format!("{} {}", controller.node_name, usage_text(before, now)))
            .collect();
        format!("{:5.0} s: {}; {}", self.elapsed_s(), controllers.join(", "), counts_text(&before.counts, &now.counts))
    }
}

fn per_second(before: f64, now: f64) -> f64 {
    (now - before) / LINE_INTERVAL.as_secs_f64()
}

fn usage_text(before: &ProcessUsage, now: &ProcessUsage) -> String {
    format!(
        "{:.1}+{:.1} ms/s {:.0} MiB {} sockets",
        per_second(before.user_s, now.user_s) * 1000.0,
        per_second(before.system_s, now.system_s) * 1000.0,
        now.resident_mib,
        now.sockets,
    )
}

fn counts_text(before: &Counts, now: &Counts) -> String {
    format!(
        "a second {:.0} reports, {:.0} redirects, {:.0} calls; {} leases lost",
        per_second(before.heartbeats as f64, now.heartbeats as f64),
        per_second(before.redirects as f64, now.redirects as f64),
        per_second(before.calls as f64, now.calls as f64),
        now.leases_lost,
    )
}
