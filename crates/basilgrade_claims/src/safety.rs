//! Switches that disable single safety mechanisms in mutation tests.

/// Which mechanisms against running a key twice are enabled.
///
/// All are enabled outside mutation tests, and no configuration setting can disable one. The tests
/// disable one at a time to show that each is needed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "one switch per mechanism")]
pub struct SafetyChecks {
    /// The primary waits for the backup's acknowledgement before it grants.
    pub backup_acknowledgement: bool,
    /// Primary and backup refuse messages of any pair other than the newest that they know.
    pub pair_check: bool,
    /// A new backup counts as having the claims only after it has received all of them.
    pub transfer_first: bool,
    /// Only the attempt that holds a claim can release it.
    pub attempt_match: bool,
    /// Primary and backup keep the highest version of a claim.
    pub version_order: bool,
    /// Keys created at or after the ceiling of the slot's grant are refused.
    pub ceiling_check: bool,
    /// Keys created before the floor of the slot are never granted.
    pub floor_check: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            backup_acknowledgement: true,
            pair_check: true,
            transfer_first: true,
            attempt_match: true,
            version_order: true,
            ceiling_check: true,
            floor_check: true,
        }
    }
}
