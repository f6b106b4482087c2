//! The state service's limit of writes, shared by several controllers.

use shedhook::storage::budget::{share, Budget, BudgetRole, Urgency};

use super::Simulation;

/// A controller's shares of the state service's writes; the first one leads.
pub struct Controller {
    pub users: Budget,
    pub commits: Budget,
}

/// The state service's own count of writes, and how many controllers share it.
pub struct Writes {
    pub limit: f64,
    pub controllers: Vec<Controller>,
    service: Budget,
    pub written: usize,
    pub refused: usize,
}

impl Simulation {
    /// From now on writes are limited, and shared by so many controllers.
    pub fn limit_writes(&mut self, limit: f64, controllers: usize) {
        let of = |part| Budget::new(limit * part, limit * part);
        let controllers = (0..controllers).map(|_| Controller { users: of(0.2), commits: of(0.5) }).collect();
        let service = Budget::new(limit, limit);
        self.writes = Some(Writes { limit, controllers, service, written: 0, refused: 0 });
    }

    /// Controllers tell one another what they use.
    pub(super) fn share_writes(&mut self) {
        let now = self.now;
        let Some(w) = &mut self.writes else { return };
        let used: Vec<(f64, f64)> =
            w.controllers.iter_mut().map(|c| (c.users.used(now), c.commits.used(now))).collect();
        let n = w.controllers.len();
        for (i, c) in w.controllers.iter_mut().enumerate() {
            let others = |of: fn(&(f64, f64)) -> f64| -> Vec<Option<f64>> {
                used.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, u)| Some(of(u))).collect()
            };
            let mut all = others(|u| u.0 + u.1);
            all.push(Some(used[i].1));
            c.users.set(share(w.limit, BudgetRole::Users(n), &all), w.limit * 0.2);
            let mut users = others(|u| u.0);
            users.push(Some(used[i].0));
            c.commits.set(share(w.limit, BudgetRole::Leader, &users), w.limit * 0.5);
        }
    }

    pub(super) fn count_writes(&mut self, n: usize) {
        let now = self.now;
        if let Some(w) = &mut self.writes {
            w.written += n;
            w.refused += usize::from(w.service.take(now, n as f64, Urgency::Cancel).is_err());
        }
    }
}
