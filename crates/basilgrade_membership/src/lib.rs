//! Membership, failure detection and dissemination of state between daemons.
