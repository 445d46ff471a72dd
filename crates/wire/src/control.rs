//! Heartbeats and the spreading of table rows between hosts.
