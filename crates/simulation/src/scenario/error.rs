//! Why a scenario cannot be read.

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum SyntaxError {
    /// A word is missing.
    #[error("the line ends where {expected} was expected")]
    EndsEarly {
        /// What should have come.
        expected: &'static str,
    },
    /// Another word than the only one that may stand there.
    #[error("`{keyword}` expected, found `{found}`")]
    MissingKeyword {
        /// The word that should have come.
        keyword: &'static str,
        /// The word.
        found: String,
    },
    /// A word that means nothing there.
    #[error("{expected} expected, found `{found}`")]
    UnexpectedWord {
        /// What should have come.
        expected: &'static str,
        /// The word.
        found: String,
    },
    /// A word that is not a number of the kind expected.
    #[error("a number for {expected} expected, found `{found}`")]
    NotANumber {
        /// What it should be the number of.
        expected: &'static str,
        /// The word.
        found: String,
    },
    /// Words after the end.
    #[error("end of line expected, found `{found}`")]
    LeftOver {
        /// The words.
        found: String,
    },
    /// A value that is not JSON.
    #[error("JSON expected as the value of `{key}`: {source}")]
    InvalidJson {
        /// The key.
        key: String,
        /// What the parser says.
        source: serde_json::Error,
    },
}

/// A scenario that cannot be read: where, and what is wrong there.
#[derive(Debug, thiserror::Error)]
#[error("{file}, line {line}: {problem}")]
pub struct ScenarioError {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    #[source]
    pub problem: SyntaxError,
}
