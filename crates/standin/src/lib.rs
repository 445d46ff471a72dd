//! standin: see docs/DESIGN.md.
