//! The current role of a controller.

/// Role of a controller in the leader election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// This controller leads.
    Leader,
    /// Another controller leads, or none does.
    Follower,
}

impl Role {
    /// Returns `Leader` if `is_leading`, otherwise `Follower`.
    pub fn from_leading(is_leading: bool) -> Role {
        if is_leading {
            Role::Leader
        } else {
            Role::Follower
        }
    }
}
