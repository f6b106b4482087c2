//! The table of machines, by index and by name.

use std::{
    collections::HashMap,
    ops::{Deref, DerefMut},
};

use crate::coordination::model::{Machine, MachineIndex};

/// All machines known so far. None is ever removed, so an index stays valid.
/// Dereferences to a slice, through which machines can be read and modified but
/// not removed.
#[derive(Debug, Default)]
pub(super) struct MachineRegistry {
    machines: Vec<Machine>,
    index_by_name: HashMap<String, MachineIndex>,
}

impl MachineRegistry {
    /// Returns the index of the machine with this name, if it is known.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.index_by_name.get(name).copied()
    }

    /// Adds a machine whose name is not known yet, and returns its index.
    pub fn add(&mut self, machine: Machine) -> MachineIndex {
        let index = MachineIndex(self.machines.len() as u32);
        self.index_by_name.insert(machine.id.clone(), index);
        self.machines.push(machine);
        index
    }
}

impl Deref for MachineRegistry {
    type Target = [Machine];

    fn deref(&self) -> &[Machine] {
        &self.machines
    }
}

impl DerefMut for MachineRegistry {
    fn deref_mut(&mut self) -> &mut [Machine] {
        &mut self.machines
    }
}
