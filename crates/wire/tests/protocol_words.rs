//! Names of the protocol (`loom`, `baton`, `jobline`, ...) appear only in the wire types, the stored records and the
//! settings file, where `serde` maps them to the terms of the code. These tests fail if one of them is used in any other
//! source, as a word of a comment, as an identifier or as a part of one.

use std::path::{Path, PathBuf};

/// Protocol words, each with the term to use in its place. A word of several parts matches only inside one identifier:
/// `wind down` matches `windDownS` and `wind_down_s`, but not two separate words.
const WORDS: [(&str, &str); 31] = [
    ("loom", "machine"),
    ("hall", "zone"),
    ("crew", "team"),
    ("jobline", "class"),
    ("job line", "class"),
    ("piece", "task"),
    ("bundle", "image"),
    ("borrowed", "spot"),
    ("baton", "fencing token"),
    ("shift", "agent epoch"),
    ("stamp", "version or revision"),
    ("foreman", "leader"),
    ("ledger", "revision"),
    ("halt", "stop"),
    ("hire", "scale out or rent"),
    ("hired", "rented"),
    ("ensemble", "gang"),
    ("daemon", "service"),
    ("flushing", "checkpointing"),
    ("gathering", "waiting for the gang"),
    ("mates gone", "gang lost"),
    ("withdraw", "cancel"),
    ("withdrawal", "cancellation"),
    ("checkin", "heartbeat"),
    ("check in", "heartbeat"),
    ("aborted", "cancelled"),
    ("wind down", "grace period"),
    ("expect s", "estimated run time"),
    ("mark every", "checkpoint interval"),
    ("mark takes", "checkpoint duration"),
    ("warn s", "preemption notice"),
];

/// Files and folders, relative to the repository root, that may contain protocol words because they map them to the
/// terms of the code.
const HOMES: [&str; 3] = [
    // JSON bodies of all interfaces.
    "crates/wire/src",
    // Stored records.
    "crates/core/src/records",
    // The settings file.
    "crates/cli/src/settings/file.rs",
];

/// Use of a protocol word that is allowed outside of `HOMES`.
struct Exception {
    /// Path of the file, relative to the repository root.
    file: &'static str,
    /// One of `WORDS`.
    word: &'static str,
    /// Text that the line contains; other lines of the file are not exempt.
    text: &'static str,
    /// Reason for the exception.
    reason: &'static str,
}

/// Reason for tags that are hashed.
const DIGEST_TAG: &str = "a tag that is hashed: another one would change every trace digest";

const EXCEPTIONS: [Exception; 7] = [
    Exception {
        file: "crates/core/src/event/value.rs",
        word: "borrowed",
        text: "Cow::Borrowed",
        reason: "a name of the standard library",
    },
    Exception {
        file: "crates/net/src/loop_metrics.rs",
        word: "withdrawal",
        text: "\"withdrawals\"",
        reason: "a name in the log, which stays the same between versions",
    },
    Exception {
        file: "crates/net/src/task.rs",
        word: "aborted",
        text: "A running task, aborted",
        reason: "the runtime's word for a task of its own",
    },
    Exception {
        file: "crates/simulation/src/trace_digest.rs",
        word: "withdraw",
        text: "\"withdraw\"",
        reason: DIGEST_TAG,
    },
    Exception {
        file: "crates/simulation/src/trace_digest.rs",
        word: "checkin",
        text: "\"checkin\"",
        reason: DIGEST_TAG,
    },
    Exception { file: "crates/simulation/src/trace_digest.rs", word: "hire", text: "\"hire\"", reason: DIGEST_TAG },
    Exception { file: "crates/simulation/src/trace_digest.rs", word: "hired", text: "\"hired\"", reason: DIGEST_TAG },
];

/// Protocol word found in a source.
#[derive(Debug, PartialEq, Eq)]
struct Finding {
    file: String,
    line: usize,
    text: String,
    word: &'static str,
    replacement: &'static str,
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Splits an identifier into its parts in lower case: `windDownS` and `wind_down_s` have the same parts.
fn parts(identifier: &str) -> Vec<String> {
    let mut parts: Vec<String> = vec![String::new()];
    let mut after_lowercase = false;
    for c in identifier.chars() {
        if c == '_' || (c.is_uppercase() && after_lowercase) {
            parts.push(String::new());
        }
        if c != '_' {
            parts.last_mut().unwrap().extend(c.to_lowercase());
        }
        after_lowercase = c.is_lowercase() || c.is_numeric();
    }
    parts.retain(|part| !part.is_empty());
    parts
}

/// Whether a part is the word or its plural.
fn is_word(part: &str, word: &str) -> bool {
    part == word || part.strip_suffix('s') == Some(word)
}

/// Whether an identifier contains a protocol word, which may have several consecutive parts.
fn contains_word(identifier: &[String], word: &str) -> bool {
    let expected: Vec<&str> = word.split(' ').collect();
    identifier.windows(expected.len()).any(|parts| parts.iter().zip(&expected).all(|(part, want)| is_word(part, want)))
}

/// Finds the protocol words in a text.
fn find(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        for identifier in line.split(|c: char| !(c.is_alphanumeric() || c == '_')) {
            let parts = parts(identifier);
            let found = WORDS.iter().filter(|(word, _)| contains_word(&parts, word));
            findings.extend(found.map(|&(word, replacement)| Finding {
                file: file.to_string(),
                line: index + 1,
                text: line.to_string(),
                word,
                replacement,
            }));
        }
    }
    findings
}

/// Sources of all packages, without tests and `HOMES`, as paths relative to the repository root.
fn sources() -> Vec<String> {
    let root = repository();
    let mut folders: Vec<PathBuf> = std::fs::read_dir(root.join("crates"))
        .unwrap()
        .map(|package| package.unwrap().path().join("src"))
        .filter(|folder| folder.is_dir())
        .collect();
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            let name = path.strip_prefix(&root).unwrap().to_string_lossy().into_owned();
            let is_test = path.file_stem().is_some_and(|stem| stem == "tests");
            if is_test || HOMES.iter().any(|home| Path::new(&name).starts_with(home)) {
                continue;
            }
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(name);
            }
        }
    }
    files.sort();
    files
}

fn findings() -> Vec<Finding> {
    let read = |file: &String| std::fs::read_to_string(repository().join(file)).unwrap();
    sources().iter().flat_map(|file| find(file, &read(file))).collect()
}

fn allowed(exception: &Exception, finding: &Finding) -> bool {
    exception.file == finding.file && exception.word == finding.word && finding.text.contains(exception.text)
}

#[test]
fn protocol_words_are_used_only_where_they_are_mapped() {
    let findings = findings();
    let violations = findings.iter().filter(|finding| !EXCEPTIONS.iter().any(|exception| allowed(exception, finding)));
    let lines: Vec<String> =
        violations.map(|f| format!("{}:{}: `{}`; use {}", f.file, f.line, f.word, f.replacement)).collect();
    assert!(lines.is_empty(), "protocol words outside of the files that map them:\n{}", lines.join("\n"));
}

#[test]
fn each_exception_is_needed_and_has_a_reason() {
    let findings = findings();
    for exception in &EXCEPTIONS {
        let needed = findings.iter().any(|finding| allowed(exception, finding));
        assert!(needed, "{}: no line holds `{}` in {:?}", exception.file, exception.word, exception.text);
        assert!(!exception.reason.is_empty(), "{}: no reason", exception.file);
    }
}

#[test]
fn sources_of_all_packages_are_searched() {
    let sources = sources();
    for file in
        ["crates/core/src/lib.rs", "crates/net/src/lib.rs", "crates/cli/src/main.rs", "crates/simulation/src/lib.rs"]
    {
        assert!(sources.iter().any(|source| source == file), "{file}");
    }
    assert!(!sources.iter().any(|source| source.starts_with("crates/wire/") || source.ends_with("tests.rs")));
}

#[test]
fn protocol_words_are_found_in_comments_and_in_parts_of_identifiers() {
    let words = |text: &str| find("a.rs", text).into_iter().map(|finding| finding.word).collect::<Vec<_>>();
    assert_eq!(words("/// Machines hired, on a loom."), ["hired", "loom"]);
    assert_eq!(words("let (hires_dropped, windDownS, wind_down_s) = x;"), ["hire", "wind down", "wind down"]);
    assert_eq!(
        words("Ask::Checkin(_), CheckIn, MatesGone, \"jobline\""),
        ["checkin", "check in", "mates gone", "jobline"]
    );
    assert_eq!(words("timestamp, shallow, the wind went down, halted, expects, warn_small"), [""; 0]);
}
