//! Time that decisions add to each request.

use std::hint::black_box;

use benchmarks::{crash_book, key, organisations, request};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dragonflywall::core::organisation::KeyDigest;
use dragonflywall::core::request_digest::{HeadDigest, RequestHead};
use dragonflywall::decide::access::{ConfigurationAge, Credential, Sender, organisation_of};
use dragonflywall::decide::crashes::{CrashSet, REQUESTS_MAX};
use dragonflywall::decide::quota::{QuotaBook, QuotaLimits};

const FRESH: ConfigurationAge = ConfigurationAge {
    known_newest_ms_ago: Some(200),
    apply_within_ms: 3_000,
    key_limit_ms: Some(5_000),
};

const LIMITS: QuotaLimits = QuotaLimits {
    window_ms: 10_000,
    overage_percent: 10,
    slack_requests: 10,
};

/// Key, organisation and quota of a request.
fn organisation_and_quota(criterion: &mut Criterion) {
    for count in [72, 10_000] {
        let table = organisations(count);
        let mut book = QuotaBook::new(LIMITS, 0);
        let mut number = 0;
        criterion.bench_function(&format!("organisation and quota of {count}"), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    key(number * 7_919 % count, number % 100)
                },
                |key| {
                    let credential = Credential::Key(KeyDigest::of(key.as_bytes()));
                    let sender = Sender::Caller;
                    let found = organisation_of(Some(&table), sender, credential, false, FRESH);
                    let found = found.expect("the key is known").expect("it has an owner");
                    let quota = found.quota.expect("it has a quota");
                    black_box(book.admit(1_000, found.id, quota))
                },
                BatchSize::SmallInput,
            );
        });
    }
}

/// Whether crashes count under a request that has none.
fn crashes_of_a_request(criterion: &mut Criterion) {
    let head = RequestHead {
        organisation: Some("organisation-1"),
        method: "GET",
        host: "prices.example",
        path_and_query: "/prices/copper/1?yard=gijon&unit=tonne",
    };
    criterion.bench_function("digest of a request head", |bencher| {
        bencher.iter(|| HeadDigest::of(black_box(head)));
    });
    for remembered in [0, 1, REQUESTS_MAX] {
        let book = crash_book(remembered);
        let other = request(REQUESTS_MAX + 1);
        let name = format!("crashes, {remembered} requests remembered");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                let other = black_box(&other);
                let is_suspect = !book.is_empty() && book.has_head(other.head);
                is_suspect && book.check(10, other, CrashSet::default()).is_err()
            });
        });
    }
    let book = crash_book(REQUESTS_MAX);
    let suspect = request(7);
    criterion.bench_function("crashes of a request that has one", |bencher| {
        bencher.iter(|| book.check(10, black_box(&suspect), CrashSet::default()));
    });
}

criterion_group!(benches, organisation_and_quota, crashes_of_a_request);
criterion_main!(benches);
