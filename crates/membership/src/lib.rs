//! Membership: which backend servers and entry processes are live.
//!
//! Three tables, each with one owner: [`local::LocalTable`] holds the leases of the servers that
//! announce themselves to one entry process, [`hub::HubTable`] merges the changes of all entry
//! processes at the leader of the control group, and [`directory::Directory`] is the copy that each
//! entry process builds its routing view from. Renewals end at the local table and only changes
//! are sent on, so traffic grows with changes and not with servers × entry processes. All three
//! are soft state that is rebuilt from announcements. See
//! [docs/design.md](../../../docs/design.md), section 6, "Membership of servers".

pub mod announcement;
pub mod directory;
pub mod hold;
pub mod hub;
pub mod local;
