//! How the stateful fuzz tests run.
//!
//! CI runs a fixed seed and few cases, and the seeds that once failed (`fuzz.regressions`, written
//! by the library). A long run with fresh seeds:
//! `DRAGONFLYWALL_FUZZ_CASES=5000 DRAGONFLYWALL_FUZZ_SEED=random cargo test --test testsuite fuzz_`

use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

const CASES_VARIABLE: &str = "DRAGONFLYWALL_FUZZ_CASES";
const SEED_VARIABLE: &str = "DRAGONFLYWALL_FUZZ_SEED";
const CI_SEED: u64 = 520;

/// `cases` in CI, or as the environment says.
pub(crate) fn config(cases: u32) -> Config {
    let cases_override = std::env::var(CASES_VARIABLE).ok();
    let cases = cases_override.map_or(cases, |text| text.parse().expect("a number of cases"));
    let seed = match std::env::var(SEED_VARIABLE) {
        Err(_) => RngSeed::Fixed(CI_SEED),
        Ok(text) if text == "random" => RngSeed::Random,
        Ok(text) => RngSeed::Fixed(text.parse().expect("a seed, or `random`")),
    };
    let regressions = FileFailurePersistence::Direct("tests/testsuite/fuzz.regressions");
    Config {
        cases,
        rng_seed: seed,
        failure_persistence: Some(Box::new(regressions)),
        ..Config::default()
    }
}
