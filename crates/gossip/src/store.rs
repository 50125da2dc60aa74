//! Facts of one kind by key, which merge in any order to the same result.

use nutmegdale_base::{clock, digest};
use serde::{Deserialize, Serialize};
use std::cmp;
use std::collections;
use std::hash::Hash;

/// Value of a fact.
///
/// Merging is commutative, associative and idempotent, so processes that have received the same
/// values agree, whatever the order and number of messages.
pub trait Value: Clone + Hash {
    /// Merges the value that another process holds; returns whether this one changed.
    fn merge(&mut self, other: &Self) -> bool;

    /// Returns the time after its last change after which the fact is forgotten.
    fn lifetime(&self) -> clock::Millis;

    /// Returns how much the loss of the fact would matter; a full store forgets those of the lowest
    /// weight first.
    fn weight(&self) -> usize {
        0
    }
}

/// Fact as it is told to other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact<V> {
    /// What the fact is about.
    pub key: u64,
    /// Time since its last change. Clocks of processes differ, so no time of day is told.
    pub age: clock::Millis,
    /// Value of the fact.
    pub value: V,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    /// Time at which the fact is forgotten. The time of its last change would not do: it may lie
    /// before the start of the clock of this process.
    expires_at: clock::Millis,
    /// Number of peers that are still to be told.
    sends_left: u32,
}

impl<V: Value> Entry<V> {
    /// Returns the time since the last change.
    fn age(&self, now: clock::Millis) -> clock::Millis {
        let rest = self.expires_at.since(now);
        self.value.lifetime().since(rest)
    }

    fn fact(&self, key: u64, now: clock::Millis) -> Fact<V> {
        Fact {
            key,
            age: self.age(now),
            value: self.value.clone(),
        }
    }
}

/// Bounded set of facts of one kind.
#[derive(Debug)]
pub struct Store<V> {
    entries: collections::BTreeMap<u64, Entry<V>>,
    max_count: usize,
}

impl<V: Value> Store<V> {
    /// Creates an empty store that holds at most `max_count` facts.
    pub fn new(max_count: usize) -> Store<V> {
        Store {
            entries: collections::BTreeMap::new(),
            max_count,
        }
    }

    /// Returns the value for a key.
    pub fn get(&self, key: u64) -> Option<&V> {
        self.entries.get(&key).map(|entry| &entry.value)
    }

    /// Returns the value for a key and the time since its last change.
    pub fn get_aged(&self, now: clock::Millis, key: u64) -> Option<(&V, clock::Millis)> {
        let entry = self.entries.get(&key)?;
        Some((&entry.value, entry.age(now)))
    }

    /// Returns whether there are no facts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns all facts by key.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &V)> {
        self.entries.iter().map(|(key, entry)| (*key, &entry.value))
    }

    /// Merges a fact that is `age` old; returns whether that changed the store. A changed fact is
    /// told to `sends_count` peers.
    pub fn merge(&mut self, now: clock::Millis, fact: &Fact<V>, sends_count: u32) -> bool {
        if fact.age >= fact.value.lifetime() {
            return false;
        }
        let expires_at = |value: &V, age| now + value.lifetime().since(age);
        if let Some(entry) = self.entries.get_mut(&fact.key) {
            let age = entry.age(now).min(fact.age);
            if !entry.value.merge(&fact.value) {
                return false;
            }
            entry.expires_at = expires_at(&entry.value, age);
            entry.sends_left = sends_count;
            return true;
        }
        if self.entries.len() >= self.max_count {
            self.remove_least(now);
        }
        let entry = Entry {
            expires_at: expires_at(&fact.value, fact.age),
            value: fact.value.clone(),
            sends_left: sends_count,
        };
        self.entries.insert(fact.key, entry);
        true
    }

    /// Removes the oldest of the facts with the lowest weight.
    fn remove_least(&mut self, now: clock::Millis) {
        let entries = self.entries.iter();
        let least = entries.min_by_key(|(_, e)| (e.value.weight(), cmp::Reverse(e.age(now))));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }

    /// Removes the facts whose lifetime has passed and returns their keys.
    pub fn expire(&mut self, now: clock::Millis) -> Vec<u64> {
        let expired = self.entries.iter().filter(|(_, e)| e.expires_at <= now);
        let expired: Vec<_> = expired.map(|(key, _)| *key).collect();
        for key in &expired {
            self.entries.remove(key);
        }
        expired
    }

    /// Returns whether a fact is still to be told to peers.
    pub fn has_news(&self) -> bool {
        self.entries.values().any(|entry| entry.sends_left > 0)
    }

    /// Returns up to `max_count` of the facts that are to be told, and counts each as told to one
    /// more peer.
    pub fn take_news(&mut self, now: clock::Millis, max_count: usize) -> Vec<Fact<V>> {
        let untold = self.entries.iter_mut().filter(|(_, e)| e.sends_left > 0);
        let news = untold.take(max_count).map(|(key, entry)| {
            entry.sends_left -= 1;
            entry.fact(*key, now)
        });
        news.collect()
    }

    /// Returns all facts.
    pub fn facts(&self, now: clock::Millis) -> Vec<Fact<V>> {
        let entries = self.entries.iter();
        entries.map(|(key, entry)| entry.fact(*key, now)).collect()
    }

    /// Returns a digest of all facts, which is equal at processes that hold the same ones.
    pub fn digest(&self) -> u64 {
        let entries = self.entries.iter();
        let digests = entries.map(|(key, entry)| digest::of(&(key, &entry.value)));
        digests.fold(0, |sum, digest| sum ^ digest)
    }
}
