use super::*;

#[test]
fn images_fall_out_oldest_first() {
    let mut h = Host::default();
    for (i, gb) in [(1, 4.0), (2, 4.0), (1, 4.0), (3, 4.0)] {
        h.record_image(ImageIndex(i), gb, 10.0);
    }
    assert!(h.has_image(ImageIndex(1)) && h.has_image(ImageIndex(3)) && !h.has_image(ImageIndex(2)));
}
