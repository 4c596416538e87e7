//! Why settings cannot be used.

use super::problem::Problem;
use shaleshunt_core::settings::PropertyError;
use std::fmt::Display;
use std::path::PathBuf;

/// One thing that is wrong with the settings or the properties.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The settings file is not TOML, or a field is missing or of another type.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the file, 0 if not known.
        line: usize,
        /// What the parser expected.
        message: String,
    },
    /// A field's value is not allowed.
    #[error(transparent)]
    Field(Problem),
    /// The properties are not in the form of a properties file.
    #[error("properties: {0}")]
    PropertiesSyntax(java_properties::PropertiesError),
    /// A property and its earlier name are both given.
    #[error("{earlier}: is called {current} now, which is given too")]
    PropertyGivenTwice {
        /// The key of an earlier version.
        earlier: String,
        /// The key of today.
        current: &'static str,
    },
    /// A property is given by two of its earlier names.
    #[error("{earlier}: is called {current} now, which is given too, as {newer}")]
    PropertyGivenByEarlierNames {
        /// The older key.
        earlier: String,
        /// The key of today.
        current: &'static str,
        /// The newer of the two earlier keys.
        newer: &'static str,
    },
    /// A property is not known, or its value is not allowed.
    #[error(transparent)]
    Property(PropertyError),
}

impl SettingsError {
    /// The error of a property that is given by an earlier name and by a newer one.
    pub(super) fn given_twice(earlier: &str, current: &'static str, newer: &'static str) -> SettingsError {
        let earlier = earlier.to_string();
        if newer == current {
            return SettingsError::PropertyGivenTwice { earlier, current };
        }
        SettingsError::PropertyGivenByEarlierNames { earlier, current, newer }
    }

    /// The parser's error with the line that it is on.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> SettingsError {
        let line = error.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count());
        SettingsError::Syntax { line, message: error.message().to_string() }
    }
}

/// All that is wrong with the settings and the properties.
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

    /// The errors, one a line.
    pub fn lines(&self) -> impl Display {
        self.join("\n")
    }

    /// The errors in one line.
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
