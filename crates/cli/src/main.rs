//! The `medlardyke` command.

fn main() {}
