//! At-most-once claims on request keys.
//!
//! [`claims::Claims`] is the state machine of one daemon in its three roles: entry daemon of its
//! callers' requests, primary of some slots and backup of others. It performs no I/O: messages,
//! log state, time, randomness and the view of the cluster go in, [`output::Output`] comes out.

pub mod answer_store;
pub mod attempt_id;
pub mod claim_key;
pub mod claim_record;
pub mod claim_table;
pub mod claims;
pub mod cluster_view;
pub mod decision;
pub mod fingerprint;
pub mod message;
pub mod output;
pub mod safety_checks;
pub mod settings;
pub mod settlement;

mod backup_role;
mod entry_role;
mod pending;
mod placement;
mod primary_role;
mod proposer;
mod slot_state;
mod sync;
