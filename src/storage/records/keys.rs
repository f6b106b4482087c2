//! The keys of the records.

/// Key of the leader, and prefix of the renewal keys.
pub const LEADER_KEY: &str = "leader";
/// Prefix of the jobs' keys.
pub const JOB_KEY_PREFIX: &str = "j/";
/// Prefix of the chunks' keys.
pub const CHUNK_KEY_PREFIX: &str = "t/";

/// The key of a controller that may renew leases without leading.
pub fn renewal_key(label: &str) -> String {
    format!("{LEADER_KEY}/{label}")
}

/// The key of a job.
pub fn job_key(id: &str) -> String {
    format!("{JOB_KEY_PREFIX}{id}")
}

/// The key of a chunk of a job's tasks.
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("{CHUNK_KEY_PREFIX}{id}/{chunk:06}")
}

/// The job and the number of a chunk's key.
pub fn split_chunk_key(key: &str) -> Option<(&str, u32)> {
    let (id, chunk) = key.strip_prefix(CHUNK_KEY_PREFIX)?.rsplit_once('/')?;
    Some((id, chunk.parse().ok()?))
}
