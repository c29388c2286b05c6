//! At-most-once claims on request keys.
//!
//! A claim reserves a request key for one attempt, so that the call made under the key is sent at
//! most once. The key space is divided into slots, each owned by a primary and a backup daemon.
//!
//! [`claims::Claims`] is the state machine of one daemon in its three roles: entry daemon of its
//! callers' requests, primary of some slots and backup of others. It performs no I/O: its inputs
//! are messages, log state, time, randomness and the view of the cluster, and its results are
//! [`output::Output`] values.

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
pub mod safety;
pub mod settings;
pub mod settlement;

mod backup_role;
mod entry_role;
mod pending_change;
mod primary_role;
mod proposer;
mod slot_placement;
mod slot_state;
mod sync;
