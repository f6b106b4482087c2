use ciborium::Value;

use super::{
    chunk_key, chunk_size, is_done, json_size, pack_done, split_chunk_key, to_value, AssignmentRecord, ChunkRecord,
};
use crate::protocol::ids::{Attempt, Incarnation};

#[test]
fn done_bits_and_chunks_survive() {
    for n in [1usize, 3, 4, 5, 64, 127] {
        let bits: Vec<bool> = (0..n).map(|i| i % 3 == 0).collect();
        let packed = pack_done(bits.iter().copied());
        for (i, b) in bits.iter().enumerate() {
            assert_eq!(is_done(&packed, i), *b, "{i} of {n}");
        }
        assert!(!is_done(&packed, n + 8));
    }
    assert_eq!(split_chunk_key(&chunk_key("j-000412", 7)), Some(("j-000412", 7)));
    assert_eq!(split_chunk_key("t/x"), None);
}

#[test]
fn sizes_in_json_form() {
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
    for (v, want) in cases {
        assert_eq!(json_size(&v), want, "{v:?}");
    }
}

#[test]
fn a_full_chunk_fits_the_limit_of_a_value() {
    for kb in [1.0, 2.0, 4.0, 8.0, 16.0, 64.0] {
        let size = chunk_size(kb, "some-zone-1".len());
        let rec = ChunkRecord {
            done: pack_done((0..size).map(|_| true)),
            assignments: (0..size)
                .map(|i| {
                    AssignmentRecord(
                        99_000 + i,
                        "i-0000000231".into(),
                        Incarnation(1 << 20),
                        Attempt(u64::MAX),
                        "some-zone-1".into(),
                    )
                })
                .collect(),
            tag: u64::MAX,
        };
        let bytes = json_size(&to_value(&rec));
        assert!(bytes <= (kb * 1024.0) as usize, "{size} tasks take {bytes} bytes of {kb} KiB");
    }
}
