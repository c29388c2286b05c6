//! Switches that disable single mechanisms in mutation tests.

/// Which mechanisms are active; all of them outside mutation tests.
///
/// No setting reaches this. Tests use it to show that each mechanism is needed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "one switch per mechanism")]
pub struct SafetyChecks {
    /// The primary waits for the backup's acknowledgement before it grants.
    pub backup_acknowledgement: bool,
    /// Members refuse messages of another pair than the newest they know.
    pub pair_check: bool,
    /// A new backup counts as a member with claims only after it has received all of them.
    pub transfer_first: bool,
    /// Only the attempt that holds a claim can release it.
    pub attempt_match: bool,
    /// Members keep the highest version of a claim.
    pub version_order: bool,
    /// Keys at or above the ceiling are refused.
    pub ceiling_check: bool,
    /// Keys below the floor never run.
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
