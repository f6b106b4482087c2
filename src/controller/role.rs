//! What a controller is at the moment.

/// Whether a controller leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It leads.
    Leader,
    /// Another controller leads, or none.
    Follower,
}

impl Role {
    /// The role of a controller that leads if `is_leading`.
    pub fn from_leading(is_leading: bool) -> Role {
        if is_leading {
            Role::Leader
        } else {
            Role::Follower
        }
    }
}
