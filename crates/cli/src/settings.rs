//! Reads and checks the platform's settings and the operators' properties.
//!
//! - `file` is the settings file as it is written;
//! - `validation` checks its fields, `problem` says what is wrong with them;
//! - `conversion` turns it into what the scheduler and the network are started with;
//! - `properties` reads the operators' properties.

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

/// Everything that a controller is started with.
#[derive(Debug)]
pub struct Loaded {
    /// The platform's settings for the scheduler.
    pub settings: Settings,
    /// The operators' settings.
    pub tuning: Tuning,
    /// The platform's settings for the network.
    pub network: NetworkConfig,
    /// What an operator should change, though it works.
    pub warnings: Vec<String>,
}

/// The platform's settings, checked.
#[derive(Debug)]
struct Platform {
    settings: Settings,
    network: NetworkConfig,
}

/// Reads both files.
///
/// # Errors
///
/// All that is wrong: with the settings file alone if it cannot be read, or else with the properties, key by
/// key, and then with the settings, field by field.
pub fn load(config: &Path, properties: Option<&Path>) -> Result<Loaded, SettingsErrors> {
    let text = std::fs::read_to_string(config)
        .map_err(|source| SettingsError::Unreadable { path: config.to_path_buf(), source })?;
    let Properties { tuning, errors, warnings } = properties.map(load_properties).unwrap_or_default();
    let mut errors = SettingsErrors::new(errors);
    match parse(&text) {
        Ok(Platform { settings, network }) if errors.is_empty() => Ok(Loaded { settings, tuning, network, warnings }),
        Ok(_) => Err(errors),
        Err(more) => {
            errors.extend(more);
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

/// Reads the platform's settings from TOML.
fn parse(text: &str) -> Result<Platform, SettingsErrors> {
    let file: SettingsFile = toml::from_str(text).map_err(|error| SettingsError::syntax(text, &error))?;
    let problems = validation::check(&file);
    if !problems.is_empty() {
        return Err(SettingsErrors::new(problems.into_iter().map(SettingsError::Field).collect()));
    }
    Ok(conversion::platform(file))
}

#[cfg(test)]
mod tests;
