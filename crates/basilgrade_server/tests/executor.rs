//! Attempts, verdicts and budgets of the executor, in virtual time.

mod support;

use basilgrade_server::ledger;
use basilgrade_types::clock;
use futures::future;
use support::fake_upstream::Behaviour;

const PIPELINE: &str = "/v1/pipelines/p";
const CHARGE: &str = "/v1/services/sales/charge";

/// Sends eight requests at once, so that every upstream gets some of them.
async fn post_concurrently(
    fixture: &support::Fixture,
    headers: &[(&str, &str)],
) -> Vec<support::Response> {
    future::join_all((0..8).map(|_| support::post(fixture, PIPELINE, headers))).await
}

/// Guards against an idempotent stage that fails although another upstream could serve it.
#[tokio::test(start_paused = true)]
async fn an_idempotent_stage_is_tried_elsewhere() {
    let fixture = support::fixture();
    fixture.upstream.set(1, Behaviour::Reset);
    fixture.upstream.set(3, Behaviour::Refuse);

    for answer in post_concurrently(&fixture, &[]).await {
        assert_eq!((answer.status, &answer.verdict[..]), (200, "ran"));
        assert_eq!(answer.body, "in>encode>rerank");
    }

    let broken = fixture.upstream.calls().iter().any(|(port, _)| *port == 1);
    assert!(broken, "the broken upstream was never called");
}

/// Guards against a second run of a call that may have run.
#[tokio::test(start_paused = true)]
async fn a_non_idempotent_call_that_may_have_run_is_not_repeated() {
    for does in [Behaviour::Reset, Behaviour::Hang] {
        let fixture = support::fixture();
        fixture.upstream.set(5, does);
        fixture.upstream.set(6, does);

        let answer = support::post(&fixture, CHARGE, &[]).await;

        assert_eq!(answer.verdict, "may-have-run", "{does:?}");
        assert_eq!(fixture.upstream.calls().len(), 1, "{does:?}");
        assert_eq!(fixture.ledger.outcomes(), [ledger::Outcome::Unknown]);
    }
}

/// Guards against giving up a call that was certainly not run, and against a claim that then stays.
#[tokio::test(start_paused = true)]
async fn a_non_idempotent_call_that_was_not_run_is_repeated() {
    let fixture = support::fixture();
    fixture.upstream.set(5, Behaviour::Refuse);
    fixture.upstream.set(6, Behaviour::Refuse);

    let answer = support::post(&fixture, CHARGE, &[]).await;

    assert_eq!(answer.verdict, "not-run");
    assert!(fixture.upstream.calls().len() > 1);
    assert_eq!(fixture.ledger.outcomes(), [ledger::Outcome::Released]);
}

/// Guards against a call that is sent without a granted claim, and against wrong verdicts of claims.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_without_a_grant() {
    let answer = ledger::Answer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "kept".into(),
    };
    let cases = [
        (ledger::Claim::Held, 409, "may-have-run"),
        (ledger::Claim::Mismatch, 422, "not-run"),
        (
            ledger::Claim::Unavailable("no pair".to_owned()),
            503,
            "not-run",
        ),
        (ledger::Claim::Finished(answer), 201, "ran"),
    ];

    for (claim, status, verdict) in cases {
        let fixture = support::fixture();
        fixture.ledger.set_next(claim);
        let answer = support::post(&fixture, CHARGE, &[]).await;
        assert_eq!((answer.status, &answer.verdict[..]), (status, verdict));
        assert!(fixture.upstream.calls().is_empty());
    }
}

/// Guards against a skippable stage that uses up the whole deadline or fails the request.
#[tokio::test(start_paused = true)]
async fn a_hanging_skippable_stage_is_left_out() {
    let fixture = support::fixture();
    fixture.upstream.set(3, Behaviour::Refuse);
    fixture.upstream.set(4, Behaviour::Refuse);

    let answer = support::post(&fixture, PIPELINE, &[]).await;

    assert_eq!((answer.status, &answer.body[..]), (200, "in>encode"));
}

/// Guards against waiting for a call that takes far longer than usual while another upstream is
/// free.
#[tokio::test(start_paused = true)]
async fn a_slow_call_is_hedged() {
    let fixture = support::fixture();
    for _ in 0..200 {
        support::post(&fixture, PIPELINE, &[]).await;
    }
    let before = fixture.upstream.calls().len();
    fixture
        .upstream
        .set(1, Behaviour::Delay(clock::Millis(9000)));

    let headers = [("basilgrade-deadline-ms", "2000")];
    let answers = post_concurrently(&fixture, &headers).await;

    assert!(answers.iter().all(|answer| answer.status == 200));
    let calls = &fixture.upstream.calls()[before..];
    assert!(calls.iter().any(|(port, _)| *port == 1), "nothing was slow");
}

/// Guards against the verdict of a second call that hides that the first one may have run.
#[tokio::test(start_paused = true)]
async fn a_hedge_does_not_hide_the_first_call() {
    let fixture = support::fixture();
    for _ in 0..200 {
        support::post(&fixture, PIPELINE, &[]).await;
    }
    fixture.upstream.set(1, Behaviour::Hang);
    fixture.upstream.set(2, Behaviour::Hang);

    let headers = [("basilgrade-deadline-ms", "2000")];
    let hanging = support::post(&fixture, PIPELINE, &headers).await;
    fixture.upstream.set(1, Behaviour::Refuse);
    let refused = support::post(&fixture, PIPELINE, &headers).await;

    assert_eq!(hanging.verdict, "may-have-run");
    assert_eq!(refused.verdict, "may-have-run");
}

/// Guards against retry storms: with every call broken, second calls stay within the budget.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    const REQUESTS: usize = 3000;
    // The greatest number of retries saved up; see the retry budget of the policy package.
    const SAVED: usize = 100;
    let fixture = support::fixture();
    fixture.upstream.set(1, Behaviour::Reset);
    fixture.upstream.set(2, Behaviour::Reset);

    for _ in 0..REQUESTS {
        support::post(&fixture, PIPELINE, &[]).await;
    }

    let calls = fixture.upstream.calls().len();
    assert!(calls <= REQUESTS * 11 / 10 + SAVED, "{calls} calls");
}

/// Guards against new work for an upstream that said it is leaving.
#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_gets_no_new_work() {
    for does in [Behaviour::LeavingRefused, Behaviour::LeavingUnknown] {
        let fixture = support::fixture();
        fixture.upstream.set(1, does);
        leaves(&fixture).await;
    }
}

async fn leaves(fixture: &support::Fixture) {
    let told = |fixture: &support::Fixture| {
        let calls = fixture.upstream.calls();
        calls.iter().filter(|(port, _)| *port == 1).count()
    };
    let answers = post_concurrently(fixture, &[]).await;
    let signs = told(fixture);

    let later = post_concurrently(fixture, &[]).await;

    assert!(
        answers
            .iter()
            .chain(&later)
            .all(|answer| answer.status == 200)
    );
    assert!(signs > 0, "the leaving upstream was never called");
    assert_eq!(told(fixture), signs);
}
