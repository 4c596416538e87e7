//! Prints the controllers' resource usage at intervals, and kills and restarts controllers at the given times.

use crate::arguments::Arguments;
use crate::controllers::Controller;
use crate::error::LoadTestError;
use crate::fleet::{AgentCounters, Fleet};
use crate::process_usage::ProcessUsage;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two samples, each of which prints a line.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);

/// Usage of all controllers and totals of all agents at one moment.
struct Sample {
    usage: Vec<ProcessUsage>,
    counters: AgentCounters,
}

/// Times still to come, in seconds since the start of the run, in descending order.
struct Schedule(Vec<f64>);

impl Schedule {
    fn new(times: &[f64]) -> Schedule {
        let mut times = times.to_vec();
        times.sort_by(|left, right| right.total_cmp(left));
        Schedule(times)
    }

    /// Removes the earliest time if it has passed, and says so. Any further passed time waits for the next sample.
    fn pop_due(&mut self, elapsed_s: f64) -> bool {
        let is_due = self.0.last().is_some_and(|at| elapsed_s >= *at);
        if is_due {
            self.0.pop();
        }
        is_due
    }
}

/// Samples the controllers and restarts them on schedule.
pub struct Monitor {
    fleet: Rc<Fleet>,
    controllers: Vec<Controller>,
    started_at: Instant,
}

impl Monitor {
    /// Creates a monitor for these controllers; the run starts now.
    pub fn new(fleet: Rc<Fleet>, controllers: Vec<Controller>) -> Monitor {
        Monitor { fleet, controllers, started_at: Instant::now() }
    }

    /// Prints a line per sample until the run is over.
    pub async fn run(&mut self, arguments: &Arguments) -> Result<(), LoadTestError> {
        let mut leader_restarts = Schedule::new(&arguments.end_leader_at);
        let mut full_restarts = Schedule::new(&arguments.end_all_at);
        let mut previous = self.sample();
        while self.elapsed_s() < arguments.seconds {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let sample = self.sample();
            println!("{}", self.usage_line(&previous, &sample));
            let elapsed_s = self.elapsed_s();
            if leader_restarts.pop_due(elapsed_s) {
                self.restart_busiest(elapsed_s, &previous, &sample)?;
            }
            if full_restarts.pop_due(elapsed_s) {
                self.restart_all(elapsed_s)?;
            }
            // Usage is sampled again, as it restarts from 0 with a controller's process.
            previous = Sample { usage: self.usage(), counters: sample.counters };
        }
        Ok(())
    }

    fn elapsed_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn usage(&self) -> Vec<ProcessUsage> {
        self.controllers.iter().map(Controller::usage).collect()
    }

    fn sample(&self) -> Sample {
        Sample { usage: self.usage(), counters: *self.fleet.counters.borrow() }
    }

    /// Restarts the controller that used the most user CPU time since the previous sample. That is the leader, which
    /// does most of the work.
    fn restart_busiest(&mut self, elapsed_s: f64, previous: &Sample, current: &Sample) -> Result<(), LoadTestError> {
        let used_s = |index: &usize| current.usage[*index].user_s - previous.usage[*index].user_s;
        let indices = 0..self.controllers.len();
        let busiest = indices.max_by(|left, right| used_s(left).total_cmp(&used_s(right)));
        if let Some(controller) = busiest.and_then(|index| self.controllers.get_mut(index)) {
            controller.restart()?;
            self.fleet.start_failover_timer();
            println!(
                "{elapsed_s:5.0} s: {} ended and started again, process {}",
                controller.node_name,
                controller.process_id()
            );
        }
        Ok(())
    }

    fn restart_all(&mut self, elapsed_s: f64) -> Result<(), LoadTestError> {
        for controller in &mut self.controllers {
            controller.restart()?;
        }
        self.fleet.start_failover_timer();
        println!("{elapsed_s:5.0} s: all controllers ended and started again");
        Ok(())
    }

    fn usage_line(&self, previous: &Sample, current: &Sample) -> String {
        let usages = previous.usage.iter().zip(&current.usage);
        let controllers: Vec<String> = self
            .controllers
            .iter()
            .zip(usages)
            .map(|(controller, (previous, current))| {
                format!("{} {}", controller.node_name, usage_text(previous, current))
            })
            .collect();
        format!(
            "{:5.0} s: {}; {}",
            self.elapsed_s(),
            controllers.join(", "),
            counters_text(&previous.counters, &current.counters)
        )
    }
}

fn per_second(previous: f64, current: f64) -> f64 {
    (current - previous) / SAMPLE_INTERVAL.as_secs_f64()
}

fn usage_text(previous: &ProcessUsage, current: &ProcessUsage) -> String {
    format!(
        "{:.1}+{:.1} ms/s {:.0} MiB {} sockets",
        per_second(previous.user_s, current.user_s) * 1000.0,
        per_second(previous.system_s, current.system_s) * 1000.0,
        current.resident_mib,
        current.sockets,
    )
}

fn counters_text(previous: &AgentCounters, current: &AgentCounters) -> String {
    format!(
        "a second {:.0} reports, {:.0} redirects, {:.0} calls; {} leases lost",
        per_second(previous.heartbeats as f64, current.heartbeats as f64),
        per_second(previous.redirects as f64, current.redirects as f64),
        per_second(previous.direct_calls as f64, current.direct_calls as f64),
        current.leases_expired,
    )
}
