//! The job cache by itself: statuses, priorities and deadlines derived along dependencies, and
//! the cost of deriving them.

use std::time::{Duration, Instant};

use ciborium::Value;
use shedhook::{
    protocol::{
        ids::Revision,
        jobs::{Priority, Submission},
        names::Interners,
        store::{Change, Changes},
    },
    storage::{
        job_cache::JobCache,
        records::{job_key, to_value, JobRecord, JobStatus},
    },
};

use crate::{helpers::submission_after, simulation::submission};

fn record(submission: &Submission, status: JobStatus, at_ms: u64) -> Value {
    to_value(&JobRecord { submission: submission.clone(), status, at_ms, tasks_per_chunk: 4 })
}

fn change(submission: &Submission, status: JobStatus, at_ms: u64, revision: u64) -> Change {
    let id = submission.name_id.as_deref().unwrap();
    Change {
        write: Some(job_key(id)),
        drop: None,
        value: Some(record(submission, status, at_ms)),
        revision: Revision(revision),
    }
}

/// The derived statuses must be the same whatever the order in which records are read.
#[test]
fn statuses_do_not_depend_on_the_order_of_records() {
    use JobStatus::*;
    let job = |id: &str, prereqs: &[&str]| submission_after(id, "batch", 1, prereqs);
    // j-1 -> j-2 -> j-4 -> j-5, j-1 -> j-3 -> j-4; j-6 -> j-7.
    let (one, six) = (job("j-1", &[]), job("j-6", &[]));
    let rest = [
        job("j-2", &["j-1"]),
        job("j-3", &["j-1"]),
        job("j-4", &["j-2", "j-3"]),
        job("j-5", &["j-4"]),
        job("j-7", &["j-6"]),
    ];
    let mut all = vec![
        change(&one, Pending, 100, 1),
        change(&six, Pending, 100, 2),
        change(&one, Cancelled, 100, 20),
        change(&six, Done, 7_000, 21),
        // A cancellation of j-3, which is already cancelled through its prerequisite. The older
        // record of j-3 may be read after this one.
        change(&rest[1], Cancelled, 100, 30),
    ];
    all.extend(rest.iter().enumerate().map(|(n, r)| change(r, Pending, 100, 3 + n as u64)));
    let mut random_state = 7u64;
    for round in 0..500 {
        let mut job_cache = JobCache::default();
        for change in &all {
            job_cache.apply_changes(
                &Changes { store_revision: change.revision, events: vec![change.clone()] },
                &mut Interners::default(),
            );
        }
        let statuses: Vec<JobStatus> =
            (1..=7).map(|n| job_cache.get(job_cache.find(&format!("j-{n}")).unwrap()).status).collect();
        assert_eq!(statuses, [Cancelled, Cancelled, Cancelled, Cancelled, Cancelled, Done, Pending], "round {round}");
        let last = job_cache.find("j-7").unwrap();
        assert!(!job_cache.has_unfinished_prerequisites(last) && job_cache.ready_ms(last) == 7_000, "round {round}");
        for i in (1..all.len()).rev() {
            random_state = random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            all.swap(i, (random_state >> 33) as usize % (i + 1));
        }
    }
}

/// Once a job is reported as cancelled because of its prerequisite, no later record of the
/// job itself may change that.
#[test]
fn derived_cancellation_is_not_changed_by_later_records() {
    let (one, two) = (submission_after("j-1", "batch", 1, &[]), submission_after("j-2", "batch", 1, &["j-1"]));
    let mut job_cache = JobCache::default();
    let mut interners = Interners::default();
    let steps = [
        (change(&one, JobStatus::Pending, 1, 1), JobStatus::Pending),
        (change(&two, JobStatus::Pending, 1, 2), JobStatus::Pending),
        (change(&one, JobStatus::Cancelled, 1, 3), JobStatus::Cancelled),
        (change(&two, JobStatus::Pending, 1, 4), JobStatus::Cancelled),
        (change(&two, JobStatus::Done, 1, 5), JobStatus::Cancelled),
    ];
    for (change, expected) in steps {
        job_cache
            .apply_changes(&Changes { store_revision: change.revision, events: vec![change.clone()] }, &mut interners);
        if let Some(index) = job_cache.find("j-2") {
            assert_eq!(job_cache.get(index).status, expected, "after {}", change.revision);
        }
    }
}

#[test]
fn prerequisites_inherit_priority_and_deadline_of_dependents() {
    let with = |submission: Submission, priority: &str, deadline_s: Option<f64>| Submission {
        priority: Some(priority.into()),
        deadline_s,
        estimate_s: Some(10.0),
        ..submission
    };
    let jobs = [
        with(submission_after("j-1", "batch", 1, &[]), "low", None),
        with(submission_after("j-2", "batch", 1, &["j-1"]), "normal", None),
        with(submission_after("j-3", "batch", 1, &["j-1"]), "low", Some(500.0)),
        with(submission_after("j-4", "batch", 1, &["j-2", "j-3"]), "high", Some(100.0)),
    ];
    let mut interners = Interners::default();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut job_cache = JobCache::default();
        for n in order {
            let change = change(&jobs[n], JobStatus::Pending, 1_000, n as u64 + 1);
            job_cache.apply_changes(&Changes { store_revision: change.revision, events: vec![change] }, &mut interners);
        }
        let inherited: Vec<(Priority, Option<f64>, Option<f64>)> = (1..=4)
            .map(|n| job_cache.effective_spec(job_cache.find(&format!("j-{n}")).unwrap()).unwrap())
            .map(|spec| (spec.priority, spec.deadline_s, spec.extended_deadline_s))
            .collect();
        use Priority::High;
        let expected = [
            (High, Some(80.0), Some(130.0)),
            (High, Some(90.0), Some(140.0)),
            (High, Some(90.0), Some(140.0)),
            (High, Some(100.0), Some(150.0)),
        ];
        assert_eq!(inherited, expected, "{order:?}");
        // The deadline counts from the submission, however long the job waited for prerequisites.
        for (n, ended_at_ms) in [(0, 31_000), (1, 41_000), (2, 36_000)] {
            let change = change(&jobs[n], JobStatus::Done, ended_at_ms, 10 + n as u64);
            job_cache.apply_changes(&Changes { store_revision: change.revision, events: vec![change] }, &mut interners);
        }
        let last = job_cache.find("j-4").unwrap();
        let spec = job_cache.effective_spec(last).unwrap();
        assert_eq!(
            (job_cache.ready_ms(last), spec.deadline_s, spec.extended_deadline_s),
            (41_000, Some(60.0), Some(110.0))
        );
    }
}

/// Deep chains, wide fan-outs and wide joins must load quickly, in any order. The completion
/// of a job may change only that job and its direct dependents.
#[test]
fn deep_and_wide_graphs_load_quickly_and_a_completion_changes_only_dependents() {
    let name = |n: usize| format!("j-{n:06}");
    let chain: Vec<Vec<String>> = (0..2_000).map(|n| (n > 0).then(|| name(n - 1)).into_iter().collect()).collect();
    let fan_out: Vec<Vec<String>> = (0..5_001).map(|n| (n > 0).then(|| name(0)).into_iter().collect()).collect();
    let join: Vec<Vec<String>> =
        (0..1_001).map(|n| if n < 1_000 { vec![] } else { (0..1_000).map(name).collect() }).collect();
    let lattice: Vec<Vec<String>> =
        (0..2_000).map(|n| if n < 10 { vec![] } else { (n / 10 * 10 - 10..n / 10 * 10).map(name).collect() }).collect();
    // Where each job has a deadline, every new job changes the inherited deadlines of all its
    // direct and indirect prerequisites.
    let chain_with_deadlines = chain.clone();
    for (graph_name, graph) in [
        ("chain", chain),
        ("chain with deadlines", chain_with_deadlines),
        ("fan-out", fan_out),
        ("join", join),
        ("lattice", lattice),
    ] {
        for backwards in [false, true] {
            for final_status in [JobStatus::Cancelled, JobStatus::Done] {
                let last = graph.len() - 1;
                let submissions: Vec<Submission> = graph
                    .iter()
                    .enumerate()
                    .map(|(n, p)| Submission {
                        prereqs: Some(p.clone()),
                        deadline_s: (n == last || graph_name == "chain with deadlines").then_some(1e6),
                        priority: Some(if n == last { "high" } else { "low" }.into()),
                        ..submission(&name(n), "batch", 1)
                    })
                    .collect();
                let mut events: Vec<Change> = submissions
                    .iter()
                    .enumerate()
                    .map(|(n, s)| change(s, JobStatus::Pending, 1, n as u64 + 1))
                    .collect();
                if backwards {
                    events.reverse();
                }
                let (mut job_cache, mut interners) = (JobCache::default(), Interners::default());
                let began = Instant::now();
                job_cache.apply_changes(&Changes { store_revision: Revision(10_000), events }, &mut interners);
                let loaded = began.elapsed();
                job_cache.take_changed();
                let change = change(&submissions[0], final_status, 1, 20_000);
                job_cache
                    .apply_changes(&Changes { store_revision: Revision(20_000), events: vec![change] }, &mut interners);
                let elapsed = began.elapsed();
                let changed = job_cache.take_changed().len();
                eprintln!(
                    "{graph_name}, backwards {backwards}: loaded in {loaded:?}, {final_status:?} at {elapsed:?}, \
                     {changed} changed"
                );
                // The limit holds for an unoptimized build, with a margin for a busy machine.
                assert!(elapsed < Duration::from_secs(5), "{graph_name} took {elapsed:?}");
                let direct_dependents = graph.iter().filter(|p| p.contains(&name(0))).count();
                if final_status == JobStatus::Done {
                    assert!(changed <= 1 + direct_dependents, "{graph_name}: {changed} jobs changed by one completion");
                } else if graph_name != "join" && graph_name != "lattice" {
                    assert_eq!(changed, graph.len(), "{graph_name}");
                }
                assert!(
                    final_status == JobStatus::Done
                        || job_cache.get(job_cache.find(&name(last)).unwrap()).status == JobStatus::Cancelled
                );
            }
        }
    }
}
