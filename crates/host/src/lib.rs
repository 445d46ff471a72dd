//! host: see docs/DESIGN.md.
