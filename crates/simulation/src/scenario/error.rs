//! Errors of the scenario parser.

/// A line that does not follow the scenario language.
#[derive(Debug, thiserror::Error)]
pub enum SyntaxError {
    /// The line ends before a required word.
    #[error("expected {expected}, found the end of the line")]
    UnexpectedEnd {
        /// Description of the missing word.
        expected: &'static str,
    },
    /// Another word takes the place of a required keyword.
    #[error("expected `{keyword}`, found `{found}`")]
    MissingKeyword {
        /// The required keyword.
        keyword: &'static str,
        /// The word found in its place.
        found: String,
    },
    /// A word is not one of those allowed in its position.
    #[error("expected {expected}, found `{found}`")]
    UnexpectedWord {
        /// Description of the allowed words.
        expected: &'static str,
        /// The word found in their place.
        found: String,
    },
    /// A word is not a number, or not one in the allowed range.
    #[error("expected {expected}, found `{found}`, which is not a valid number")]
    InvalidNumber {
        /// Description of the expected number.
        expected: &'static str,
        /// The word found in its place.
        found: String,
    },
    /// More words follow a complete line.
    #[error("expected the end of the line, found `{found}`")]
    TrailingWords {
        /// The surplus words, separated by spaces.
        found: String,
    },
    /// The initial value of a key in the key-value store is not valid JSON.
    #[error("expected a JSON value for the key `{key}`: {source}")]
    InvalidJson {
        /// The key whose value cannot be parsed.
        key: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// A scenario that cannot be parsed, with the position of its first invalid line.
#[derive(Debug, thiserror::Error)]
#[error("{file}, line {line}: {problem}")]
pub struct ScenarioError {
    /// Name or path of the scenario file, as the caller passed it.
    pub file: String,
    /// Number of the invalid line, counted from 1.
    pub line: usize,
    /// The reason why the line is invalid.
    #[source]
    pub problem: SyntaxError,
}
