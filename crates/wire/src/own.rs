//! Ownership messages between hosts, and what ownership rows hold.
