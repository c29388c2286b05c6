//! Interface between the replay of a log stream and the state that its records produce.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Serialize;
use serde::de;

/// The state that results from applying the records of one log stream in order.
///
/// [`Replay::apply`] must depend on its arguments alone, so that all readers reach the same
/// state.
pub trait Replay: Clone + Default + Serialize + de::DeserializeOwned {
    /// The type of the records of the stream.
    type Record: Serialize + de::DeserializeOwned;
    /// The type that reports the effect of a record.
    type Event;
    /// Data that applying a record needs besides the state and the record.
    type Context: ?Sized;

    /// Applies a record that is not a snapshot, and appends its effects to `events`.
    fn apply(
        &mut self,
        context: &Self::Context,
        offset: offset::Offset,
        record: Self::Record,
        events: &mut Vec<Self::Event>,
    );

    /// Extracts from a snapshot the offset of the last record that it includes, the wall-clock time
    /// of its writer, and the state.
    ///
    /// # Errors
    ///
    /// Returns `record` unchanged if it is not a snapshot.
    fn from_snapshot(
        record: Self::Record,
    ) -> Result<(offset::Offset, clock::Millis, Self), Self::Record>;

    /// Whether this state can be the same as or later than `earlier`.
    ///
    /// Readers ignore a snapshot or a peer's state that is older than their own, so that no
    /// revision, grant or lease in force is reverted.
    fn can_follow(&self, earlier: &Self) -> bool;

    /// Creates a snapshot record of this state, which includes all records up to `through` and was
    /// written at wall-clock time `at`.
    fn to_snapshot(&self, through: offset::Offset, at: clock::Millis) -> Self::Record;
}
