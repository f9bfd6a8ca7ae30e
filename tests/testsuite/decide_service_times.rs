//! Service times per resource, and their report to entry nodes.

use dragonflywall::core::configuration::Class;
use dragonflywall::core::names::ResourceName;
use dragonflywall::decide::admission::{Admission, Limits, ReleasedSlot, SlotRequest};
use dragonflywall::decide::service_times::ServiceTimes;

const SECOND_US: u64 = 1_000_000;

fn resource(name: &str) -> ResourceName {
    ResourceName::new(name)
}

/// Guards against a common mean of short and long requests, by which an endpoint that gets more short
/// ones would seem faster than an equal one.
#[test]
fn service_times_are_kept_per_resource() {
    let mut service_times = ServiceTimes::default();
    for _ in 0..200 {
        service_times.record(0, &resource("look-up"), 10_000);
        service_times.record(0, &resource("read"), 200_000);
    }
    assert_eq!(service_times.resource_us(&resource("look-up")), 10_000);
    assert_eq!(service_times.resource_us(&resource("read")), 200_000);
    let mean_us = service_times.overall_us();
    assert!((90_000..120_000).contains(&mean_us), "{mean_us}");
    assert_eq!(service_times.resource_us(&resource("new")), mean_us);
}

/// A backend server becomes five times as slow; the mean follows within a few hundred requests.
#[test]
fn mean_follows_a_slower_backend_server() {
    let mut service_times = ServiceTimes::default();
    for _ in 0..1_000 {
        service_times.record(0, &resource("read"), 20_000);
    }
    for _ in 0..200 {
        service_times.record(0, &resource("read"), 100_000);
    }
    assert!(service_times.resource_us(&resource("read")) > 90_000);
}

/// An abandoned request that was short says nothing about the endpoint. One that was longer than the mean
/// shows that the endpoint is at least that slow.
#[test]
fn abandoned_request_counts_only_if_longer_than_the_mean() {
    let mut service_times = ServiceTimes::default();
    for _ in 0..100 {
        service_times.record(0, &resource("read"), 50_000);
        service_times.record_abandoned(0, &resource("read"), 1_000);
    }
    assert_eq!(service_times.resource_us(&resource("read")), 50_000);
    for _ in 0..100 {
        service_times.record_abandoned(0, &resource("read"), 500_000);
    }
    assert!(service_times.resource_us(&resource("read")) > 200_000);
}

/// Guards against old service times that are reported again and again, so that a backend server that was
/// slow for a moment is never tried again.
#[test]
fn other_service_times_are_reported_while_recent() {
    let (archive, prices) = (ResourceName::new("archive"), ResourceName::new("prices"));
    let mut admission: Admission<()> = Admission::default();
    admission.set_limits(Limits {
        slots: 1,
        queue_len: 1,
    });
    admission.admit(
        0,
        &SlotRequest::new(Class::Interactive, 10 * SECOND_US),
        || (),
    );
    let released = ReleasedSlot {
        class: Class::Interactive,
        resource: &archive,
        service_time_us: SECOND_US,
        answered: true,
    };
    admission.release(SECOND_US, &released);
    assert_eq!(
        admission.other_service_times(SECOND_US, &prices),
        [(&archive, SECOND_US)]
    );
    assert_eq!(admission.other_service_times(SECOND_US, &archive), []);
    assert_eq!(admission.other_service_times(3 * SECOND_US, &prices), []);
}
