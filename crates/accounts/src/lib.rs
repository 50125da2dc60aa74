//! Client accounts: who sends a request, as both front ends see it.
//!
//! [`key`] holds the digests of the keys by which callers are recognised, and [`account`] what an
//! account is allowed. [`index`] finds the account of a key, [`lease`] limits the age of the copy on
//! which a decision may be based, and [`identify`] decides whose request it is. The crate does no
//! I/O, reads no clock and knows no encoding: front ends turn their own documents into these types,
//! and `nutmegdale-gateway` and `nutmegdale-entry` decide with them. See
//! [docs/design/accounts.md](../../../docs/design/accounts.md).

pub mod account;
pub mod identify;
pub mod index;
pub mod key;
pub mod lease;
