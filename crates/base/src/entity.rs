//! Typed indices and the dense maps they index.
//!
//! An index is valid only for the map that issued it. The types do not tell two maps with the same
//! key type apart; their owners do, see [docs/design.md](../../../docs/design.md).

use std::fmt;
use std::marker;
use std::ops;

/// Index of an entity in a [`PrimaryMap`].
pub trait EntityRef: Copy + Eq + fmt::Debug {
    /// Creates the index at a position.
    fn new(index: usize) -> Self;
    /// Returns the position.
    fn index(self) -> usize;
}

/// Declares a `u32` newtype that implements [`EntityRef`].
#[macro_export]
macro_rules! entity_ref {
    ($(#[$attr:meta])* $name:ident, $prefix:literal) => {
        $(#[$attr])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::entity::EntityRef for $name {
            fn new(index: usize) -> Self {
                $name(u32::try_from(index).expect("more than u32::MAX entities of one kind"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

entity_ref!(
    /// Region: a group of availability zones with cheap links between them.
    Region,
    "region"
);
entity_ref!(
    /// Availability zone.
    Zone,
    "zone"
);
entity_ref!(
    /// Service: the set of backend servers that handle the same requests.
    Service,
    "service"
);
entity_ref!(
    /// Backend server.
    Server,
    "server"
);
entity_ref!(
    /// Route of the catalogue.
    Route,
    "route"
);
entity_ref!(
    /// Client account of the catalogue.
    Account,
    "account"
);
entity_ref!(
    /// Entry VM.
    Entry,
    "entry"
);

/// Dense map that issues its own keys in order.
#[derive(Clone)]
pub struct PrimaryMap<K, V> {
    elems: Vec<V>,
    key: marker::PhantomData<K>,
}

impl<K: EntityRef, V> PrimaryMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        PrimaryMap {
            elems: Vec::new(),
            key: marker::PhantomData,
        }
    }

    /// Adds an element and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::new(self.elems.len());
        self.elems.push(value);
        key
    }

    /// Returns the element at `key`, or `None` if another map issued the key.
    pub fn get(&self, key: K) -> Option<&V> {
        self.elems.get(key.index())
    }

    /// Returns the number of elements.
    pub fn len(&self) -> usize {
        self.elems.len()
    }

    /// Returns whether the map has no element.
    pub fn is_empty(&self) -> bool {
        self.elems.is_empty()
    }

    /// Returns every key in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.elems.len()).map(K::new)
    }

    /// Returns every element in order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.elems.iter()
    }

    /// Returns every key with its element in order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.elems.iter().enumerate().map(|(i, v)| (K::new(i), v))
    }
}

impl<K: EntityRef, V> Default for PrimaryMap<K, V> {
    fn default() -> Self {
        PrimaryMap::new()
    }
}

impl<K: EntityRef, V> ops::Index<K> for PrimaryMap<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.elems[key.index()]
    }
}

impl<K: EntityRef, V> ops::IndexMut<K> for PrimaryMap<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.elems[key.index()]
    }
}

impl<K: EntityRef, V: fmt::Debug> fmt::Debug for PrimaryMap<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}
