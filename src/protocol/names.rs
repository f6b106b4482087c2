//! Interned names: messages contain names, the rest of the program uses dense indices.

use std::{collections::HashMap, marker::PhantomData};

/// Maps names to dense indices of one kind, and back.
#[derive(Debug, Clone)]
pub struct Interner<K> {
    names: Vec<String>,
    indices: HashMap<String, u32>,
    kind: PhantomData<K>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner { names: Vec::new(), indices: HashMap::new(), kind: PhantomData }
    }
}

/// Defines a dense index of one kind, so that indices of different kinds can't be
/// mixed up.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl From<u32> for $name {
            fn from(index: u32) -> Self {
                $name(index)
            }
        }

        impl $name {
            /// Returns the index as a position in a list.
            pub fn as_usize(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index_type!(
    /// Index of a team.
    TeamIndex
);
index_type!(
    /// Index of a class of jobs.
    ClassIndex
);
index_type!(
    /// Index of a zone.
    ZoneIndex
);
index_type!(
    /// Index of a machine type.
    MachineTypeIndex
);
index_type!(
    /// Index of an image.
    ImageIndex
);

pub(crate) use index_type;

impl<K: From<u32>> Interner<K> {
    /// Returns the index of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&index) = self.indices.get(name) {
            return K::from(index);
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        K::from(index)
    }

    /// Returns the index of a name; `None` if the name was never added.
    pub fn find(&self, name: &str) -> Option<K> {
        self.indices.get(name).copied().map(K::from)
    }

    /// Returns the name of an index; `?` for one that was never assigned.
    pub fn name(&self, index: u32) -> &str {
        self.names.get(index as usize).map_or("?", String::as_str)
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Reports whether there are no names yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Interners of one process, one for each kind of name.
#[derive(Debug, Default, Clone)]
pub struct Interners {
    /// Names of teams.
    pub teams: Interner<TeamIndex>,
    /// Names of job classes.
    pub classes: Interner<ClassIndex>,
    /// Names of zones.
    pub zones: Interner<ZoneIndex>,
    /// Names of machine types.
    pub types: Interner<MachineTypeIndex>,
    /// Names of images.
    pub images: Interner<ImageIndex>,
}
