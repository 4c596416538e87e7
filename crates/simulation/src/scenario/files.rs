//! Finds and loads scenario files.

use super::error::ScenarioError;
use super::model::Scenario;
use std::io;
use std::path::{Path, PathBuf};

/// File name extension of scenarios.
const EXTENSION: &str = "txt";

/// An error while scenario files are searched or loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file system failed to read a file or folder.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is not a valid scenario.
    #[error(transparent)]
    Invalid(#[from] ScenarioError),
}

/// A scenario file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScenarioFile {
    /// Name of the scenario: the file name without its extension, unique among all folders.
    pub name: String,
    /// Path of the file.
    pub path: PathBuf,
}

impl ScenarioFile {
    /// Finds all scenario files in a folder and its subfolders, sorted by path.
    ///
    /// # Errors
    ///
    /// Fails if a folder cannot be read.
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

    /// Reads and parses the file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a valid scenario; the error names the file, the line, the word found
    /// and the words expected.
    pub fn load(&self) -> Result<Scenario, LoadError> {
        let unreadable = |source| LoadError::Unreadable { path: self.path.clone(), source };
        let text = std::fs::read_to_string(&self.path).map_err(unreadable)?;
        Ok(Scenario::parse(&self.path.display().to_string(), &text)?)
    }
}
