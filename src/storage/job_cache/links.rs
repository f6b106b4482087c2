//! Links between unfinished jobs in the cache: who waits for whom, cancellations
//! that follow from others, and the urgency that prerequisites inherit.
//!
//! The work that one record causes is bounded: an end concerns the direct
//! dependents alone; priority and deadlines are propagated only while they rise.

use std::{collections::VecDeque, rc::Rc};

use super::{dependencies::Dependencies, JobCache, JobIndex};
use crate::{protocol::jobs::JobSpec, storage::records::JobStatus};

impl JobCache {
    /// Guard: true until the ends of all its prerequisites are recorded.
    pub fn has_unfinished_prerequisites(&self, index: JobIndex) -> bool {
        let entry = self.get(index);
        entry.status == JobStatus::Pending
            && entry.dependencies.as_ref().is_some_and(|dependencies| dependencies.unfinished > 0)
    }

    /// Time of day from which its waiting counts: its acceptance, or the end
    /// of its last prerequisite.
    pub fn ready_ms(&self, index: JobIndex) -> u64 {
        let entry = self.get(index);
        entry.dependencies.as_ref().map_or(entry.at_ms, |dependencies| dependencies.ready_ms)
    }

    /// The job with the urgency inherited from its dependents: their priority,
    /// and their deadline less their run times. Deadlines count from `ready_ms`.
    pub fn effective_spec(&self, index: JobIndex) -> Option<Rc<JobSpec>> {
        let entry = self.get(index);
        let spec = entry.spec.as_ref()?;
        let Some(dependencies) = &entry.dependencies else { return Some(spec.clone()) };
        let ready_ms = dependencies.ready_ms as f64;
        let left_s = |time_of_day: f64| time_of_day.is_finite().then(|| (time_of_day - ready_ms) / 1000.0);
        let urgency = dependencies.urgency;
        Some(Rc::new(JobSpec {
            priority: urgency.priority,
            deadline_s: left_s(urgency.due_ms),
            extended_deadline_s: left_s(urgency.overdue_ms),
            ..(**spec).clone()
        }))
    }

    fn dependencies_mut(&mut self, index: JobIndex) -> &mut Dependencies {
        let entry = &mut self.jobs[index.as_usize()];
        entry.dependencies.get_or_insert_with(|| Box::new(Dependencies::new(entry.at_ms, entry.spec.as_deref())))
    }

    /// Links a job seen for the first time to its prerequisites, and to the
    /// jobs that named it before it was seen.
    pub(super) fn link(&mut self, index: JobIndex, prereqs: Vec<String>) {
        let needs_cancelled = self.is_pending(index) && self.link_prereqs(index, prereqs);
        self.link_waiting_dependents(index);
        if needs_cancelled {
            let entry = &mut self.jobs[index.as_usize()];
            entry.status = JobStatus::Cancelled;
            entry.record = None;
        } else if self.get(index).dependencies.is_some() && self.is_pending(index) {
            self.propagate_urgency(index);
        }
    }

    /// Returns true if one of the prerequisites is cancelled.
    fn link_prereqs(&mut self, index: JobIndex, mut prereqs: Vec<String>) -> bool {
        prereqs.sort_unstable();
        prereqs.dedup();
        let mut needs_cancelled = false;
        for id in prereqs {
            let Some(prereq) = self.find(&id) else {
                self.dependencies_mut(index).unfinished += 1;
                self.unseen_prereqs.entry(Rc::from(id)).or_default().push(index);
                continue;
            };
            match self.get(prereq).status {
                JobStatus::Done => {
                    let end_ms = self.get(prereq).at_ms;
                    let dependencies = self.dependencies_mut(index);
                    dependencies.ready_ms = dependencies.ready_ms.max(end_ms);
                }
                JobStatus::Cancelled => needs_cancelled = true,
                JobStatus::Pending if prereq == index => {}
                JobStatus::Pending => {
                    let dependencies = self.dependencies_mut(index);
                    dependencies.unfinished += 1;
                    dependencies.prereqs.push(prereq);
                    self.dependencies_mut(prereq).dependents.push(index);
                }
            }
        }
        needs_cancelled
    }

    fn link_waiting_dependents(&mut self, index: JobIndex) {
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

    /// Raises the urgency of a job's prerequisites to its own, less its run
    /// time, and so on up; a job is visited again only when it was raised.
    fn propagate_urgency(&mut self, from: JobIndex) {
        let mut queue = VecDeque::from([from]);
        while let Some(index) = queue.pop_front() {
            let run_ms = self.get(index).spec.as_ref().map_or(0.0, |spec| spec.estimate_s * 1000.0);
            let dependencies = self.dependencies_mut(index);
            dependencies.is_queued = false;
            let required = dependencies.urgency.of_prerequisite(run_ms);
            let mut prereqs = std::mem::take(&mut dependencies.prereqs);
            prereqs.retain(|&prereq| self.is_pending(prereq));
            for &prereq in &prereqs {
                let prereq_dependencies = self.dependencies_mut(prereq);
                if !prereq_dependencies.urgency.raise(required) {
                    continue;
                }
                if !std::mem::replace(&mut prereq_dependencies.is_queued, true) {
                    queue.push_back(prereq);
                }
                self.note_changed(prereq);
            }
            self.dependencies_mut(index).prereqs = prereqs;
        }
    }

    /// A job's end is recorded: dependents that waited for it alone may start.
    pub(super) fn release_dependents(&mut self, index: JobIndex) {
        let end_ms = self.get(index).at_ms;
        let Some(ended) = self.jobs[index.as_usize()].dependencies.take() else { return };
        for dependent in ended.dependents {
            if !self.is_pending(dependent) {
                continue;
            }
            let dependencies = self.dependencies_mut(dependent);
            dependencies.unfinished = dependencies.unfinished.saturating_sub(1);
            dependencies.ready_ms = dependencies.ready_ms.max(end_ms);
            if dependencies.unfinished == 0 {
                self.note_changed(dependent);
            }
        }
    }

    /// Guard: the record of the job that its user cancelled is the only one
    /// written; that all its dependents are cancelled is derived here, whatever
    /// their own records say.
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
                entry.running = 0;
                self.note_changed(dependent);
                stack.push(dependent);
            }
        }
    }
}
