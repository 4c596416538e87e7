//! Simulation of the previous program version, which neither reads nor writes the fields added since then.

use serde_json::Value;
use shaleshunt_core::io::{Command, Effect};
use shaleshunt_core::{KvReply, KvRequest};
use shaleshunt_wire::kv::Write;

/// Removes from a command what the previous version ignores.
pub(super) fn filter_command(command: Command) -> Command {
    match command {
        Command::Kv(id, Ok(mut reply)) => {
            match &mut reply {
                KvReply::Found(pair) => remove_later_fields(&mut pair.value),
                KvReply::Page(page) => page.pairs.iter_mut().for_each(|pair| remove_later_fields(&mut pair.value)),
                KvReply::Changes(reply) => {
                    let values = reply.changes.iter_mut().filter_map(|change| change.value.as_mut());
                    values.for_each(remove_later_fields);
                }
                _ => {}
            }
            Command::Kv(id, Ok(reply))
        }
        Command::Submit(id, mut submission) => {
            submission.dependencies.clear();
            Command::Submit(id, submission)
        }
        other => other,
    }
}

/// Removes from an effect what the previous version doesn't write.
pub(super) fn filter_effect(effect: Effect) -> Effect {
    match effect {
        Effect::Kv(id, KvRequest::Transaction(mut transaction), via) => {
            for write in &mut transaction.writes {
                if let Write::Set { value, .. } = write {
                    remove_later_fields(value);
                }
            }
            Effect::Kv(id, KvRequest::Transaction(transaction), via)
        }
        other => other,
    }
}

/// Removes a submission's dependencies, and the fields of a record that is stored in parts, which is not a valid
/// record to the previous version.
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
