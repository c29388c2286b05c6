//! The operators' command line of basilgrade.

fn main() {}
