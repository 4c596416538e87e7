//! Numbers for image names, so that machines and jobs need not store the names.

use std::collections::HashMap;

/// Image numbers, in the order in which this leader first saw the names.
#[derive(Debug, Default)]
pub(crate) struct ImageNames {
    names: Vec<String>,
    numbers: HashMap<String, u32>,
}

impl ImageNames {
    /// The number of an image; assigns a new one to an unknown name.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// The name of an image; empty for an unassigned number.
    pub(crate) fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("", String::as_str)
    }
}
