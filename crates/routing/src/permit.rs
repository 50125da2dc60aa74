//! Permission to serve, forward or store a request in a region.

use nutmegdale_base::entity;

/// Set of regions, as a bit mask. The system has three regions; 64 are supported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet {
    mask: u64,
}

impl RegionSet {
    /// Every region.
    pub const ALL: RegionSet = RegionSet { mask: u64::MAX };
    /// No region.
    pub const NONE: RegionSet = RegionSet { mask: 0 };

    /// Adds a region. A region beyond the 64th is not added, so the set fails closed.
    pub fn insert(&mut self, region: entity::Region) {
        self.mask |= bit(region);
    }

    /// Returns the regions in both sets.
    pub fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet {
            mask: self.mask & other.mask,
        }
    }

    /// Returns the bit mask; the index of a region is the number of its bit.
    pub fn mask(self) -> u64 {
        self.mask
    }

    /// Returns whether a region is in the set.
    pub fn contains(self, region: entity::Region) -> bool {
        self.mask & bit(region) != 0
    }
}

fn bit(region: entity::Region) -> u64 {
    let shift = u32::try_from(entity::EntityRef::index(region)).unwrap_or(u32::MAX);
    1_u64.checked_shl(shift).unwrap_or(0)
}

/// Proof that a request may be processed and stored in a region.
///
/// Only [`RegionSet::permit`] creates one, and every function that sends or stores a request takes
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    region: entity::Region,
}

impl RegionSet {
    /// Returns a permit if the region is in the set.
    pub fn permit(self, region: entity::Region) -> Option<Permit> {
        self.contains(region).then_some(Permit { region })
    }
}

impl Permit {
    /// Returns the region that the permit covers.
    pub fn region(self) -> entity::Region {
        self.region
    }
}
