//! route: see docs/DESIGN.md.
