//! Tasks that are stopped together with their owner.

use tokio::task::{AbortHandle, JoinHandle};

/// A running task, aborted when this is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(AbortHandle);

impl<T> From<JoinHandle<T>> for AbortOnDrop {
    fn from(task: JoinHandle<T>) -> AbortOnDrop {
        AbortOnDrop(task.abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
