//! Parses the operators' properties file.

use super::error::SettingsError;
use shaleshunt_core::settings::{Tuning, newer_names, renamed_key};
use std::collections::BTreeMap;

/// Contents of a properties file, with its errors and warnings.
#[derive(Debug, Default)]
pub struct Properties {
    /// The values; the default for each property that is absent or invalid.
    pub tuning: Tuning,
    /// One error for each invalid key, or one if the file cannot be parsed.
    pub errors: Vec<SettingsError>,
    /// Properties that work, but that the operator should change.
    pub warnings: Vec<String>,
}

/// Parses the contents of a properties file.
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
                    self.errors.push(SettingsError::duplicate_property(key, current, newer));
                    continue;
                }
                self.warnings.push(format!("{key}: renamed to {current}; the earlier name still works"));
            }
            if let Err(error) = self.tuning.set(key, value) {
                self.errors.push(SettingsError::Property(error));
            }
        }
    }
}
