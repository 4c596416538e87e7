//! Identity of a controller process in a simulation.

/// One run of one controller: a restart makes another process of the same controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// Index of the controller in its site.
    pub controller: usize,
    /// How often the controller had been started or killed when this process began; 0 for no process.
    pub incarnation: u32,
}

impl ProcessId {
    /// The sender of a request whose answer is lost: no process ever has this identity.
    pub fn discarding_reply(self) -> ProcessId {
        ProcessId { incarnation: 0, ..self }
    }
}
