//! Identity of a simulated controller process.

/// One process of one controller: each restart of a controller starts a new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// Index of the controller in the site's list of controllers.
    pub controller: usize,
    /// Number of starts and kills of the controller up to and including the start of this process; 0 for no process.
    pub incarnation: u32,
}

impl ProcessId {
    /// The sender to put on a request whose reply is to be lost: no process ever has the returned identity.
    pub fn discarding_reply(self) -> ProcessId {
        ProcessId { incarnation: 0, ..self }
    }

    /// Whether the sender waits for a reply, which it does unless [`ProcessId::discarding_reply`] replaced it.
    pub fn expects_replies(self) -> bool {
        self.incarnation != 0
    }
}
