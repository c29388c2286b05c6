//! Stage results that a request holds.

use std::sync;

use basilgrade_fleet::model::handle;
use basilgrade_types::id;
use basilgrade_types::size;

use crate::gather::client;

/// Results of the pieces of one stage.
#[derive(Clone, Debug)]
struct Stage {
    place: usize,
    pool: id::PoolId,
    bytes: size::ByteCount,
    handles: Vec<handle::Handle>,
}

/// Results by stage; they are freed when this is dropped.
pub struct Results {
    client: sync::Arc<client::Client>,
    stages: Vec<Stage>,
}

impl Drop for Results {
    fn drop(&mut self) {
        while let Some(stage) = self.stages.pop() {
            self.client
                .release(&stage.pool, stage.handles, stage.bytes.0);
        }
    }
}

impl Results {
    /// No results yet.
    pub fn new(client: sync::Arc<client::Client>) -> Self {
        Self {
            client,
            stages: Vec::new(),
        }
    }

    /// Adds the results of the stage at `place`.
    pub fn add(
        &mut self,
        place: usize,
        pool: id::PoolId,
        bytes: size::ByteCount,
        handles: Vec<handle::Handle>,
    ) {
        self.stages.push(Stage {
            place,
            pool,
            bytes,
            handles,
        });
    }

    /// Frees the results of the stage at `place`.
    pub fn free(&mut self, place: usize) {
        let Some(found) = self.stages.iter().position(|stage| stage.place == place) else {
            return;
        };
        let stage = self.stages.swap_remove(found);
        self.client
            .release(&stage.pool, stage.handles, stage.bytes.0);
    }

    /// Leaves the results of the stage at `place` to the daemon that fetched them last.
    pub fn leave(&mut self, place: usize) {
        self.stages.retain(|stage| stage.place != place);
    }

    /// Results of the stages at `places`, in the order of `places`.
    pub fn of(&self, places: impl Iterator<Item = usize>) -> Vec<handle::Handle> {
        places
            .filter_map(|place| self.stages.iter().find(|stage| stage.place == place))
            .flat_map(|stage| stage.handles.iter().cloned())
            .collect()
    }

    /// Results with their sizes.
    pub fn sized(&self) -> impl Iterator<Item = (&handle::Handle, u64)> {
        self.stages
            .iter()
            .flat_map(|stage| stage.handles.iter().map(|handle| (handle, stage.bytes.0)))
    }
}
