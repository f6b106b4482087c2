//! Submissions for test cases: a valid one, and methods that set single fields.

use shedhook::protocol::jobs::Submission;

/// Returns a valid submission of team "red" with normal priority.
pub fn submission(id: &str, kind: &str, tasks: u32) -> Submission {
    Submission {
        name_id: Some(id.into()),
        class: Some("c".into()),
        team: Some("red".into()),
        kind: Some(kind.into()),
        priority: Some("normal".into()),
        tasks: Some(f64::from(tasks)),
        cpus: Some(2.0),
        gpus: Some(0.0),
        memory_gb: Some(1.0),
        image: Some("img".into()),
        image_gb: Some(1.0),
        one_zone: Some(false),
        spread: Some(false),
        spot: Some(true),
        estimate_s: Some(10.0),
        checkpoint_s: Some(0.0),
        save_s: Some(0.0),
        ..Submission::default()
    }
}

/// Methods that set one field of a submission each.
pub trait SubmissionBuilder {
    fn with_priority(self, priority: &str) -> Self;
    fn with_team(self, team: &str) -> Self;
    fn with_class(self, class: &str) -> Self;
    /// Sets the number of CPUs of each task.
    fn with_cpus(self, cpus: f64) -> Self;
    /// Sets the number of GPUs of each task.
    fn with_gpus(self, gpus: f64) -> Self;
    /// Sets the memory of each task, in GB.
    fn with_memory_gb(self, memory_gb: f64) -> Self;
    /// Requires all tasks to run in this zone.
    fn with_zone(self, zone: &str) -> Self;
    /// Sets whether all tasks must run in one zone, which may be any.
    fn with_one_zone(self, one_zone: bool) -> Self;
    /// Sets whether each zone may have at most half of the tasks, rounded up.
    fn with_spread(self, spread: bool) -> Self;
    /// Sets the time between checkpoints, in seconds.
    fn with_checkpoint_s(self, checkpoint_s: f64) -> Self;
    /// Sets the time that one checkpoint takes, in seconds.
    fn with_save_s(self, save_s: f64) -> Self;
    /// Sets the time from the submission by which the job should be done, in seconds.
    fn with_deadline_s(self, deadline_s: f64) -> Self;
    /// Sets the jobs that must be done before this job starts.
    fn with_prereqs(self, prereqs: &[&str]) -> Self;
}

impl SubmissionBuilder for Submission {
    fn with_priority(self, priority: &str) -> Submission {
        Submission { priority: Some(priority.into()), ..self }
    }

    fn with_team(self, team: &str) -> Submission {
        Submission { team: Some(team.into()), ..self }
    }

    fn with_class(self, class: &str) -> Submission {
        Submission { class: Some(class.into()), ..self }
    }

    fn with_cpus(self, cpus: f64) -> Submission {
        Submission { cpus: Some(cpus), ..self }
    }

    fn with_gpus(self, gpus: f64) -> Submission {
        Submission { gpus: Some(gpus), ..self }
    }

    fn with_memory_gb(self, memory_gb: f64) -> Submission {
        Submission { memory_gb: Some(memory_gb), ..self }
    }

    fn with_zone(self, zone: &str) -> Submission {
        Submission { zone: Some(zone.into()), ..self }
    }

    fn with_one_zone(self, one_zone: bool) -> Submission {
        Submission { one_zone: Some(one_zone), ..self }
    }

    fn with_spread(self, spread: bool) -> Submission {
        Submission { spread: Some(spread), ..self }
    }

    fn with_checkpoint_s(self, checkpoint_s: f64) -> Submission {
        Submission { checkpoint_s: Some(checkpoint_s), ..self }
    }

    fn with_save_s(self, save_s: f64) -> Submission {
        Submission { save_s: Some(save_s), ..self }
    }

    fn with_deadline_s(self, deadline_s: f64) -> Submission {
        Submission { deadline_s: Some(deadline_s), ..self }
    }

    fn with_prereqs(self, prereqs: &[&str]) -> Submission {
        let prereqs = prereqs.iter().map(|id| (*id).to_owned()).collect();
        Submission { prereqs: Some(prereqs), ..self }
    }
}
