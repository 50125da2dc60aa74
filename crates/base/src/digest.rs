//! Hashes that are equal in all processes of one build.

use std::collections::hash_map;
use std::hash::{Hash, Hasher};

/// Returns the hash of a value. Unlike in a hash map, the keys of the hasher are fixed, so
/// processes can compare hashes and derive the same ranking from them without
/// coordination.
pub fn of(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = hash_map::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
