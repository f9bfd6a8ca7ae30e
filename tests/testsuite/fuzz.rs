//! Configuration of the stateful fuzz tests.
//!
//! CI runs a few cases from a fixed seed, and the cases that failed in earlier runs, which proptest
//! records in `fuzz.regressions`. To run many cases from a random seed:
//! `DRAGONFLYWALL_FUZZ_CASES=5000 DRAGONFLYWALL_FUZZ_SEED=random cargo test --test testsuite fuzz_`

use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

const CASES_VARIABLE: &str = "DRAGONFLYWALL_FUZZ_CASES";
const SEED_VARIABLE: &str = "DRAGONFLYWALL_FUZZ_SEED";
const CI_SEED: u64 = 520;

/// The proptest configuration. `cases` is the number of cases in CI; the environment variables override
/// it and the seed.
pub(crate) fn config(cases: u32) -> Config {
    let cases_override = std::env::var(CASES_VARIABLE).ok();
    let cases = cases_override.map_or(cases, |text| {
        text.parse().expect("DRAGONFLYWALL_FUZZ_CASES is a number")
    });
    let seed = match std::env::var(SEED_VARIABLE) {
        Err(_) => RngSeed::Fixed(CI_SEED),
        Ok(text) if text == "random" => RngSeed::Random,
        Ok(text) => RngSeed::Fixed(
            text.parse()
                .expect("DRAGONFLYWALL_FUZZ_SEED is a number or `random`"),
        ),
    };
    let regressions = FileFailurePersistence::Direct("tests/testsuite/fuzz.regressions");
    Config {
        cases,
        rng_seed: seed,
        failure_persistence: Some(Box::new(regressions)),
        ..Config::default()
    }
}
