//! operate: see docs/DESIGN.md.
