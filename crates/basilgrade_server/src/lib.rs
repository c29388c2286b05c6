//! The daemon: caller interface, pipeline executor, background tasks, metrics and shutdown.
