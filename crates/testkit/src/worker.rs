//! A worker: session, lease, token and tasks.

use shaleshunt_wire::user::{JobKind, Submission};
use shaleshunt_wire::worker::*;
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// A task on the machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Attempt.
    pub attempt: Attempt,
    /// State.
    pub status: TaskStatus,
    /// Why it ended.
    pub cause: Option<ExitCause>,
    need: Resources,
    image: String,
    /// When it has its image.
    image_at: u64,
    /// When it ends by itself.
    ends_at: Option<u64>,
    /// It started while the machine failed everything.
    fails: bool,
}

/// Something that the checker wants to know.
#[derive(Debug, Clone)]
pub enum Event {
    /// A task is on the machine, with its image.
    On(String, Attempt),
    /// A task is off the machine.
    Off(String, Attempt),
    /// A task has completed.
    Completed(String),
}

/// The stand-in.
pub struct Worker {
    /// Name, also its address.
    pub id: String,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    resources: Resources,
    fetch: f64,
    /// Session.
    pub agent_epoch: AgentEpoch,
    sequence: u64,
    /// Highest token seen.
    pub token: FencingToken,
    /// Tasks by name.
    pub tasks: BTreeMap<String, Vec<Task>>,
    images: BTreeSet<String>,
    /// When the last answered report was sent.
    answered: u64,
    lease_ms: u64,
    /// Report under way: when it was sent, its session and number.
    pub waiting: Option<(u64, AgentEpoch, u64)>,
    /// Controller reported to.
    pub node: usize,
    /// When to report next.
    pub report_at: u64,
    changed: bool,
    last_report: u64,
    /// Seconds until it is taken.
    pub preemption_notice_s: Option<f64>,
    /// Neither runs nor talks until then.
    pub hangs_until: u64,
    /// Fails every task that starts until then.
    pub quarantined_until: u64,
    /// Tasks that start until then take so many times as long.
    pub slow: (u64, u32),
    /// Events since last asked.
    pub events: Vec<Event>,
}

impl Worker {
    /// A worker that has just come up.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        id: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        resources: Resources,
        fetch: f64,
        lease_ms: u64,
        now: u64,
    ) -> Self {
        Worker {
            id: id.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            resources,
            fetch,
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken::default(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            answered: now,
            lease_ms,
            waiting: None,
            node: 0,
            report_at: now,
            changed: false,
            last_report: 0,
            preemption_notice_s: None,
            hangs_until: 0,
            quarantined_until: 0,
            slow: (0, 1),
            events: Vec::new(),
        }
    }

    /// Room that no task takes.
    pub fn free(&self) -> Resources {
        let mut free = self.resources;
        for t in self.tasks.values().flatten().filter(|t| t.status != TaskStatus::Exited) {
            free.add(&t.need, -1);
        }
        free
    }

    /// The report as of now.
    pub fn report(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .flat_map(|(name, list)| {
                list.iter().map(move |t| TaskReport {
                    task: name.clone(),
                    attempt: t.attempt,
                    status: t.status,
                    cause: t.cause,
                    checkpointed: None,
                })
            })
            .collect();
        Heartbeat {
            machine: self.id.clone(),
            endpoint: self.id.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            preemption_notice_s: self.preemption_notice_s,
            tasks,
        }
    }

    /// Begins a report if one is due.
    pub fn begin_report(&mut self, now: u64, interval: u64) -> Option<Heartbeat> {
        let due = now >= self.report_at || self.changed && now >= self.last_report + 500;
        if self.waiting.is_some() || !due {
            return None;
        }
        let r = self.report();
        self.waiting = Some((now, r.agent_epoch, r.sequence));
        (self.changed, self.last_report, self.report_at) = (false, now, now + interval);
        Some(r)
    }

    /// An answered report: whether it was taken.
    pub fn answer(
        &mut self,
        now: u64,
        sent: (u64, AgentEpoch, u64),
        reply: HeartbeatReply,
        jobs: &BTreeMap<String, Submission>,
    ) {
        if self.waiting != Some(sent) {
            return;
        }
        self.waiting = None;
        if sent.1 != self.agent_epoch || reply.token < self.token {
            return;
        }
        self.changed |= reply.token > self.token;
        self.token = reply.token;
        self.answered = sent.0;
        for o in reply.commands {
            self.execute(now, o, jobs);
        }
    }

    /// Direct commands: the report after them, and whether they were executed.
    pub fn direct_commands(
        &mut self,
        now: u64,
        o: DirectCommands,
        jobs: &BTreeMap<String, Submission>,
    ) -> (bool, Heartbeat) {
        let fine = o.token >= self.token && o.agent_epoch == self.agent_epoch;
        if fine {
            self.changed |= o.token > self.token;
            self.token = o.token;
            for order in o.commands {
                self.execute(now, order, jobs);
            }
        }
        (fine, self.report())
    }

    fn execute(&mut self, now: u64, order: TaskCommand, jobs: &BTreeMap<String, Submission>) {
        match order {
            TaskCommand::Run { task, attempt } => {
                let held = self.tasks.get(&task).cloned().unwrap_or_default();
                if held.iter().any(|t| t.attempt == attempt) {
                    return;
                }
                self.changed = true;
                let job = split_task_name(&task).and_then(|(j, n)| jobs.get(j).filter(|s| n < s.tasks));
                let mut used = Resources::default();
                for t in self.tasks.values().flatten().filter(|t| t.status != TaskStatus::Exited) {
                    used.add(&t.need, 1);
                }
                let refusal = match job {
                    None => Some(ExitCause::UnknownTask),
                    Some(_) if held.iter().any(|t| t.status != TaskStatus::Exited) => Some(ExitCause::AttemptConflict),
                    Some(s) => {
                        used.add(&s.need(), 1);
                        (!self.resources.fits(&used)).then_some(ExitCause::InsufficientResources)
                    }
                };
                let (need, image, gb) =
                    job.map_or((Resources::default(), String::new(), 0.0), |s| (s.need(), s.image.clone(), s.image_gb));
                let fetch = if self.images.contains(&image) { 0.0 } else { gb / self.fetch * 1000.0 };
                let status = if refusal.is_some() { TaskStatus::Exited } else { TaskStatus::Fetching };
                let image_at = now + fetch as u64;
                let t = Task { attempt, status, cause: refusal, need, image, image_at, ends_at: None, fails: false };
                self.tasks.entry(task).or_default().push(t);
            }
            TaskCommand::Stop { task: name, attempt, .. } => {
                let task = self.tasks.get_mut(&name).and_then(|l| l.iter_mut().find(|t| t.attempt == attempt));
                if let Some(t) = task.filter(|t| t.status != TaskStatus::Exited) {
                    if t.status == TaskStatus::Running {
                        self.events.push(Event::Off(name, attempt));
                    }
                    t.status = TaskStatus::Exited;
                    t.cause = Some(ExitCause::Stopped);
                    self.changed = true;
                }
            }
            TaskCommand::Forget { task, attempt } => {
                if let Some(list) = self.tasks.get_mut(&task) {
                    list.retain(|t| t.attempt != attempt || t.status != TaskStatus::Exited);
                    if list.is_empty() {
                        self.tasks.remove(&task);
                    }
                }
            }
        }
    }

    /// Lets time pass: images arrive, tasks end, the lease runs out.
    pub fn turn(
        &mut self,
        now: u64,
        jobs: &BTreeMap<String, Submission>,
        completed: &BTreeSet<String>,
        broken: &BTreeSet<String>,
    ) {
        if now > self.answered + self.lease_ms {
            for (task, list) in std::mem::take(&mut self.tasks) {
                for t in list.iter().filter(|t| t.status == TaskStatus::Running) {
                    self.events.push(Event::Off(task.clone(), t.attempt));
                }
            }
            self.agent_epoch = self.agent_epoch.next();
            self.sequence = 0;
            self.answered = now;
            self.changed = true;
        }
        for (task, list) in &mut self.tasks {
            let Some((job, _)) = split_task_name(task) else { continue };
            let Some(spec) = jobs.get(job) else { continue };
            for t in list {
                if t.status == TaskStatus::Fetching && now >= t.image_at {
                    self.images.insert(t.image.clone());
                    t.status = TaskStatus::Running;
                    self.events.push(Event::On(task.clone(), t.attempt));
                    let run = if completed.contains(task) { 0.0 } else { spec.estimated_run_s.max(0.1) };
                    let run = if now < self.slow.0 { run * f64::from(self.slow.1) } else { run };
                    t.ends_at = (spec.kind != JobKind::Service).then_some(now + (run * 1000.0) as u64);
                    t.fails = now < self.quarantined_until;
                    self.changed = true;
                }
                let fails = t.fails || broken.contains(job);
                if t.status == TaskStatus::Running && (fails || t.ends_at.is_some_and(|e| now >= e)) {
                    t.status = TaskStatus::Exited;
                    t.cause = Some(if fails { ExitCause::Error } else { ExitCause::Done });
                    if !fails {
                        self.events.push(Event::Completed(task.clone()));
                    }
                    self.events.push(Event::Off(task.clone(), t.attempt));
                    self.changed = true;
                }
            }
        }
    }

    /// The machine is gone with all that is on it.
    pub fn die(&mut self) -> Vec<Event> {
        for (task, list) in std::mem::take(&mut self.tasks) {
            for t in list.iter().filter(|t| t.status == TaskStatus::Running) {
                self.events.push(Event::Off(task.clone(), t.attempt));
            }
        }
        std::mem::take(&mut self.events)
    }
}
