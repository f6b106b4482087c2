//! Links between unfinished jobs in the cache: which job waits for which
//! prerequisites, cancellations that follow from others, and the urgency that
//! prerequisites inherit.
//!
//! The cost of applying one record is bounded: a completion updates only the direct
//! dependents; priority and deadlines are propagated only while they become more
//! urgent.

use std::{collections::VecDeque, rc::Rc};

use super::{dependencies::Dependencies, JobCache, JobIndex};
use crate::{protocol::jobs::JobSpec, storage::records::JobStatus};

impl JobCache {
    /// Reports whether a pending job waits for prerequisites: true until the
    /// completion of all of them is recorded. Without this check, its tasks would
    /// start before the prerequisites are done.
    pub fn has_unfinished_prerequisites(&self, index: JobIndex) -> bool {
        let entry = self.get(index);
        entry.status == JobStatus::Pending
            && entry.dependencies.as_ref().is_some_and(|dependencies| dependencies.unfinished_prereqs > 0)
    }

    /// Returns the wall-clock time, in ms, from which the job's waiting time is
    /// measured: its acceptance, or the completion of its last prerequisite.
    pub fn ready_ms(&self, index: JobIndex) -> u64 {
        let entry = self.get(index);
        entry.dependencies.as_ref().map_or(entry.at_ms, |dependencies| dependencies.ready_ms)
    }

    /// Returns the job's specification with the urgency inherited from its
    /// dependents: their priority, and their deadlines less their run times.
    /// Deadlines are relative to `ready_ms`. `None` if the specification is not
    /// known.
    pub fn effective_spec(&self, index: JobIndex) -> Option<Rc<JobSpec>> {
        let entry = self.get(index);
        let spec = entry.spec.as_ref()?;
        let Some(dependencies) = &entry.dependencies else { return Some(spec.clone()) };
        let ready_ms = dependencies.ready_ms as f64;
        let remaining_s = |wall_clock_ms: f64| wall_clock_ms.is_finite().then(|| (wall_clock_ms - ready_ms) / 1000.0);
        let urgency = dependencies.urgency;
        Some(Rc::new(JobSpec {
            priority: urgency.priority,
            deadline_s: remaining_s(urgency.deadline_ms),
            extended_deadline_s: remaining_s(urgency.extended_deadline_ms),
            ..(**spec).clone()
        }))
    }

    fn dependencies_mut(&mut self, index: JobIndex) -> &mut Dependencies {
        let entry = &mut self.jobs[index.as_usize()];
        entry.dependencies.get_or_insert_with(|| Box::new(Dependencies::new(entry.at_ms, entry.spec.as_deref())))
    }

    /// Links a job whose record is seen for the first time to its prerequisites, and
    /// to the jobs that named it as a prerequisite before.
    pub(super) fn link(&mut self, index: JobIndex, prereqs: Vec<String>) {
        let has_cancelled_prereq = self.is_pending(index) && self.link_prereqs(index, prereqs);
        self.link_earlier_dependents(index);
        if has_cancelled_prereq {
            let entry = &mut self.jobs[index.as_usize()];
            entry.status = JobStatus::Cancelled;
            entry.record = None;
        } else if self.get(index).dependencies.is_some() && self.is_pending(index) {
            self.propagate_urgency(index);
        }
    }

    /// Links a job to its prerequisites; returns true if one of them is cancelled.
    fn link_prereqs(&mut self, index: JobIndex, mut prereqs: Vec<String>) -> bool {
        prereqs.sort_unstable();
        prereqs.dedup();
        let mut has_cancelled_prereq = false;
        for id in prereqs {
            let Some(prereq) = self.find(&id) else {
                self.dependencies_mut(index).unfinished_prereqs += 1;
                self.unseen_prereqs.entry(Rc::from(id)).or_default().push(index);
                continue;
            };
            match self.get(prereq).status {
                JobStatus::Done => {
                    let completed_ms = self.get(prereq).at_ms;
                    let dependencies = self.dependencies_mut(index);
                    dependencies.ready_ms = dependencies.ready_ms.max(completed_ms);
                }
                JobStatus::Cancelled => has_cancelled_prereq = true,
                JobStatus::Pending if prereq == index => {}
                JobStatus::Pending => {
                    let dependencies = self.dependencies_mut(index);
                    dependencies.unfinished_prereqs += 1;
                    dependencies.prereqs.push(prereq);
                    self.dependencies_mut(prereq).dependents.push(index);
                }
            }
        }
        has_cancelled_prereq
    }

    fn link_earlier_dependents(&mut self, index: JobIndex) {
        let id = self.get(index).id.clone();
        for dependent in self.unseen_prereqs.remove(&id).unwrap_or_default() {
            if !self.is_pending(dependent) || dependent == index {
                continue;
            }
            self.dependencies_mut(index).dependents.push(dependent);
            self.dependencies_mut(dependent).prereqs.push(index);
            if self.is_pending(index) {
                self.propagate_urgency(dependent);
            }
        }
    }

    /// Raises the urgency of a job's direct and indirect prerequisites to its own,
    /// with the run times subtracted from the deadlines. A job is visited again only
    /// if its urgency was raised.
    fn propagate_urgency(&mut self, from: JobIndex) {
        let mut queue = VecDeque::from([from]);
        while let Some(index) = queue.pop_front() {
            let run_ms = self.get(index).spec.as_ref().map_or(0.0, |spec| spec.estimate_s * 1000.0);
            let dependencies = self.dependencies_mut(index);
            dependencies.is_queued = false;
            let inherited = dependencies.urgency.of_prerequisite(run_ms);
            let mut prereqs = std::mem::take(&mut dependencies.prereqs);
            prereqs.retain(|&prereq| self.is_pending(prereq));
            for &prereq in &prereqs {
                let prereq_dependencies = self.dependencies_mut(prereq);
                if !prereq_dependencies.urgency.raise(inherited) {
                    continue;
                }
                if !std::mem::replace(&mut prereq_dependencies.is_queued, true) {
                    queue.push_back(prereq);
                }
                self.mark_changed(prereq);
            }
            self.dependencies_mut(index).prereqs = prereqs;
        }
    }

    /// Updates the dependents of a job whose completion is recorded: those without
    /// another unfinished prerequisite may start.
    pub(super) fn release_dependents(&mut self, index: JobIndex) {
        let completed_ms = self.get(index).at_ms;
        let Some(completed) = self.jobs[index.as_usize()].dependencies.take() else { return };
        for dependent in completed.dependents {
            if !self.is_pending(dependent) {
                continue;
            }
            let dependencies = self.dependencies_mut(dependent);
            dependencies.unfinished_prereqs = dependencies.unfinished_prereqs.saturating_sub(1);
            dependencies.ready_ms = dependencies.ready_ms.max(completed_ms);
            if dependencies.unfinished_prereqs == 0 {
                self.mark_changed(dependent);
            }
        }
    }

    /// Cancels all direct and indirect dependents of a cancelled job in the cache.
    /// A user's cancellation writes only the record of the job that the user named. The
    /// cancellation of that job's dependents is therefore derived here, whatever their
    /// own records contain.
    pub(super) fn cancel_dependents(&mut self, index: JobIndex) {
        let mut stack = vec![index];
        while let Some(cancelled) = stack.pop() {
            let Some(dependencies) = self.jobs[cancelled.as_usize()].dependencies.take() else { continue };
            for dependent in dependencies.dependents {
                let entry = &mut self.jobs[dependent.as_usize()];
                if entry.status != JobStatus::Pending {
                    continue;
                }
                entry.status = JobStatus::Cancelled;
                entry.record = None;
                self.mark_changed(dependent);
                stack.push(dependent);
            }
        }
    }
}
