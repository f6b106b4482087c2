//! The process's limit on open descriptors.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Descriptors needed besides sockets: standard streams, the event loop's own,
/// and a file being read.
const OTHER_DESCRIPTORS: u64 = 64;

/// What the process may open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DescriptorLimit {
    /// As many sockets as the settings allow, and what is needed besides.
    Enough,
    /// Only so many descriptors in all, since the hard limit is lower.
    TooLow(u64),
}

/// Raises the soft limit on descriptors as far as `sockets` sockets need it.
///
/// Guard: the usual soft limit of 1,024 is below the sockets that a controller
/// of a large fleet is allowed; beyond it, connections of workers would fail.
pub fn raise_descriptor_limit(sockets: usize) -> DescriptorLimit {
    let needed = sockets as u64 + OTHER_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    // `None`: there is no limit.
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
