//! Configuration and process settings: reading, checking, printing and comparing.

pub mod model;
