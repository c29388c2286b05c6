//! The basilgrade daemon.

fn main() {}
