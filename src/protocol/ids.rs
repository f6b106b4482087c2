//! Identifiers and sequence numbers that are exchanged between processes. Each
//! has a type of its own, so that they can't be mixed up.

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
            /// Returns the next higher number.
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
    /// Revision of a key's last write, or of the whole key-value store.
    Revision
);
number_type!(
    /// Fencing token: gives its holder the authority to send commands to a worker.
    /// A worker rejects commands with a lower token than the highest it has seen.
    FencingToken
);
number_type!(
    /// Incarnation of a worker: increases whenever its worker lease expires.
    Incarnation
);
number_type!(
    /// Number of one attempt to run a task. All tasks of a gang have the same number.
    Attempt
);
number_type!(
    /// Sequence number of a heartbeat within an incarnation of its worker.
    SequenceNumber
);

number_type!(
    /// Identifies a store lease: a lease of the key-value store with a time to
    /// live. Keys that are attached to a store lease are removed when it expires
    /// or is revoked.
    StoreLeaseId
);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Revision = Revision(0);

    /// Reports whether the key does not exist.
    pub fn is_absent(self) -> bool {
        self == Revision::ABSENT
    }
}

impl FencingToken {
    /// Token that a worker reports while it has not seen any token.
    pub const NONE: FencingToken = FencingToken(0);
}

impl Incarnation {
    /// Incarnation of a worker that has not sent a heartbeat yet.
    pub const NONE: Incarnation = Incarnation(0);
}
