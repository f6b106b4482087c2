//! What each team's assignments use.

use crate::{coordination::model::Resources, protocol::names::TeamIndex};

/// Resources in use by each team; assignments count until it is proven that
/// their tasks are gone.
#[derive(Debug)]
pub(super) struct TeamUsage {
    used: Vec<Resources>,
}

impl TeamUsage {
    /// None of the teams uses anything.
    pub fn new(teams: usize) -> TeamUsage {
        TeamUsage { used: vec![Resources::default(); teams] }
    }

    /// How many teams there are.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// What a team uses.
    pub fn of(&self, team: TeamIndex) -> Resources {
        self.used.get(team.as_usize()).copied().unwrap_or_default()
    }

    /// A team uses this much more.
    pub fn add(&mut self, team: TeamIndex, resources: Resources) {
        if let Some(used) = self.used.get_mut(team.as_usize()) {
            *used += resources;
        }
    }

    /// A team uses this much less.
    pub fn subtract(&mut self, team: TeamIndex, resources: Resources) {
        if let Some(used) = self.used.get_mut(team.as_usize()) {
            *used -= resources;
        }
    }
}
