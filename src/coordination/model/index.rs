//! Typed indices into the leader's dense tables.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index as an offset into its table.
            pub fn as_usize(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// Index of an assignment in the leader's table of assignments.
    AssignmentIndex
);
index!(
    /// Index of a machine in the leader's table of machines.
    MachineIndex
);
