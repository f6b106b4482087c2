use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::{raise_descriptor_limit, DescriptorLimit, OTHER_DESCRIPTORS};

/// Without the raised soft limit, a controller that may use 4,500 sockets had no
/// descriptors for most of them. The hard limit must not change.
#[test]
fn soft_limit_is_raised_to_the_descriptors_needed_and_never_lowered() {
    let original = getrlimit(Resource::Nofile);
    let maximum = original.maximum.unwrap_or(u64::MAX);
    setrlimit(Resource::Nofile, Rlimit { current: Some(1_024.min(maximum)), ..original }).unwrap();
    let sockets = 4_500;
    let needed = sockets + OTHER_DESCRIPTORS;
    let expected = if needed <= maximum { DescriptorLimit::Enough } else { DescriptorLimit::TooLow(maximum) };
    assert_eq!(raise_descriptor_limit(sockets as usize), expected);
    let raised = getrlimit(Resource::Nofile);
    assert_eq!(raised.current, Some(needed.min(maximum)));
    assert_eq!(raised.maximum, original.maximum);
    assert_eq!(raise_descriptor_limit(10), DescriptorLimit::Enough, "the limit must not be lowered");
    assert_eq!(getrlimit(Resource::Nofile).current, raised.current);
    setrlimit(Resource::Nofile, original).unwrap();
}
