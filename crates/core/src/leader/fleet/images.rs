//! Images by number, so that machines and jobs need not hold their names.

use std::collections::HashMap;

/// Numbers of images, in the order in which they became known to this leader.
#[derive(Debug, Default)]
pub(crate) struct ImageNames {
    names: Vec<String>,
    numbers: HashMap<String, u32>,
}

impl ImageNames {
    /// The number of an image, a new one if it was not known.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// The name of an image, empty for a number that was not given out.
    pub(crate) fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("", String::as_str)
    }
}
