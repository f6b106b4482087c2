//! Names are mapped to dense indices at the door; inside, indices are compared.

use std::{collections::HashMap, marker::PhantomData};

/// Maps names to dense indices of one kind, and back.
#[derive(Debug, Clone)]
pub struct Names<K> {
    list: Vec<String>,
    index: HashMap<String, u32>,
    kind: PhantomData<K>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Names { list: Vec::new(), index: HashMap::new(), kind: PhantomData }
    }
}

macro_rules! kind {
    ($name:ident, $doc:literal) => {
        #[doc = $doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl From<u32> for $name {
            fn from(n: u32) -> Self {
                $name(n)
            }
        }

        impl $name {
            pub fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

kind!(TeamIx, "A team.");
kind!(ClassIx, "A class of jobs.");
kind!(ZoneIx, "A zone.");
kind!(TypeIx, "A machine type.");
kind!(ImageIx, "An image.");

impl<K: From<u32>> Names<K> {
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&ix) = self.index.get(name) {
            return K::from(ix);
        }
        let ix = self.list.len() as u32;
        self.list.push(name.to_owned());
        self.index.insert(name.to_owned(), ix);
        K::from(ix)
    }

    pub fn find(&self, name: &str) -> Option<K> {
        self.index.get(name).copied().map(K::from)
    }

    pub fn name(&self, ix: u32) -> &str {
        self.list.get(ix as usize).map_or("?", String::as_str)
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// The tables of one process.
#[derive(Debug, Default, Clone)]
pub struct Tables {
    pub teams: Names<TeamIx>,
    pub classes: Names<ClassIx>,
    pub zones: Names<ZoneIx>,
    pub types: Names<TypeIx>,
    pub images: Names<ImageIx>,
}
