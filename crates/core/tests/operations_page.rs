//! Compares the entries of `docs/operations.md` with the log events: those of the core (`Event::NAMES`) and those that
//! the surrounding process logs (calls of `tracing` in `net` and `cli`).
//!
//! `src/event/tests.rs` compares the severities and fields of the core's events, because it has a sample of each.

use shaleshunt_core::Event;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Severity and fields of an event, as documented or as logged by a source.
#[derive(Debug, PartialEq, Eq)]
struct Entry {
    severity: String,
    fields: Vec<String>,
}

/// List items that each entry of the page has.
const REQUIRED_ITEMS: [&str; 4] = ["- Means: ", "- Normal: ", "- Look at: ", "- Do: "];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operations_page() -> String {
    std::fs::read_to_string(repository().join("docs/operations.md")).unwrap()
}

/// Section of the page that contains the entries.
fn log_events(page: &str) -> &str {
    let (_, after) = page.split_once("\n## Log events\n").expect("page has no section on log events");
    after.split_once("\n## ").map_or(after, |(section, _)| section)
}

/// Texts of the entries by event name.
fn entry_texts(page: &str) -> BTreeMap<String, String> {
    let mut texts = BTreeMap::new();
    for entry in log_events(page).split("\n#### `").skip(1) {
        let (name, text) = entry.split_once('`').unwrap();
        let text = text.split_once("\n### ").map_or(text, |(text, _)| text);
        assert!(texts.insert(name.to_string(), text.to_string()).is_none(), "{name} has two entries");
    }
    texts
}

/// Parses `Severity: info. Fields: ...` at the start of an entry.
fn parse_entry(name: &str, text: &str) -> Entry {
    let head = text.trim_start().split("\n\n").next().unwrap().replace('\n', " ");
    let rest = head.strip_prefix("Severity: ").unwrap_or_else(|| panic!("{name}: no severity: {head}"));
    let (severity, fields) = rest.split_once(". Fields: ").unwrap_or_else(|| panic!("{name}: no fields: {head}"));
    let fields = fields.trim_end_matches('.').split(", ").map(|field| field.trim_matches('`').to_string());
    Entry { severity: severity.to_string(), fields: fields.filter(|field| field != "none").collect() }
}

/// Collects the source files below a folder, without tests.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
}

/// Arguments of a macro call, whose text begins after the opening parenthesis, split at commas outside of brackets.
fn arguments(call: &str) -> Vec<String> {
    let (mut depth, mut quoted, mut parts) = (0, false, vec![String::new()]);
    for c in call.chars() {
        match c {
            '"' => quoted = !quoted,
            '(' | '[' | '{' if !quoted => depth += 1,
            ')' if !quoted && depth == 0 => break,
            ')' | ']' | '}' if !quoted => depth -= 1,
            ',' if !quoted && depth == 0 => {
                parts.push(String::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().unwrap().push(c);
    }
    parts.iter().map(|part| part.trim().to_string()).filter(|part| !part.is_empty()).collect()
}

/// Parses a call of `tracing` with a literal event name. `None` for the calls that log an event of the core.
fn parse_call(severity: &str, call: &str) -> Option<(String, Entry)> {
    let (mut name, mut fields) = (None, Vec::new());
    for argument in arguments(call) {
        let (key, value) = argument.split_once(" = ").unwrap_or((&argument, ""));
        match key {
            "event" => name = Some(value.trim_start_matches('%').to_string()),
            other => fields.push(other.trim_start_matches(['%', '?']).to_string()),
        }
    }
    let name = name.unwrap_or_else(|| panic!("log call without an event: {call:.80}"));
    if name == "name" {
        return None;
    }
    let literal = name.strip_prefix('"').and_then(|n| n.strip_suffix('"'));
    let name = literal.unwrap_or_else(|| panic!("event name is not a literal: {name}")).to_string();
    Some((name, Entry { severity: severity.to_string(), fields }))
}

/// Events that the surrounding process logs.
fn process_events() -> BTreeMap<String, Entry> {
    let mut files = Vec::new();
    for package in ["net", "cli"] {
        sources(&repository().join("crates").join(package).join("src"), &mut files);
    }
    let mut events = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for call in text.split("tracing::").skip(1) {
            let Some((severity, call)) = call.split_once("!(") else { continue };
            if ["error", "warn", "info", "debug", "trace"].contains(&severity) {
                events.extend(parse_call(severity, call));
            }
        }
    }
    events
}

#[test]
fn entries_and_events_correspond_one_to_one() {
    let process = process_events();
    assert!(process.contains_key("listening"), "event `listening` not found in the sources: {process:?}");
    let mut events: Vec<&str> = Event::NAMES.into_iter().chain(process.keys().map(String::as_str)).collect();
    events.sort_unstable();
    let page = operations_page();
    let entries = entry_texts(&page);
    assert_eq!(entries.keys().map(String::as_str).collect::<Vec<_>>(), events);
}

#[test]
fn entries_of_process_events_have_their_severity_and_fields() {
    let entries = entry_texts(&operations_page());
    for (name, logged) in process_events() {
        let text = entries.get(&name).unwrap_or_else(|| panic!("{name} has no entry"));
        assert_eq!(parse_entry(&name, text), logged, "{name}");
    }
}

#[test]
fn each_entry_has_all_required_items() {
    for (name, text) in entry_texts(&operations_page()) {
        parse_entry(&name, &text);
        for item in REQUIRED_ITEMS {
            assert!(text.contains(item), "{name}: no item {item:?}");
        }
    }
}
