//! What controllers tell one another.

use super::wiring::Node;
use crate::{
    coordination::model::Ms,
    protocol::peers::{self, Cancelled, Echo, Frame, Gossip, Notice},
    transport::Net,
};

/// A confirmed cancellation is repeated to peers for this long, and at most so many.
const REPEAT_MS: Ms = 12_000;
const REPEATED: usize = 256;

impl Node {
    /// Guard: what a user was told here reaches whoever hears the workers at
    /// once. Beside the bound on answers, which holds without it.
    pub(super) fn tell_cancelled(&mut self, net: &mut Net, now: Ms, job: &str, stamp: u64) {
        let cancelled = Cancelled { job: job.to_owned(), stamp };
        self.notices.push_back((now, cancelled.clone()));
        if self.notices.len() > REPEATED {
            self.notices.pop_front();
        }
        self.send_notice(net, vec![cancelled]);
    }

    fn send_notice(&self, net: &mut Net, cancelled: Vec<Cancelled>) {
        let bytes = peers::encode(&Frame::Notice(Notice { from: self.settings.label.clone(), cancelled }));
        for p in self.peers.iter().filter(|p| p.reads_notices) {
            net.send_frame(p.link, &bytes);
        }
    }

    pub(super) fn take_notice(&mut self, n: &Notice) {
        if !self.peers.iter().any(|p| p.label == n.from) {
            return;
        }
        for c in &n.cancelled {
            self.job_cache.cancelled_elsewhere(&c.job, c.stamp, &mut self.tables);
        }
    }

    pub(super) fn gossip(&mut self, net: &mut Net, now: Ms) {
        self.rejected_reports.retain(|&t| now < t + 4_000);
        let leading = self.election.leading(now).is_some();
        let counts = match &mut self.leader {
            Some(l) if leading => l.take_counts(500),
            _ => Vec::new(),
        };
        for c in &counts {
            self.job_cache.show(&c.job, c.done, c.running);
        }
        let g = Gossip {
            from: self.settings.label.clone(),
            nonce: self.nonce,
            count: self.gossips,
            state_age_ms: now.saturating_sub(self.state_ok),
            rejected_reports: self.rejected_reports.len() as u32,
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
                .chain([Gossip::reads_mark()])
                .collect(),
            no_renewal_ms: now.saturating_sub(self.renewal_right.last),
            counts,
        };
        self.gossips += 1;
        let bytes = peers::encode(&Frame::Gossip(g));
        for p in &self.peers {
            net.send_frame(p.link, &bytes);
        }
        self.notices.retain(|(at, _)| now < at + REPEAT_MS);
        if !self.notices.is_empty() {
            let again = self.notices.iter().map(|(_, c)| c.clone()).collect();
            self.send_notice(net, again);
        }
        self.budget_leading = None;
        self.set_budgets(now, leading);
    }
}
