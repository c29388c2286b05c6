//! Tests of concurrent calls on shared connections.

mod common;

use std::sync;

use basilgrade_standins::fault;
use basilgrade_standins::pool;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::upstream::Upstream;
use proptest::prelude::*;
use proptest::test_runner;

const CALLS: usize = 64;

fn any_faults() -> impl Strategy<Value = Vec<fault::Fault>> {
    let faults = prop::sample::select(vec![
        fault::Fault::CloseIdle,
        fault::Fault::Dead,
        fault::Fault::LateDuplicate(clock::Millis(1)),
        fault::Fault::NotRun,
        fault::Fault::Reset,
        fault::Fault::RunReset,
        fault::Fault::Truncated,
        fault::Fault::Duplicate,
        fault::Fault::WrongRequest,
    ]);
    let fault = prop_oneof![1 => Just(fault::Fault::None), 2 => faults];
    prop::collection::vec(fault, CALLS)
}

/// Guards against responses to other calls, verdicts that deny an execution, and calls that are
/// sent twice, when threads take connections from the pool and return them concurrently.
#[test]
fn concurrent_calls_get_matching_response_and_verdict() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("expected a tokio runtime");
    let config = common::cases(24, 8);

    let result = test_runner::TestRunner::new(config).run(&any_faults(), |faults| {
        let member = runtime
            .block_on(pool::start())
            .expect("expected a free port");
        let member = sync::Arc::new(member);
        for fault in faults {
            member.faults.push(fault);
        }
        let client = common::client();
        // Each task makes its calls sequentially, so that connections are reused.
        let tasks = (0..8).map(|task| {
            let (client, member) = (client.clone(), sync::Arc::clone(&member));
            runtime.spawn(async move {
                for number in 0..CALLS / 8 {
                    let input = format!("{task}-{number}");
                    let call = call::Call {
                        body: input.clone().into(),
                        ..common::call(member.address)
                    };
                    let request = call.request.to_string();
                    let result = client.call(call).await;
                    let executions = member.executions.count_by_request(&request);
                    match result {
                        Ok(reply) => {
                            assert_eq!(reply.body, pool::transform("rerank", input.as_bytes()));
                            assert_eq!(executions, 1);
                        }
                        Err(error) if error.verdict() == verdict::Verdict::NotRun => {
                            assert_eq!(executions, 0, "{error}");
                        }
                        Err(error) => assert!(executions <= 1, "{error}"),
                    }
                }
            })
        });
        let tasks: Vec<_> = tasks.collect();
        for done in runtime.block_on(futures::future::join_all(tasks)) {
            prop_assert!(done.is_ok(), "{done:?}");
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
