//! Regions in which a request may be served.

use std::fmt;

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// Regions in which a request may be served; its body, its stage results and copies of them may be
/// nowhere else.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<Vec<id::RegionId>>);

impl AllowedRegions {
    /// All regions.
    pub const ANYWHERE: Self = Self(None);

    /// The regions that `names` lists; all if the list is empty.
    ///
    /// A name that no region can have is left out. If none is left, the request may be served
    /// nowhere.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut names = names.into_iter().peekable();
        if names.peek().is_none() {
            return Self::ANYWHERE;
        }
        Self(Some(names.filter_map(|name| name.parse().ok()).collect()))
    }

    /// Only this region, or nowhere if it is not known.
    pub fn only(region: Option<&id::RegionId>) -> Self {
        Self(Some(region.into_iter().cloned().collect()))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(other)) => {
                let both = one.iter().filter(|region| other.contains(region));
                Self(Some(both.cloned().collect()))
            }
        }
    }

    /// Whether some region is not allowed.
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Whether the request may be served in `region`; a place of unknown region is allowed only
    /// without a restriction.
    pub fn allows(&self, region: Option<&id::RegionId>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }

    /// The regions of the restriction; none if there is no restriction.
    pub fn iter(&self) -> impl Iterator<Item = &id::RegionId> {
        self.0.iter().flatten()
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else {
            return f.write_str("any");
        };
        if regions.is_empty() {
            return f.write_str("none");
        }
        let names: Vec<_> = regions.iter().map(id::RegionId::as_str).collect();
        f.write_str(&names.join(","))
    }
}
