//! Starts the replicated groups of a control process.

use nutmegdale_replica::{handle, machine, single};
use nutmegdale_settings::model;
use std::io;

/// Name of the group that replicates the catalogue.
pub const CATALOGUE: &str = "catalogue";

/// Returns the name of the group that keeps the record of one-time requests of a region.
pub fn ledger_group(region: &str) -> String {
    format!("ledger-{region}")
}

/// Starts this process's replica of the group `name` among `members`.
///
/// # Errors
///
/// Returns the error of the operating system if the group's thread cannot be started.
pub fn start(
    _name: &str,
    _members: &[model::Member],
    machine: Box<dyn machine::StateMachine>,
) -> io::Result<handle::Handle> {
    single::start(machine)
}
