//! Tests of attempts, verdicts and deadline budgets of the executor, in virtual time.

mod support;

use basilgrade_server::ledger;
use basilgrade_types::clock;
use futures::future;
use support::fake_upstream::Behaviour;

const PIPELINE: &str = "/v1/pipelines/p";
const CHARGE: &str = "/v1/services/sales/charge";

/// Sends eight requests concurrently, so that every upstream receives some of them.
async fn post_concurrently(
    fixture: &support::Fixture,
    headers: &[(&str, &str)],
) -> Vec<support::Response> {
    future::join_all((0..8).map(|_| support::post(fixture, PIPELINE, headers))).await
}

/// Guards against failing an idempotent stage although another upstream could serve it.
#[tokio::test(start_paused = true)]
async fn idempotent_stage_is_retried_on_another_upstream() {
    let fixture = support::fixture();
    fixture.upstream.set(1, Behaviour::Reset);
    fixture.upstream.set(3, Behaviour::Refuse);

    for response in post_concurrently(&fixture, &[]).await {
        assert_eq!((response.status, &response.verdict[..]), (200, "ran"));
        assert_eq!(response.body, "in>encode>rerank");
    }

    let reset_called = fixture.upstream.calls().iter().any(|(port, _)| *port == 1);
    assert!(
        reset_called,
        "upstream `1`, which resets connections, was never called"
    );
}

/// Guards against running a call again that may have run.
#[tokio::test(start_paused = true)]
async fn non_idempotent_call_is_not_retried_if_it_may_have_run() {
    for behaviour in [Behaviour::Reset, Behaviour::Hang] {
        let fixture = support::fixture();
        fixture.upstream.set(5, behaviour);
        fixture.upstream.set(6, behaviour);

        let response = support::post(&fixture, CHARGE, &[]).await;

        assert_eq!(response.verdict, "may-have-run", "{behaviour:?}");
        assert_eq!(fixture.upstream.calls().len(), 1, "{behaviour:?}");
        assert_eq!(fixture.ledger.outcomes(), [ledger::Outcome::Unknown]);
    }
}

/// Guards against not retrying a call that was not run, and against keeping its claim.
#[tokio::test(start_paused = true)]
async fn non_idempotent_call_is_retried_if_it_was_not_run() {
    let fixture = support::fixture();
    fixture.upstream.set(5, Behaviour::Refuse);
    fixture.upstream.set(6, Behaviour::Refuse);

    let response = support::post(&fixture, CHARGE, &[]).await;

    assert_eq!(response.verdict, "not-run");
    assert!(fixture.upstream.calls().len() > 1);
    assert_eq!(fixture.ledger.outcomes(), [ledger::Outcome::Released]);
}

/// Guards against sending a call without a granted claim, and against wrong verdicts for each claim
/// result.
#[tokio::test(start_paused = true)]
async fn no_call_is_sent_without_granted_claim() {
    let answer = ledger::Answer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "kept".into(),
    };
    let cases = [
        (ledger::Claim::Held, 409, "may-have-run"),
        (ledger::Claim::Mismatch, 422, "not-run"),
        (
            ledger::Claim::Unavailable("no owner".to_owned()),
            503,
            "not-run",
        ),
        (ledger::Claim::Finished(answer), 201, "ran"),
    ];

    for (claim, status, verdict) in cases {
        let fixture = support::fixture();
        fixture.ledger.set_next(claim);
        let response = support::post(&fixture, CHARGE, &[]).await;
        assert_eq!((response.status, &response.verdict[..]), (status, verdict));
        assert!(fixture.upstream.calls().is_empty());
    }
}

/// Guards against a skippable stage that uses up the whole deadline or fails the request.
#[tokio::test(start_paused = true)]
async fn failing_skippable_stage_is_skipped() {
    let fixture = support::fixture();
    fixture.upstream.set(3, Behaviour::Refuse);
    fixture.upstream.set(4, Behaviour::Refuse);

    let response = support::post(&fixture, PIPELINE, &[]).await;

    assert_eq!((response.status, &response.body[..]), (200, "in>encode"));
}

/// Guards against waiting for a call far beyond its usual latency while another upstream is idle.
#[tokio::test(start_paused = true)]
async fn slow_call_is_hedged() {
    let fixture = support::fixture();
    for _ in 0..200 {
        support::post(&fixture, PIPELINE, &[]).await;
    }
    let before = fixture.upstream.calls().len();
    fixture
        .upstream
        .set(1, Behaviour::Delay(clock::Millis(9000)));

    let headers = [("basilgrade-deadline-ms", "2000")];
    let responses = post_concurrently(&fixture, &headers).await;

    assert!(responses.iter().all(|response| response.status == 200));
    let calls = &fixture.upstream.calls()[before..];
    assert!(
        calls.iter().any(|(port, _)| *port == 1),
        "upstream `1`, which responds late, was never called"
    );
}

/// Guards against reporting the verdict of the hedge alone when the first call may have run.
#[tokio::test(start_paused = true)]
async fn verdict_covers_first_call_and_hedge() {
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

/// Guards against retry storms: with every call failing, retries stay within the budget.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_budget() {
    const REQUEST_COUNT: usize = 3000;
    // The largest number of retries that the retry budget of the policy package accumulates.
    const MAX_SAVED_RETRIES: usize = 100;
    let fixture = support::fixture();
    fixture.upstream.set(1, Behaviour::Reset);
    fixture.upstream.set(2, Behaviour::Reset);

    for _ in 0..REQUEST_COUNT {
        support::post(&fixture, PIPELINE, &[]).await;
    }

    let calls = fixture.upstream.calls().len();
    assert!(
        calls <= REQUEST_COUNT * 11 / 10 + MAX_SAVED_RETRIES,
        "{calls} calls"
    );
}

/// Guards against sending new calls to an upstream that announced it is leaving.
#[tokio::test(start_paused = true)]
async fn leaving_upstream_gets_no_new_calls() {
    for behaviour in [Behaviour::LeavingRefused, Behaviour::LeavingUnknown] {
        let fixture = support::fixture();
        fixture.upstream.set(1, behaviour);
        assert_no_calls_after_leaving(&fixture).await;
    }
}

async fn assert_no_calls_after_leaving(fixture: &support::Fixture) {
    let call_count = |fixture: &support::Fixture| {
        let calls = fixture.upstream.calls();
        calls.iter().filter(|(port, _)| *port == 1).count()
    };
    let responses = post_concurrently(fixture, &[]).await;
    let calls_before = call_count(fixture);

    let later = post_concurrently(fixture, &[]).await;

    assert!(
        responses
            .iter()
            .chain(&later)
            .all(|response| response.status == 200)
    );
    assert!(
        calls_before > 0,
        "upstream `1`, which is leaving, was never called"
    );
    assert_eq!(call_count(fixture), calls_before);
}
