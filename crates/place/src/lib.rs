//! place: see docs/DESIGN.md.
