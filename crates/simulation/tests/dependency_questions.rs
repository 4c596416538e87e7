//! Tests what questions about a job with many dependencies cost the key-value store: reads, comparing transactions and
//! the record versions that these compare.

mod common;

use common::Site;
use serde_json::json;
use shaleshunt_core::io::{Answer, Effect};
use shaleshunt_core::{Command, KvRequest};

/// Interval of a user's questions, in ms.
const POLL_INTERVAL_MS: u64 = 5_000;
/// Step of the simulated time, in ms.
const STEP_MS: u64 = 10;
/// Time for which questions are asked before they are counted, so that all records have been read, in ms.
const WARM_UP_MS: u64 = 60_000;
/// Time for which they are counted, in ms.
const COUNTED_MS: u64 = 60_000;

/// Requests to the store, and answers to the user.
#[derive(Debug, Default, PartialEq, Eq)]
struct Cost {
    reads: usize,
    transactions: usize,
    compared: usize,
    questions: usize,
    answered: usize,
}

impl Cost {
    fn count(&mut self, effect: &Effect) {
        match effect {
            Effect::Kv(_, KvRequest::Get { key }, _) if key.starts_with("j/") => self.reads += 1,
            Effect::Kv(_, KvRequest::Transaction(transaction), _) if transaction.writes.is_empty() => {
                self.transactions += 1;
                self.compared += transaction.preconditions.len();
            }
            Effect::Answer(_, Answer::Job(200, _)) => self.answered += 1,
            _ => {}
        }
    }
}

fn put_job(site: &mut Site, job: &str, dependencies: &[String]) {
    let submission = json!({"ref": job, "jobline": "x", "crew": "t", "shape": "array", "urgency": "high", "pieces": 1,
        "cores": 1.0, "cards": 0.0, "ramGb": 1.0, "bundle": "i", "imageGb": 1.0, "oneZone": false, "scatter": false,
        "borrowed": false, "expectS": 300.0, "markEveryS": 0.0, "markTakesS": 0.0, "awaits": dependencies});
    site.put(&format!("j/{job}"), json!({"s": submission, "at": 1}));
}

/// Asks about a job with `count` unfinished dependencies at regular intervals.
fn cost_of_questions(count: usize) -> Cost {
    let mut site = Site::new(158.0);
    let dependencies: Vec<String> = (0..count).map(|number| format!("wk-{number:06}")).collect();
    for dependency in &dependencies {
        put_job(&mut site, dependency, &[]);
    }
    put_job(&mut site, "wk-999999", &dependencies);
    let mut cost = Cost::default();
    let mut next_poll_ms = 1000;
    let mut commands = Vec::new();
    while site.now < WARM_UP_MS + COUNTED_MS {
        commands.extend(site.advance(STEP_MS));
        let is_counted = site.now > WARM_UP_MS;
        if site.now >= next_poll_ms {
            next_poll_ms += POLL_INTERVAL_MS;
            commands.push(Command::Status(site.now | 1 << 40, "wk-999999".into()));
            cost.questions += usize::from(is_counted);
        }
        commands.push(Command::Tick);
        let effects = site.step(std::mem::take(&mut commands));
        if is_counted {
            effects.iter().for_each(|effect| cost.count(effect));
        }
        commands.extend(effects.into_iter().filter_map(|effect| site.serve(effect)));
    }
    cost
}

/// Bounds the requests by the site's limit of 250 a second, of which comparisons may use a twentieth, and requires that
/// each question is answered at once or with the next one.
#[test]
fn questions_about_many_dependencies_are_answered_within_the_request_limit() {
    let max_transactions = 250 / 20 * (COUNTED_MS as usize / 1000);
    for count in [3, 64, 200, 300, 1000] {
        let cost = cost_of_questions(count);
        println!("{count} dependencies: {cost:?}");
        assert!(cost.answered * 2 >= cost.questions, "{count} dependencies: {cost:?}");
        assert!(cost.reads + cost.transactions <= max_transactions, "{count} dependencies: {cost:?}");
    }
}
