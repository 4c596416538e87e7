//! Errors in the settings file and in the properties file.

use super::problem::Problem;
use shaleshunt_core::settings::PropertyError;
use std::fmt::Display;
use std::path::PathBuf;

/// One error in the settings file or the properties file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{}: cannot read the file: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The settings file is not valid TOML, or a field is missing or has the wrong type.
    #[error("line {line}: {message} (settings file)")]
    Syntax {
        /// Line of the file, counted from 1; 0 if unknown.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A field's value is not allowed.
    #[error(transparent)]
    Field(Problem),
    /// The properties file cannot be parsed.
    #[error("properties: cannot parse the file: {0}")]
    PropertiesSyntax(java_properties::PropertiesError),
    /// A property is set under its current name and under an earlier one.
    #[error("{earlier}: renamed to {current}, which is set as well; remove {earlier}")]
    PropertySetTwice {
        /// Earlier key, as set in the file.
        earlier: String,
        /// Current key.
        current: &'static str,
    },
    /// A property is set under two of its earlier names.
    #[error(
        "{earlier}: renamed to {current}, which is set as well, under its earlier name {newer}; keep only {current}"
    )]
    PropertySetUnderEarlierNames {
        /// The older of the two earlier keys.
        earlier: String,
        /// Current key.
        current: &'static str,
        /// The newer of the two earlier keys.
        newer: &'static str,
    },
    /// A property is unknown, or its value is not allowed.
    #[error(transparent)]
    Property(PropertyError),
}

impl SettingsError {
    /// The error of a property that is set under an earlier name and under a newer one.
    pub(super) fn duplicate_property(earlier: &str, current: &'static str, newer: &'static str) -> SettingsError {
        let earlier = earlier.to_string();
        if newer == current {
            return SettingsError::PropertySetTwice { earlier, current };
        }
        SettingsError::PropertySetUnderEarlierNames { earlier, current, newer }
    }

    /// The parser's error with its line in `text`.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> SettingsError {
        let line = error.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count());
        SettingsError::Syntax { line, message: error.message().to_string() }
    }
}

/// All errors in the settings file and the properties file.
#[derive(Debug, Default)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(super) fn new(errors: Vec<SettingsError>) -> SettingsErrors {
        SettingsErrors { errors }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    pub(super) fn extend(&mut self, more: SettingsErrors) {
        self.errors.extend(more.errors);
    }

    /// The errors, one per line.
    pub fn lines(&self) -> impl Display {
        self.join("\n")
    }

    /// The errors on one line, separated by semicolons.
    pub fn one_line(&self) -> impl Display {
        self.join("; ")
    }

    fn join(&self, separator: &str) -> String {
        let texts: Vec<String> = self.errors.iter().map(SettingsError::to_string).collect();
        texts.join(separator)
    }
}

impl From<SettingsError> for SettingsErrors {
    fn from(error: SettingsError) -> SettingsErrors {
        SettingsErrors { errors: vec![error] }
    }
}
