use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::*;
use crate::platform::headers::PROFILE;
use crate::proxy::failure::Reason;
use crate::proxy::header_profile;

const CASES: u32 = 512;
const SEED: u64 = 67;

/// How an attempt ends, as far as its node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Refused before anything was sent.
    NotSent,
    /// Sent, and shown not to have run.
    Disproved,
    /// Sent, and it may have run.
    Lost,
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        2 => Just(End::NotSent),
        3 => Just(End::Disproved),
        1 => Just(End::Lost),
    ]
}

fn returned() -> NotRun {
    NotRun::returned(&Request::new(()))
}

/// Guards against a promise for a request of which any attempt may have run, whatever became of the others.
#[test]
fn a_request_is_promised_not_to_have_run_only_if_no_attempt_may_have() {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let ends = proptest::collection::vec(end(), 0..6);
    let result = runner.run(&ends, |ends| {
        let open_attempts = OpenAttempts::default();
        let mut last = None;
        for end in &ends {
            last = Some(match end {
                End::NotSent => open_attempts.refuse(Reason::Full),
                End::Disproved => {
                    open_attempts.begin();
                    open_attempts.disprove(returned(), Reason::Unreachable)
                }
                End::Lost => {
                    open_attempts.begin();
                    Failure::may_have_run(Reason::Lost)
                }
            });
        }
        let may_have_run = ends.contains(&End::Lost);
        let expected = match may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let refused = open_attempts.refuse(Reason::QuotaExceeded);
        prop_assert_eq!(refused.verdict(), expected);
        prop_assert_eq!(is_promise(refused.status()), !may_have_run);
        if let Some(last) = last {
            prop_assert_eq!(open_attempts.conclude(last).verdict(), expected);
        }
        Ok(())
    });
    result.expect("every promise is true");
}

fn response(status: u16, headers: &[(&str, &str)]) -> Response<()> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("the response is valid")
}

fn stated(names_instance: bool, response: &Response<()>) -> Option<Evidence> {
    let id = HeaderValue::from_static("a");
    let proof = NotRun::stated_by_backend(&PROFILE, Some(&id), names_instance, response);
    proof.map(NotRun::evidence)
}

fn id(id: &str) -> (&str, &str) {
    (PROFILE.request_id.as_str(), id)
}

fn not_run() -> (&'static str, &'static str) {
    let name = PROFILE.not_run.as_ref();
    (name.expect("the profile has a name for it").as_str(), "1")
}

/// Guards against a promise that rests on the word of a backend server and does not say so, because another refusal came last.
#[test]
fn a_promise_names_what_shows_that_earlier_attempts_did_not_run() {
    let open_attempts = OpenAttempts::default();
    let shown = |failure: Failure| {
        let value = failure.proof().expect("a proof").to_header_value();
        value.to_str().expect("the value is text").to_owned()
    };
    open_attempts.begin();
    let stated = NotRun::new(Evidence::BackendStated);
    let rejected = open_attempts.disprove(stated, Reason::Rejected);
    assert_eq!(shown(rejected), "backend-stated");
    open_attempts.begin();
    let by_gate = NotRun {
        reported: Some(Evidence::NotSent),
        ..NotRun::new(Evidence::GateRefused)
    };
    let refused = open_attempts.disprove(by_gate, Reason::Full);
    assert_eq!(shown(refused), "gate-refused not-sent after backend-stated");
    let not_sent = open_attempts.refuse(Reason::NoEndpoint);
    assert_eq!(shown(not_sent), "not-sent after not-sent,backend-stated");
}

/// Guards against statuses of a backend server that count as proof by themselves.
#[test]
fn a_backend_server_proves_only_by_its_statement_about_the_request() {
    for status in [400, 408, 429, 503] {
        assert_eq!(
            stated(true, &response(status, &[id("a")])),
            None,
            "{status}"
        );
        let rejected = response(status, &[id("a"), not_run()]);
        assert_eq!(stated(true, &rejected), Some(Evidence::BackendStated));
        let of_other = response(status, &[id("b"), not_run()]);
        assert_eq!(stated(true, &of_other), None, "{status}");
    }
}

/// Guards against a statement that is believed beside a status that reports on a run.
#[test]
fn a_statement_that_contradicts_its_status_proves_nothing() {
    for status in [200, 204, 302, 500, 502, 504] {
        let contradictory = response(status, &[id("a"), not_run()]);
        assert_eq!(stated(true, &contradictory), None, "{status}");
        assert_eq!(stated(false, &contradictory), None, "{status}");
    }
}

#[test]
fn another_instance_proves_that_the_one_that_the_request_names_did_not_run_it() {
    let misdirected = response(421, &[id("a")]);
    assert_eq!(stated(true, &misdirected), Some(Evidence::OtherInstance));
    assert_eq!(stated(true, &response(421, &[id("b")])), None);
    assert_eq!(stated(false, &misdirected), None);
    let by_default =
        |response| NotRun::stated_by_backend(&header_profile::DEFAULT, None, false, response);
    assert_eq!(by_default(&misdirected), None);
}

/// Guards against a peer's verdict that is read as proof without saying so.
#[test]
fn another_node_proves_by_its_verdict_alone() {
    let load = ("x-dragonflywall-load", "0 0 1 0 0 0");
    let not_run = ("x-dragonflywall-verdict", "not-run");
    let may_have_run = ("x-dragonflywall-verdict", "may-have-run");
    let evidence = |headers: &[(&str, &str)]| {
        let proof = NotRun::refused_by_node(response(503, headers).headers());
        proof.map(NotRun::evidence)
    };
    assert_eq!(evidence(&[load, not_run]), Some(Evidence::GateRefused));
    assert_eq!(evidence(&[not_run]), Some(Evidence::TokenRefused));
    assert_eq!(evidence(&[load, may_have_run]), None);
    assert_eq!(evidence(&[load]), None);
}

/// Guards against a refusal of another node of which nobody can tell what it rests on.
#[test]
fn a_promise_names_what_the_refusal_of_the_other_node_rests_on() {
    let load = ("x-dragonflywall-load", "0 0 1 0 0 0");
    let not_run = ("x-dragonflywall-verdict", "not-run");
    for (evidence, expected) in [
        ("backend-stated", "gate-refused backend-stated"),
        ("gate-refused not-sent", "gate-refused gate-refused"),
        ("unknown", "gate-refused"),
        ("", "gate-refused"),
    ] {
        let refused = response(
            503,
            &[load, not_run, ("x-dragonflywall-evidence", evidence)],
        );
        let proof = NotRun::refused_by_node(refused.headers());
        let proof = proof.expect("the verdict proves it");
        assert_eq!(proof.to_header_value(), expected);
    }
    assert_eq!(returned().to_header_value(), "returned-unsent");
}
