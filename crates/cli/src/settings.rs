//! Loads and validates the platform's settings file and the operators' properties file.
//!
//! - `file` declares the format of the settings file;
//! - `validation` checks the fields, `problem` describes those that are not allowed;
//! - `conversion` converts a valid file into the settings of the core and of the network;
//! - `properties` parses the properties file.

mod conversion;
mod error;
mod file;
mod problem;
mod properties;
mod validation;

pub use error::{SettingsError, SettingsErrors};

use file::SettingsFile;
use properties::Properties;
use shaleshunt_core::settings::{Settings, Tuning};
use shaleshunt_net::NetworkConfig;
use std::path::Path;

/// All settings of a controller.
#[derive(Debug)]
pub struct LoadedSettings {
    /// The platform's settings of the core.
    pub settings: Settings,
    /// The operators' properties.
    pub tuning: Tuning,
    /// The platform's settings of the network.
    pub network: NetworkConfig,
    /// Properties that work, but that the operator should change.
    pub warnings: Vec<String>,
}

/// The platform's settings from a valid settings file.
#[derive(Debug)]
struct PlatformSettings {
    settings: Settings,
    network: NetworkConfig,
}

/// Loads the settings file and, if given, the properties file. Absent properties have their defaults.
///
/// # Errors
///
/// All errors of both files, those of the properties file first. If the settings file cannot be read, only that error
/// is returned.
pub fn load(config: &Path, properties: Option<&Path>) -> Result<LoadedSettings, SettingsErrors> {
    let text = std::fs::read_to_string(config)
        .map_err(|source| SettingsError::Unreadable { path: config.to_path_buf(), source })?;
    let Properties { tuning, errors, warnings } = properties.map(load_properties).unwrap_or_default();
    let mut errors = SettingsErrors::new(errors);
    match parse(&text) {
        Ok(PlatformSettings { settings, network }) if errors.is_empty() => {
            Ok(LoadedSettings { settings, tuning, network, warnings })
        }
        Ok(_) => Err(errors),
        Err(settings_errors) => {
            errors.extend(settings_errors);
            Err(errors)
        }
    }
}

fn load_properties(path: &Path) -> Properties {
    match std::fs::read(path) {
        Ok(bytes) => properties::parse(&bytes),
        Err(source) => {
            let unreadable = SettingsError::Unreadable { path: path.to_path_buf(), source };
            Properties { errors: vec![unreadable], ..Properties::default() }
        }
    }
}

/// Parses and validates the text of a settings file.
fn parse(text: &str) -> Result<PlatformSettings, SettingsErrors> {
    let file: SettingsFile = toml::from_str(text).map_err(|error| SettingsError::syntax(text, &error))?;
    let problems = validation::check(&file);
    if !problems.is_empty() {
        return Err(SettingsErrors::new(problems.into_iter().map(SettingsError::Field).collect()));
    }
    Ok(conversion::convert(file))
}

#[cfg(test)]
mod tests;
