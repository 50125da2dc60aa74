//! Limits of client accounts over all entry processes together.
//!
//! [`gate`] is the border to the path of a request: it admits a request of a limited account or
//! refuses it. The decisions behind it are pure: [`division`] divides each limit among the
//! coordinators, [`pool`] grants tokens from the share of one of them, and [`holder`] admits
//! requests of an entry process with these tokens. [`message`] holds what they tell each other,
//! which `nutmegdale-gateway` and `nutmegdale-coordinator` send. See
//! [docs/design/quotas.md](../../../docs/design/quotas.md).

pub mod division;
pub mod gate;
pub mod holder;
pub mod message;
mod meter;
pub mod pool;
