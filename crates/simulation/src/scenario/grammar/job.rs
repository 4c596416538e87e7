//! Parses `job NAME at SECONDS …`: a job or several copies of it, with the times of submission and cancellation.

use crate::scenario::error::SyntaxError;
use crate::scenario::words::Words;
use crate::simulation::{PlannedJob, SubmitWhen};
use shaleshunt_wire::user::{JobKind, Priority, Submission};

/// Prefix of a dependency that all copies of a job share; without it, copy N depends on copy N of the other job.
const SHARED_DEPENDENCY_PREFIX: char = '=';

/// The number of copies of a job, and the interval between their submissions.
struct Copies {
    count: u32,
    interval_ms: u64,
}

/// Parses a line and returns its job, or all copies of it.
pub(super) fn parse(words: &mut Words) -> Result<Vec<PlannedJob>, SyntaxError> {
    let mut spec = default_job(words.text("a job")?);
    words.expect_keyword("at")?;
    let submit_at_ms = words.seconds_as_ms("the time of submission in seconds")?;
    let mut job =
        PlannedJob { spec: spec.clone(), submit_at_ms, cancel_at_ms: None, submit_when: SubmitWhen::default() };
    let mut copies = Copies { count: 1, interval_ms: 0 };
    while !words.is_empty() {
        match words.next("a property of a job")? {
            "copies" => copies.count = words.number("the number of copies")?,
            "every" => copies.interval_ms = words.seconds_as_ms("the interval between copies in seconds")?,
            "cancel" => job.cancel_at_ms = Some(words.seconds_as_ms("the time of cancellation in seconds")?),
            "submit-late" => job.submit_when = SubmitWhen::DependenciesFinished,
            property => parse_property(&mut spec, property, words)?,
        }
    }
    job.spec = spec;
    Ok((1..=copies.count).map(|number| copy(&job, number, &copies)).collect())
}

fn parse_property(spec: &mut Submission, property: &str, words: &mut Words) -> Result<(), SyntaxError> {
    match property {
        "array" => spec.kind = JobKind::Array,
        "gang" => spec.kind = JobKind::Gang,
        "service" => {
            spec.kind = JobKind::Service;
            spec.estimated_run_s = 0.0;
        }
        "tasks" => spec.tasks = words.number("the number of tasks")?,
        "cores" => spec.cores = words.number("the number of cores")?,
        "memory" => spec.memory_gb = words.number("the memory in GB")?,
        "runtime" => spec.estimated_run_s = words.number("the run time in seconds")?,
        "deadline" => spec.deadline_s = Some(words.number("the deadline in seconds")?),
        "team" => spec.team = words.text("a team")?,
        "class" => spec.class = words.text("a class")?,
        "image" => spec.image = words.text("an image")?,
        "zone" => spec.zone = Some(words.text("a zone")?),
        "machine-types" => spec.machine_types = Some(words.list("a list of machine types")?),
        "single-zone" => spec.single_zone = true,
        "spread" => spec.spread_zones = true,
        "spot" => spec.spot = true,
        "priority" => spec.priority = priority(words)?,
        "after" => spec.dependencies.extend(words.list("a list of jobs")?),
        "after-all" => {
            let name = words.next("a job with copies")?;
            let count: u32 = words.number("the number of copies")?;
            let copies = (1..=count).map(|number| format!("{SHARED_DEPENDENCY_PREFIX}{name}-{number}"));
            spec.dependencies.extend(copies);
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

/// Returns copy `number` of a job. Copies are named `NAME-1`, `NAME-2` and so on, and depend on the copies with their
/// own number; a single job keeps its name.
fn copy(job: &PlannedJob, number: u32, copies: &Copies) -> PlannedJob {
    let name = |id: &str| if copies.count > 1 { format!("{id}-{number}") } else { id.to_string() };
    let dependency = |id: &String| id.strip_prefix(SHARED_DEPENDENCY_PREFIX).map_or_else(|| name(id), str::to_string);
    let mut copy = job.clone();
    copy.submit_at_ms += u64::from(number - 1) * copies.interval_ms;
    copy.spec.id = name(&job.spec.id);
    copy.spec.dependencies = job.spec.dependencies.iter().map(dependency).collect();
    copy
}

/// The properties of a job that sets none.
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
