//! What a stream's state has to offer for replay.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Serialize;
use serde::de;

/// The state that the records of one stream add up to.
///
/// `apply` has to depend on its arguments alone, so that all readers reach the same state.
pub trait StreamState: Clone + Default + Serialize + de::DeserializeOwned {
    /// The records of the stream.
    type Record: Serialize + de::DeserializeOwned;
    /// What the application of a record reports.
    type Event;
    /// What the application needs besides the state.
    type Context: ?Sized;

    /// Applies a record that is not a snapshot, and reports what it did.
    fn apply(
        &mut self,
        context: &Self::Context,
        offset: offset::Offset,
        record: Self::Record,
        events: &mut Vec<Self::Event>,
    );

    /// The included offset, the writer's wall time and the state, if `record` is a snapshot.
    ///
    /// # Errors
    ///
    /// Hands back a record that is not a snapshot.
    fn from_snapshot(
        record: Self::Record,
    ) -> Result<(offset::Offset, clock::Millis, Self), Self::Record>;

    /// Whether this state can be a later one than `earlier`; a snapshot or a peer's state that is
    /// not is refused, so that nothing in force reverts.
    fn can_follow(&self, earlier: &Self) -> bool;

    /// A snapshot of this state.
    fn to_snapshot(&self, through: offset::Offset, at: clock::Millis) -> Self::Record;
}
