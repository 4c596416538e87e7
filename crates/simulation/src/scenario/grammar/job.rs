//! `job NAME at SECONDS …`: a job, or copies of it, with its user's plans.

use crate::scenario::error::SyntaxError;
use crate::scenario::words::Words;
use crate::simulation::{PlannedJob, SubmitWhen};
use shaleshunt_wire::user::{JobKind, Priority, Submission};

/// What begins with this among a copied job's dependencies is one for all copies.
const SHARED_DEPENDENCY: char = '=';

/// How often a job is submitted under other names, and at which interval.
struct Copies {
    count: u32,
    interval_ms: u64,
}

/// The jobs of a line.
pub(super) fn read(words: &mut Words) -> Result<Vec<PlannedJob>, SyntaxError> {
    let mut spec = default_job(words.text("a job")?);
    words.keyword("at")?;
    let submit_at_ms = words.seconds_as_ms("the time of submission")?;
    let mut job =
        PlannedJob { spec: spec.clone(), submit_at_ms, cancel_at_ms: None, submit_when: SubmitWhen::default() };
    let mut copies = Copies { count: 1, interval_ms: 0 };
    while !words.is_empty() {
        match words.next("a property of a job")? {
            "copies" => copies.count = words.number("copies")?,
            "every" => copies.interval_ms = words.seconds_as_ms("the interval of copies")?,
            "cancel" => job.cancel_at_ms = Some(words.seconds_as_ms("the time of cancellation")?),
            "submit-late" => job.submit_when = SubmitWhen::DependenciesFinished,
            property => read_property(&mut spec, property, words)?,
        }
    }
    job.spec = spec;
    Ok((1..=copies.count).map(|number| copy(&job, number, &copies)).collect())
}

fn read_property(spec: &mut Submission, property: &str, words: &mut Words) -> Result<(), SyntaxError> {
    match property {
        "array" => spec.kind = JobKind::Array,
        "gang" => spec.kind = JobKind::Gang,
        "service" => {
            spec.kind = JobKind::Service;
            spec.estimated_run_s = 0.0;
        }
        "tasks" => spec.tasks = words.number("tasks")?,
        "cores" => spec.cores = words.number("cores")?,
        "memory" => spec.memory_gb = words.number("GB of memory")?,
        "runtime" => spec.estimated_run_s = words.number("seconds")?,
        "deadline" => spec.deadline_s = Some(words.number("seconds")?),
        "team" => spec.team = words.text("a team")?,
        "class" => spec.class = words.text("a class")?,
        "image" => spec.image = words.text("an image")?,
        "zone" => spec.zone = Some(words.text("a zone")?),
        "machine-types" => spec.machine_types = Some(words.list("machine types")?),
        "single-zone" => spec.single_zone = true,
        "spread" => spec.spread_zones = true,
        "spot" => spec.spot = true,
        "priority" => spec.priority = priority(words)?,
        "after" => spec.dependencies = words.list("jobs")?,
        "after-all" => {
            let name = words.next("a job with copies")?;
            let count: u32 = words.number("copies")?;
            spec.dependencies.extend((1..=count).map(|number| format!("{name}-{number}")));
        }
        other => return Err(SyntaxError::unexpected("a property of a job", other)),
    }
    Ok(())
}

fn priority(words: &mut Words) -> Result<Priority, SyntaxError> {
    const EXPECTED: &str = "`production`, `high` or `low`";
    match words.next(EXPECTED)? {
        "production" => Ok(Priority::Production),
        "high" => Ok(Priority::High),
        "low" => Ok(Priority::BestEffort),
        other => Err(SyntaxError::unexpected(EXPECTED, other)),
    }
}

/// A copy of a job; each awaits the copies with its own number.
fn copy(job: &PlannedJob, number: u32, copies: &Copies) -> PlannedJob {
    let name = |id: &str| if copies.count > 1 { format!("{id}-{number}") } else { id.to_string() };
    let dependency = |id: &String| id.strip_prefix(SHARED_DEPENDENCY).map_or_else(|| name(id), str::to_string);
    let mut copy = job.clone();
    copy.submit_at_ms += u64::from(number - 1) * copies.interval_ms;
    copy.spec.id = name(&job.spec.id);
    copy.spec.dependencies = job.spec.dependencies.iter().map(dependency).collect();
    copy
}

fn default_job(id: String) -> Submission {
    Submission {
        id,
        class: "work".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cores: 2.0,
        accelerators: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: false,
        estimated_run_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
