use super::*;

#[test]
fn least_recently_used_image_is_evicted_first() {
    let mut host = Host::default();
    for (image, gb) in [(1, 4.0), (2, 4.0), (1, 4.0), (3, 4.0)] {
        host.record_image(ImageIndex(image), gb, 10.0);
    }
    assert!(host.has_image(ImageIndex(1)) && host.has_image(ImageIndex(3)) && !host.has_image(ImageIndex(2)));
}
