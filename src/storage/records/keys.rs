//! Keys of the records.

/// Key of the leader's record, and prefix of the renewal keys.
pub const LEADER_KEY: &str = "leader";
/// Prefix of the keys of job records.
pub const JOB_KEY_PREFIX: &str = "j/";
/// Prefix of the keys of chunk records.
pub const CHUNK_KEY_PREFIX: &str = "t/";

/// Returns the key of a controller that may renew worker leases without being the leader.
pub fn renewal_key(label: &str) -> String {
    format!("{LEADER_KEY}/{label}")
}

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_KEY_PREFIX}{id}")
}

/// Returns the key of the record of a chunk of a job's tasks.
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("{CHUNK_KEY_PREFIX}{id}/{chunk:06}")
}

/// Splits the key of a chunk record into the job's id and the number of the chunk;
/// `None` if it is another key.
pub fn split_chunk_key(key: &str) -> Option<(&str, u32)> {
    let (id, chunk) = key.strip_prefix(CHUNK_KEY_PREFIX)?.rsplit_once('/')?;
    Some((id, chunk.parse().ok()?))
}
