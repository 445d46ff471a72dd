//! own: see docs/DESIGN.md.
