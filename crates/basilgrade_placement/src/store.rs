//! Properties of the weight store that placement depends on.

use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use indexmap::IndexMap;

/// Delivery rate of the weight store and sizes of its weights files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    /// Delivery rate shared by all readers, in bytes per second; 0 if the store declares none.
    pub rate: rate::ByteRate,
    /// Size of each weights file; weights that are not listed here cannot be loaded.
    pub sizes: IndexMap<id::ModelId, size::ByteCount>,
}
