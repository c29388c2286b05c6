//! What placement knows of the weight store.

use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use indexmap::IndexMap;

/// Rate and sizes of the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    /// Delivery rate shared by all readers; 0 if the store names none.
    pub rate: rate::ByteRate,
    /// Size of each weights file; others cannot be loaded.
    pub sizes: IndexMap<id::ModelId, size::ByteCount>,
}
