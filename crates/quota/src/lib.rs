//! Limits of client accounts over all entry processes together.
//!
//! [`gate`] is the border to the path of a request: it admits a request of a limited account or
//! refuses it. The decisions behind it are pure; messages between processes are sent by
//! `nutmegdale-gateway` and `nutmegdale-coordinator`. See
//! [docs/design/quotas.md](../../../docs/design/quotas.md).

pub mod gate;
