//! Reads the operators' properties.

use super::error::SettingsError;
use shaleshunt_core::settings::{Tuning, newer_names, renamed_key};
use std::collections::BTreeMap;

/// Operators' properties as they were read.
#[derive(Debug, Default)]
pub struct Properties {
    /// The values; defaults for what is not given.
    pub tuning: Tuning,
    /// What is wrong, one entry a key.
    pub errors: Vec<SettingsError>,
    /// What an operator should change, though it works.
    pub warnings: Vec<String>,
}

/// Reads a properties file.
pub fn parse(bytes: &[u8]) -> Properties {
    let mut properties = Properties::default();
    match java_properties::read(bytes) {
        Ok(values) => properties.set_all(&values.into_iter().collect()),
        Err(error) => properties.errors.push(SettingsError::PropertiesSyntax(error)),
    }
    properties
}

impl Properties {
    fn set_all(&mut self, values: &BTreeMap<String, String>) {
        for (key, value) in values {
            if let Some(current) = renamed_key(key) {
                if let Some(newer) = newer_names(key).find(|newer| values.contains_key(*newer)) {
                    self.errors.push(SettingsError::given_twice(key, current, newer));
                    continue;
                }
                self.warnings.push(format!("{key}: is called {current} now"));
            }
            if let Err(problem) = self.tuning.set(key, value) {
                self.errors.push(SettingsError::Property(problem));
            }
        }
    }
}
