//! What controllers tell one another.

use super::wiring::Node;
use crate::{
    coordination::model::Ms,
    protocol::peers::{self, Echo, Gossip},
    transport::Net,
};

impl Node {
    pub(super) fn gossip(&mut self, net: &mut Net, now: Ms) {
        self.knocks.retain(|&t| now < t + 4_000);
        let leading = self.election.leading(now).is_some();
        let counts = match &mut self.leader {
            Some(l) if leading => l.take_counts(500),
            _ => Vec::new(),
        };
        for c in &counts {
            self.mirror.show(&c.job, c.done, c.running);
        }
        let g = Gossip {
            from: self.settings.label.clone(),
            nonce: self.nonce,
            count: self.gossips,
            state_age_ms: now.saturating_sub(self.state_ok),
            knocks: self.knocks.len() as u32,
            leading,
            reads_used: self.reads.used(now),
            writes_used: self.writes.used(now),
            commits_used: self.commits.used(now),
            clock_ms: now,
            echoes: self
                .peers
                .iter()
                .filter_map(|p| {
                    let (nonce, clock_ms) = p.clock?;
                    Some(Echo { of: p.label.clone(), nonce, clock_ms })
                })
                .collect(),
            quiet_ms: now.saturating_sub(self.keeper.last),
            counts,
        };
        self.gossips += 1;
        let bytes = peers::encode(&g);
        for p in &self.peers {
            net.send_frame(p.link, &bytes);
        }
        self.budget_leading = None;
        self.set_budgets(now, leading);
    }
}
