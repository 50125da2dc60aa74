//! Hashes that every process of one build computes alike.

use std::collections::hash_map;
use std::hash::{Hash, Hasher};

/// Returns the hash of a value. Its keys are fixed, unlike those of a hash map, so processes can
/// compare it, and rank alike by it, without a message.
pub fn of(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = hash_map::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
