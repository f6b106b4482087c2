//! Resource usage of each team.

use crate::{coordination::model::Resources, protocol::names::TeamIndex};

/// Resources in use by each team. An assignment is included until it is proven
/// that its task is gone.
#[derive(Debug)]
pub(super) struct TeamUsage {
    used: Vec<Resources>,
}

impl TeamUsage {
    /// Creates a table of `teams` teams that use no resources.
    pub fn new(teams: usize) -> TeamUsage {
        TeamUsage { used: vec![Resources::default(); teams] }
    }

    /// Returns the number of teams.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns the resources that a team uses; none for an unknown team.
    pub fn of(&self, team: TeamIndex) -> Resources {
        self.used.get(team.as_usize()).copied().unwrap_or_default()
    }

    /// Adds resources to a team's usage. An unknown team is ignored.
    pub fn add(&mut self, team: TeamIndex, resources: Resources) {
        if let Some(used) = self.used.get_mut(team.as_usize()) {
            *used += resources;
        }
    }

    /// Subtracts resources from a team's usage. An unknown team is ignored.
    pub fn subtract(&mut self, team: TeamIndex, resources: Resources) {
        if let Some(used) = self.used.get_mut(team.as_usize()) {
            *used -= resources;
        }
    }
}
