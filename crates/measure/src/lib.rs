//! measure: see docs/DESIGN.md.
