//! The two replicated prefixes of the table, and the revisions to which a replica is complete.

use ids::Revision;
use wire::control;

/// A prefix of the table whose rows are replicated to every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Prefix {
    /// Declarations, head and change history of the catalogue.
    Catalogue,
    /// Ownership rows, one for each upstream.
    Own,
}

impl Prefix {
    /// All prefixes.
    pub const ALL: [Self; 2] = [Self::Catalogue, Self::Own];

    /// Returns the prefix as it appears at the start of row keys.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue/",
            Self::Own => "own/",
        }
    }

    /// Splits a row's key into its prefix and the rest; returns `None` if the key is below neither
    /// prefix.
    #[must_use]
    pub fn split(key: &str) -> Option<(Self, &str)> {
        let of = |p: Self| key.strip_prefix(p.as_str()).map(|rest| (p, rest));
        Self::ALL.into_iter().find_map(of)
    }

    pub(crate) const fn to_wire(self) -> u32 {
        match self {
            Self::Catalogue => 1,
            Self::Own => 2,
        }
    }

    pub(crate) const fn from_wire(number: u32) -> Option<Self> {
        match number {
            1 => Some(Self::Catalogue),
            2 => Some(Self::Own),
            _ => None,
        }
    }
}

/// The revisions to which a replica is complete.
///
/// A replica that is complete to a revision holds every row of the prefix in the state at that
/// revision or in a later one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermarks {
    /// Revision for [`Prefix::Catalogue`].
    pub catalogue: Revision,
    /// Revision for [`Prefix::Own`].
    pub own: Revision,
}

impl Watermarks {
    /// Returns the revision for `prefix`.
    #[must_use]
    pub const fn get(&self, prefix: Prefix) -> Revision {
        match prefix {
            Prefix::Catalogue => self.catalogue,
            Prefix::Own => self.own,
        }
    }

    /// Raises the revision for `prefix` to at least `revision`; returns whether it was lower
    /// before.
    pub fn raise(&mut self, prefix: Prefix, revision: Revision) -> bool {
        let watermark = match prefix {
            Prefix::Catalogue => &mut self.catalogue,
            Prefix::Own => &mut self.own,
        };
        if *watermark >= revision {
            return false;
        }
        *watermark = revision;
        true
    }
}

impl From<control::Watermarks> for Watermarks {
    fn from(watermarks: control::Watermarks) -> Self {
        Self {
            catalogue: Revision(watermarks.catalogue),
            own: Revision(watermarks.own),
        }
    }
}

impl From<Watermarks> for control::Watermarks {
    fn from(watermarks: Watermarks) -> Self {
        Self {
            catalogue: watermarks.catalogue.0,
            own: watermarks.own.0,
        }
    }
}
