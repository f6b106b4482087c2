//! Frames to the other controllers: periodic gossip, and notices of cancellations.

use std::collections::VecDeque;

use super::wiring::Controller;
use crate::{
    coordination::model::Millis,
    protocol::{
        ids::Revision,
        peers::{self, Cancelled, Echo, Frame, Gossip, Notice},
    },
    transport::Net,
};

/// Interval of gossip, in ms: several frames within the time after which a peer
/// counts as silent.
const GOSSIP_INTERVAL_MS: Millis = 400;
/// For how long, in ms, a confirmed cancellation is repeated to peers.
const NOTICE_REPEAT_MS: Millis = 12_000;
/// Most cancellations that are repeated, which bounds the size of a frame.
const MAX_REPEATED_NOTICES: usize = 256;
/// For how long, in ms, a rejected heartbeat is counted.
const REJECTED_HEARTBEAT_MS: Millis = 4_000;
/// Most rejected heartbeats that are remembered, the latest ones. Far above what
/// means trouble, so that the count stays high however many machines there are.
const MAX_REJECTED_HEARTBEATS: usize = 10_000;
/// Most jobs per frame whose task counts are told, which bounds its size.
const MAX_COUNTS: usize = 500;

/// A cancellation that was confirmed here.
#[derive(Debug)]
struct ConfirmedCancellation {
    confirmed_at: Millis,
    cancelled: Cancelled,
}

/// What this controller tells its peers.
#[derive(Debug, Default)]
pub(super) struct GossipState {
    next_at: Millis,
    frames_sent: u64,
    /// When workers' heartbeats were rejected lately.
    rejected_heartbeats: VecDeque<Millis>,
    /// Cancellations confirmed here lately, oldest first.
    cancellations: VecDeque<ConfirmedCancellation>,
}

impl GossipState {
    /// A worker's heartbeat was rejected.
    pub fn record_rejected_heartbeat(&mut self, now: Millis) {
        self.rejected_heartbeats.push_back(now);
        if self.rejected_heartbeats.len() > MAX_REJECTED_HEARTBEATS {
            self.rejected_heartbeats.pop_front();
        }
    }

    /// Heartbeats that were rejected in the last seconds.
    fn rejected_lately(&mut self, now: Millis) -> u32 {
        self.rejected_heartbeats.retain(|&rejected_at| now < rejected_at + REJECTED_HEARTBEAT_MS);
        self.rejected_heartbeats.len() as u32
    }

    fn record_cancellation(&mut self, now: Millis, cancelled: Cancelled) {
        self.cancellations.push_back(ConfirmedCancellation { confirmed_at: now, cancelled });
        if self.cancellations.len() > MAX_REPEATED_NOTICES {
            self.cancellations.pop_front();
        }
    }

    /// The cancellations that are still to be repeated.
    fn repeated_cancellations(&mut self, now: Millis) -> Vec<Cancelled> {
        self.cancellations.retain(|cancellation| now < cancellation.confirmed_at + NOTICE_REPEAT_MS);
        self.cancellations.iter().map(|cancellation| cancellation.cancelled.clone()).collect()
    }
}

impl Controller {
    /// Tells peers at once of a cancellation that was confirmed to a user.
    ///
    /// Guard: the controller that serves the workers may be another one, and must
    /// not launch what a user was told is cancelled. The limit on how long answers
    /// may rely on old reads holds without this, but acts later.
    pub(super) fn tell_cancelled(&mut self, net: &mut Net, now: Millis, job: &str, revision: Revision) {
        let cancelled = Cancelled { job: job.to_owned(), revision };
        self.gossip.record_cancellation(now, cancelled.clone());
        self.send_notice(net, vec![cancelled]);
    }

    fn send_notice(&self, net: &mut Net, cancelled: Vec<Cancelled>) {
        let notice = Notice { from: self.settings.label.clone(), cancelled };
        let bytes = peers::encode(&Frame::Notice(notice));
        for peer in self.peers.list.iter().filter(|peer| peer.reads_notices) {
            net.send_frame(peer.link, &bytes);
        }
    }

    /// Applies the cancellations that a peer confirmed.
    pub(super) fn handle_notice(&mut self, notice: &Notice) {
        if self.peers.find(&notice.from).is_none() {
            return;
        }
        for cancelled in &notice.cancelled {
            self.job_cache.cancelled_elsewhere(&cancelled.job, cancelled.revision, &mut self.tables);
        }
    }

    /// Sends gossip when it is due, then sets the budgets anew.
    pub(super) fn gossip_if_due(&mut self, net: &mut Net, now: Millis) {
        if now < self.gossip.next_at {
            return;
        }
        self.gossip.next_at = now + GOSSIP_INTERVAL_MS;
        let leading = self.election.leading(now).is_some();
        let bytes = peers::encode(&Frame::Gossip(self.current_gossip(now, leading)));
        self.gossip.frames_sent += 1;
        for peer in &self.peers.list {
            net.send_frame(peer.link, &bytes);
        }
        let cancelled = self.gossip.repeated_cancellations(now);
        if !cancelled.is_empty() {
            self.send_notice(net, cancelled);
        }
        self.budgets.invalidate_shares();
        self.set_budgets(now, leading);
    }

    fn current_gossip(&mut self, now: Millis, leading: bool) -> Gossip {
        let rejected_heartbeats = self.gossip.rejected_lately(now);
        let counts = match &mut self.leader {
            Some(leader) if leading => leader.take_progress(MAX_COUNTS),
            _ => Vec::new(),
        };
        for count in &counts {
            self.job_cache.show(&count.job, count.done, count.running);
        }
        Gossip {
            from: self.settings.label.clone(),
            nonce: self.nonce,
            count: self.gossip.frames_sent,
            state_age_ms: self.state_health.age(now),
            rejected_heartbeats,
            leading,
            reads_used: self.budgets.reads.used(now),
            writes_used: self.budgets.writes.used(now),
            commits_used: self.budgets.commits.used(now),
            clock_ms: now,
            echoes: self.echoes(),
            no_renewal_ms: now.saturating_sub(self.renewal_right.last_leaderless_renewal()),
            counts,
        }
    }

    /// The last clock of each peer, and the mark of the frame types read here.
    fn echoes(&self) -> Vec<Echo> {
        let echo = |label: &str, nonce, clock_ms| Echo { of: label.to_owned(), nonce, clock_ms };
        let peers = self.peers.list.iter();
        let heard = peers.filter_map(|peer| {
            let clock = peer.clock.as_ref()?;
            Some(echo(&peer.label, clock.nonce, clock.clock_ms))
        });
        heard.chain([Gossip::reads_mark()]).collect()
    }
}

#[cfg(test)]
#[path = "tests/gossip.rs"]
mod tests;
