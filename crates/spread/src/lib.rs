//! spread: see docs/DESIGN.md.
