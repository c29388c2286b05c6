//! Stage results that are kept for a request.

use std::sync;

use basilgrade_fleet::model::handle;
use basilgrade_types::id;
use basilgrade_types::size;

use crate::gather::client;

/// Results of the pieces of one stage.
#[derive(Clone, Debug)]
struct Stage {
    index: usize,
    pool: id::PoolId,
    bytes: size::ByteCount,
    handles: Vec<handle::Handle>,
}

/// Results of a request's stages, freed at their upstreams on drop.
pub struct StageResults {
    client: sync::Arc<client::JobClient>,
    stages: Vec<Stage>,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        while let Some(stage) = self.stages.pop() {
            self.client
                .release(&stage.pool, stage.handles, stage.bytes.0);
        }
    }
}

impl StageResults {
    /// Creates an empty collection that frees results through `client`.
    pub fn new(client: sync::Arc<client::JobClient>) -> Self {
        Self {
            client,
            stages: Vec::new(),
        }
    }

    /// Adds the results of the stage with `index` in the route, with a size of about `bytes` each.
    pub fn add(
        &mut self,
        index: usize,
        pool: id::PoolId,
        bytes: size::ByteCount,
        handles: Vec<handle::Handle>,
    ) {
        self.stages.push(Stage {
            index,
            pool,
            bytes,
            handles,
        });
    }

    /// Frees the results of the stage with `index`.
    pub fn release(&mut self, index: usize) {
        let Some(found) = self.stages.iter().position(|stage| stage.index == index) else {
            return;
        };
        let stage = self.stages.swap_remove(found);
        self.client
            .release(&stage.pool, stage.handles, stage.bytes.0);
    }

    /// Removes the results of the stage with `index` without freeing them, as the daemon that keeps
    /// the queue of the next stage frees them.
    pub fn forget(&mut self, index: usize) {
        self.stages.retain(|stage| stage.index != index);
    }

    /// Results of the stages with `indices`, in the order of `indices`.
    pub fn of(&self, indices: impl Iterator<Item = usize>) -> Vec<handle::Handle> {
        indices
            .filter_map(|index| self.stages.iter().find(|stage| stage.index == index))
            .flat_map(|stage| stage.handles.iter().cloned())
            .collect()
    }

    /// All results, each with its approximate size in bytes.
    pub fn sized(&self) -> impl Iterator<Item = (&handle::Handle, u64)> {
        self.stages
            .iter()
            .flat_map(|stage| stage.handles.iter().map(|handle| (handle, stage.bytes.0)))
    }
}
