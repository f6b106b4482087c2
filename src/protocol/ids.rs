//! Numbers that identify or order things across processes, one type for each, so
//! that they can't be mixed up.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        #[derive(Serialize, Deserialize, Encode, Decode)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next higher number.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_type!(
    /// Revision of a key's last write, or of the whole store.
    Revision
);
number_type!(
    /// Fencing token: entitles its holder to command a worker. A worker refuses
    /// commands with a lower token than the highest it has seen.
    FencingToken
);
number_type!(
    /// One life of a worker: a new one begins whenever its lease expires.
    Incarnation
);
number_type!(
    /// One attempt to run a task. The tasks of a gang share it.
    Attempt
);
number_type!(
    /// Position of a heartbeat within an incarnation of its worker.
    SequenceNumber
);

number_type!(
    /// A store lease: a lease of the key-value store with a time to live. Keys that
    /// are attached to a store lease are removed when it expires or is revoked.
    StoreLeaseId
);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Revision = Revision(0);

    /// Whether the key does not exist.
    pub fn is_absent(self) -> bool {
        self == Revision::ABSENT
    }
}

impl FencingToken {
    /// What a worker shows that has seen no token yet.
    pub const NONE: FencingToken = FencingToken(0);
}

impl Incarnation {
    /// The incarnation of a worker that has not sent a heartbeat yet.
    pub const NONE: Incarnation = Incarnation(0);
}
