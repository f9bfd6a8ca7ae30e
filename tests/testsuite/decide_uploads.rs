//! Limits on concurrent uploads, and their estimated waits.

use dragonflywall::decide::uploads::{UploadLimits, UploadQueue};

#[test]
fn slow_link_is_busy_for_forty_milliseconds_at_most() {
    let limits = UploadLimits::for_link(Some(7_000));
    let window_bits = u64::from(limits.window_bytes) * u64::from(limits.concurrent_max) * 8;
    assert!(window_bits <= 7_000 * 40, "{limits:?}");
    assert_eq!(limits.concurrent_max, 2);
}

#[test]
fn fast_or_unknown_link_gets_the_largest_limits() {
    for link in [None, Some(1_000_000)] {
        let limits = UploadLimits::for_link(link);
        assert_eq!(limits.window_bytes, 65_535);
        assert_eq!(limits.concurrent_max, 64);
    }
}

/// Guards against entry nodes that keep sending uploads to a saturated link because they do not know the
/// wait: the estimate grows with the uploads ahead and returns to 0 when they have ended.
#[test]
fn estimated_wait_follows_the_uploads_ahead() {
    let mut upload_queue = UploadQueue::new(UploadLimits::for_link(Some(7_000)));
    for _ in 0..8 {
        upload_queue.enqueue();
        upload_queue.start();
        upload_queue.finish(70_000);
    }
    assert_eq!(upload_queue.estimated_wait_us(), 0);
    assert_eq!(upload_queue.estimated_completion_us(), 70_000);
    for _ in 0..2 {
        upload_queue.enqueue();
        upload_queue.start();
    }
    for _ in 0..3 {
        upload_queue.enqueue();
    }
    assert_eq!(upload_queue.estimated_wait_us(), 4 * 70_000 / 2);
    for _ in 0..3 {
        upload_queue.leave_queue();
    }
    for _ in 0..2 {
        upload_queue.finish(70_000);
    }
    assert_eq!(upload_queue.estimated_wait_us(), 0);
}
