//! gate: see docs/DESIGN.md.
