//! The process's limit on open descriptors.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Descriptors needed in addition to sockets: for the standard streams, the event
/// loop itself and a file being read.
const OTHER_DESCRIPTORS: u64 = 64;

/// Whether the process may open the descriptors that it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DescriptorLimit {
    /// The limit covers all sockets that the settings allow and the other descriptors.
    Enough,
    /// The limit stays at this number of descriptors in total, below the number needed,
    /// because the hard limit is lower or the soft limit could not be raised.
    TooLow(u64),
}

/// Raises the soft limit on descriptors to the number needed for `sockets` sockets, or
/// to the hard limit if that is lower.
///
/// The usual soft limit of 1,024 is lower than the number of sockets that a controller
/// of a large fleet may use. Connections of workers beyond that limit would fail.
pub fn raise_descriptor_limit(sockets: usize) -> DescriptorLimit {
    let needed = sockets as u64 + OTHER_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    // `None` means that there is no limit.
    let Some(current) = limit.current.filter(|&current| current < needed) else { return DescriptorLimit::Enough };
    let target = limit.maximum.map_or(needed, |maximum| needed.min(maximum));
    let raised = Rlimit { current: Some(target), maximum: limit.maximum };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) if target == needed => DescriptorLimit::Enough,
        Ok(()) => DescriptorLimit::TooLow(target),
        Err(_) => DescriptorLimit::TooLow(current),
    }
}

#[cfg(test)]
#[path = "tests/descriptors.rs"]
mod tests;
