use ciborium::Value;

use super::{
    chunk_key, chunk_size, is_done, json_size, pack_done, split_chunk_key, to_value, AssignmentRecord, ChunkRecord,
};
use crate::protocol::ids::{Attempt, Incarnation};

#[test]
fn done_tasks_and_chunk_keys_round_trip() {
    for count in [1usize, 3, 4, 5, 64, 127] {
        let done: Vec<bool> = (0..count).map(|task| task % 3 == 0).collect();
        let packed = pack_done(done.iter().copied());
        for (task, expected) in done.iter().enumerate() {
            assert_eq!(is_done(&packed, task), *expected, "task {task} of {count}");
        }
        assert!(!is_done(&packed, count + 8));
    }
    assert_eq!(split_chunk_key(&chunk_key("j-000412", 7)), Some(("j-000412", 7)));
    assert_eq!(split_chunk_key("t/x"), None);
}

#[test]
fn json_size_counts_digits_signs_and_escapes() {
    let cases = [
        (Value::from(0), 1),
        (Value::from(9), 1),
        (Value::from(10), 2),
        (Value::from(-10), 3),
        (Value::from(u64::MAX), 20),
        (Value::from(i64::MIN), 20),
        (Value::Text("a\"".into()), 9),
        (Value::Array(vec![Value::from(1), Value::from(2)]), 6),
    ];
    for (value, expected) in cases {
        assert_eq!(json_size(&value), expected, "{value:?}");
    }
}

#[test]
fn record_of_full_chunk_fits_the_value_limit() {
    for value_kb in [1.0, 2.0, 4.0, 8.0, 16.0, 64.0] {
        let size = chunk_size(value_kb, "some-zone-1".len());
        let record = ChunkRecord {
            done: pack_done((0..size).map(|_| true)),
            assignments: (0..size)
                .map(|task| {
                    AssignmentRecord(
                        99_000 + task,
                        "i-0000000231".into(),
                        Incarnation(1 << 20),
                        Attempt(u64::MAX),
                        "some-zone-1".into(),
                    )
                })
                .collect(),
            tag: u64::MAX,
        };
        let bytes = json_size(&to_value(&record));
        assert!(bytes <= (value_kb * 1024.0) as usize, "{size} tasks take {bytes} bytes of {value_kb} KiB");
    }
}
