//! What the previous version of the program reads and writes: it knows no field that came later.

use serde_json::Value;
use shaleshunt_core::io::{Command, Effect};
use shaleshunt_core::{StateReply, StateRequest};
use shaleshunt_wire::state::Write;

/// A command as the previous version understands it.
pub(super) fn as_read(command: Command) -> Command {
    match command {
        Command::State(id, Ok(mut reply)) => {
            match &mut reply {
                StateReply::Found(pair) => remove_later_fields(&mut pair.v),
                StateReply::Page(page) => page.pairs.iter_mut().for_each(|pair| remove_later_fields(&mut pair.v)),
                StateReply::News(news) => {
                    let values = news.news.iter_mut().filter_map(|change| change.v.as_mut());
                    values.for_each(remove_later_fields);
                }
                _ => {}
            }
            Command::State(id, Ok(reply))
        }
        Command::Submit(id, mut submission) => {
            submission.awaits.clear();
            Command::Submit(id, submission)
        }
        other => other,
    }
}

/// An effect as the previous version would have it.
pub(super) fn as_written(effect: Effect) -> Effect {
    match effect {
        Effect::State(id, StateRequest::Txn(mut transaction), via) => {
            for write in &mut transaction.writes {
                if let Write::Set { v, .. } = write {
                    remove_later_fields(v);
                }
            }
            Effect::State(id, StateRequest::Txn(transaction), via)
        }
        other => other,
    }
}

/// Removes a submission's dependencies; a record in parts is none to the previous version.
fn remove_later_fields(record: &mut Value) {
    if let Some(submission) = record.get_mut("s").and_then(Value::as_object_mut) {
        submission.remove("awaits");
    }
    if let Some(fields) = record.as_object_mut() {
        fields.remove("p");
        if fields.contains_key("n") {
            fields.remove("t");
        }
    }
}
