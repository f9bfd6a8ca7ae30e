//! How long requests hold a slot, by what they ask for.

use dragonflywall::core::configuration::Class;
use dragonflywall::core::names::ResourceName;
use dragonflywall::decide::admission::{Admission, Ask, Limits, Released};
use dragonflywall::decide::service_times::HeldTimes;

const SECOND: u64 = 1_000_000;

fn name(name: &str) -> ResourceName {
    ResourceName::new(name)
}

/// Short look-ups and long reads share an endpoint. Were their times one mean, an endpoint that gets
/// more look-ups would seem quicker than an equal one.
#[test]
fn resources_are_told_apart() {
    let mut held = HeldTimes::default();
    for _ in 0..200 {
        held.answered(0, &name("look-up"), 10_000);
        held.answered(0, &name("read"), 200_000);
    }
    assert_eq!(held.of_resource(&name("look-up")), 10_000);
    assert_eq!(held.of_resource(&name("read")), 200_000);
    let any_us = held.of_any();
    assert!((90_000..120_000).contains(&any_us), "{any_us}");
    assert_eq!(held.of_resource(&name("new")), any_us);
}

/// A backend server becomes five times as slow; its callers are told within a few hundred requests.
#[test]
fn a_slower_backend_server_is_found_out() {
    let mut held = HeldTimes::default();
    for _ in 0..1_000 {
        held.answered(0, &name("read"), 20_000);
    }
    for _ in 0..200 {
        held.answered(0, &name("read"), 100_000);
    }
    assert!(held.of_resource(&name("read")) > 90_000);
}

/// Callers give up after a moment. That the requests were short then says nothing of the endpoint;
/// that they were long says that it is at least so slow.
#[test]
fn what_was_given_up_counts_only_if_it_was_long() {
    let mut held = HeldTimes::default();
    for _ in 0..100 {
        held.answered(0, &name("read"), 50_000);
        held.given_up(0, &name("read"), 1_000);
    }
    assert_eq!(held.of_resource(&name("read")), 50_000);
    for _ in 0..100 {
        held.given_up(0, &name("read"), 500_000);
    }
    assert!(held.of_resource(&name("read")) > 200_000);
}

/// Guards against a backend server that was slow for a moment and is never tried again.
#[test]
fn times_of_other_work_are_told_while_they_are_news() {
    let (archive, prices) = (ResourceName::new("archive"), ResourceName::new("prices"));
    let mut admission: Admission<()> = Admission::default();
    admission.set_limits(Limits {
        slots: 1,
        queue_len: 1,
    });
    admission.admit(0, &Ask::new(Class::Interactive, 10 * SECOND), || ());
    let released = Released {
        class: Class::Interactive,
        resource: &archive,
        held_us: SECOND,
        answered: true,
    };
    admission.release(SECOND, &released);
    assert_eq!(admission.other_held(SECOND, &prices), [(&archive, SECOND)]);
    assert_eq!(admission.other_held(SECOND, &archive), []);
    assert_eq!(admission.other_held(3 * SECOND, &prices), []);
}
