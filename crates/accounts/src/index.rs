//! Immutable lookup of accounts by the digest of a key.

use crate::{account, key};
use std::collections;
use std::fmt;
use std::sync;

/// First bytes of a digest, by which digests are grouped.
type Prefix = [u8; 8];

fn prefix(digest: &key::Digest) -> Prefix {
    let [a, b, c, d, e, f, g, h, ..] = *digest.bytes();
    [a, b, c, d, e, f, g, h]
}

/// Accounts of one version of the configuration.
///
/// The hash table is keyed by a prefix only and whole digests are compared in constant time, so the
/// time of a lookup says nothing about the rest of a stored digest.
#[derive(Default)]
pub struct Index {
    by_prefix: collections::HashMap<Prefix, Vec<(key::Digest, sync::Arc<account::Account>)>>,
    accounts_count: usize,
}

impl Index {
    /// Creates the index of a validated list, in which no two accounts share a key.
    pub fn new(accounts: &[account::Account]) -> Index {
        let mut index = Index {
            accounts_count: accounts.len(),
            ..Index::default()
        };
        for account in accounts {
            let account = sync::Arc::new(account.clone());
            for digest in &account.keys {
                let entries = index.by_prefix.entry(prefix(digest)).or_default();
                entries.push((*digest, sync::Arc::clone(&account)));
            }
        }
        index
    }

    /// Returns the account that has the key with this digest.
    pub fn find(&self, digest: &key::Digest) -> Option<&sync::Arc<account::Account>> {
        let entries = self.by_prefix.get(&prefix(digest))?;
        let found = entries.iter().find(|(known, _)| known == digest);
        found.map(|(_, account)| account)
    }

    /// Returns the number of accounts.
    pub fn accounts_count(&self) -> usize {
        self.accounts_count
    }
}

/// Prints no part of a digest.
impl fmt::Debug for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Index")
            .field("accounts_count", &self.accounts_count)
            .finish_non_exhaustive()
    }
}
