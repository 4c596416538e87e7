//! Scenarios on disk: files in folders.

use super::error::ScenarioError;
use super::model::Scenario;
use std::io;
use std::path::{Path, PathBuf};

/// What the names of scenarios end with.
const EXTENSION: &str = "txt";

/// A scenario that cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file or folder that cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file that is no scenario.
    #[error(transparent)]
    Invalid(#[from] ScenarioError),
}

/// A file that holds a scenario.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScenarioFile {
    /// Name of the scenario, unique among all folders.
    pub name: String,
    /// The file.
    pub path: PathBuf,
}

impl ScenarioFile {
    /// The files in a folder and the folders in it, by path.
    ///
    /// # Errors
    ///
    /// If a folder cannot be read.
    pub fn all_in(folder: &Path) -> Result<Vec<ScenarioFile>, LoadError> {
        let unreadable = |source| LoadError::Unreadable { path: folder.into(), source };
        let mut files = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(unreadable)? {
            let path = entry.map_err(unreadable)?.path();
            if path.is_dir() {
                files.extend(ScenarioFile::all_in(&path)?);
            } else if path.extension().is_some_and(|extension| extension == EXTENSION) {
                let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
                files.push(ScenarioFile { name, path });
            }
        }
        files.sort_by(|left, right| left.path.cmp(&right.path));
        Ok(files)
    }

    /// Reads the scenario.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is no scenario; the error names file, line and word.
    pub fn load(&self) -> Result<Scenario, LoadError> {
        let unreadable = |source| LoadError::Unreadable { path: self.path.clone(), source };
        let text = std::fs::read_to_string(&self.path).map_err(unreadable)?;
        Ok(Scenario::parse(&self.path.display().to_string(), &text)?)
    }
}
