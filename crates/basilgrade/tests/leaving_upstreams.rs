//! Upstreams that announce that they are leaving while callers send requests.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use basilgrade_admin::status::member;
use basilgrade_standins::caller;
use basilgrade_standins::engine;
use basilgrade_standins::execution;
use basilgrade_standins::fault;
use basilgrade_standins::platform::Vm;
use basilgrade_standins::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use support::deployment;
use support::port;

const PIPELINE: &str = "/v1/pipelines/seating";

/// Which daemons were known to report the upstream as leaving when a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    /// Not all daemons had reported the upstream as leaving.
    Partial,
    /// All daemons had reported the upstream as leaving.
    Complete,
}

/// One request with its outcome.
#[derive(Debug)]
struct Sent {
    knowledge: Knowledge,
    question: String,
    response: Result<caller::Response, String>,
}

/// Callers that send requests without pause through all daemons until they are stopped.
struct Callers {
    /// Set once all daemons have reported the upstream as leaving.
    known: sync::Arc<atomic::AtomicBool>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Sent>>>,
}

impl Callers {
    fn start(deployment: &deployment::Deployment) -> Self {
        let known = sync::Arc::new(atomic::AtomicBool::new(false));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = deployment
            .daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect();
        let tasks = (0..6)
            .map(|caller_index| {
                let address = addresses[caller_index % addresses.len()];
                let (known, stop) = (sync::Arc::clone(&known), sync::Arc::clone(&stop));
                tokio::spawn(send_requests(address, caller_index, known, stop))
            })
            .collect();
        Self { known, stop, tasks }
    }

    /// Marks the upstream as known to be leaving, lets the callers send for 3 s more, stops them
    /// and returns all requests.
    async fn finish(self) -> Vec<Sent> {
        self.known.store(true, atomic::Ordering::SeqCst);
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        self.stop.store(true, atomic::Ordering::SeqCst);
        let mut sent = Vec::new();
        for task in self.tasks {
            sent.extend(task.await.expect("the caller task does not panic"));
        }
        sent
    }
}

/// Sends requests one after the other to the daemon at `address` until `stop` is set.
async fn send_requests(
    address: net::SocketAddr,
    caller_index: usize,
    known: sync::Arc<atomic::AtomicBool>,
    stop: sync::Arc<atomic::AtomicBool>,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stop.load(atomic::Ordering::SeqCst) {
        let knowledge = if known.load(atomic::Ordering::SeqCst) {
            Knowledge::Complete
        } else {
            Knowledge::Partial
        };
        let question = format!("Where is table {caller_index}-{}?", sent.len());
        let response = caller::post(address, PIPELINE, &[deployment::CUSTOMER], &question).await;
        sent.push(Sent {
            knowledge,
            question,
            response,
        });
    }
    sent
}

/// Panics unless every request got its own complete answer and no request that was sent after all
/// daemons had reported the upstream as leaving ran on it.
fn assert_diverted(
    sent: &[Sent],
    leaving: &[execution::Execution],
    staying: &[execution::Execution],
) {
    let ran = |list: &[execution::Execution], request: &str| {
        list.iter().any(|execution| execution.request == request)
    };
    let mut diverted = 0;
    for request in sent {
        let response = request
            .response
            .as_ref()
            .expect("the daemon sends a response");
        let encoded = pool::transform("encode", request.question.as_bytes());
        let answer = engine::completion(&String::from_utf8_lossy(&encoded), deployment::TOKENS);
        assert_eq!(response.verdict, "ran", "{request:?}");
        assert_eq!(response.body, answer.as_bytes(), "{request:?}");
        if request.knowledge == Knowledge::Complete {
            let id = response.request.expect("the response names the request id");
            let id = id.to_string();
            assert!(
                !ran(leaving, &id),
                "a request ran on an upstream that all daemons had reported as leaving: {request:?}"
            );
            diverted += usize::from(ran(staying, &id));
        }
    }
    println!(
        "{} requests, {diverted} diverted after the leaving notice, {} run on the leaving upstream",
        sent.len(),
        leaving.len()
    );
    assert!(
        diverted > 0,
        "no request was diverted, so the test checked nothing"
    );
    assert!(
        !leaving.is_empty(),
        "the leaving upstream ran no request, so the test checked nothing"
    );
}

/// Waits until the upstream has run some requests, so that the test can observe that they stop.
async fn wait_for_executions(executions: &execution::Executions) {
    deployment::wait_until(|| async { executions.all().len() > 3 }).await;
}

/// Waits until all daemons report `upstream` as leaving.
async fn wait_until_leaving(deployment: &mut deployment::Deployment, upstream: &str) {
    let upstream: id::UpstreamId = upstream.parse().expect("the id is valid");
    deployment
        .wait_for_status(|status| status.leaving.contains(&upstream))
        .await;
}

/// Guards against requests to an upstream that has announced in a refusal that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_notice_in_a_refusal_diverts_requests() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    // The other encoder is slower, so that requests go to the encoder that is about to refuse them.
    let slow = fault::Fault::Slow(clock::Millis(300));
    deployment.encoders[1].faults.set(slow);
    let callers = Callers::start(&deployment);
    wait_for_executions(&deployment.encoders[0].executions).await;

    deployment.encoders[0].faults.set(fault::Fault::Leaving);
    wait_until_leaving(&mut deployment, "encoders-a").await;
    // The leaving encoder runs requests again from here on, so that a request which still reaches
    // the encoder is recorded.
    deployment.encoders[0].faults.set(fault::Fault::None);
    let sent = callers.finish().await;

    let executions = |index: usize| deployment.encoders[index].executions.all();
    assert_diverted(&sent, &executions(0), &executions(1));
}

/// Guards against requests to an engine whose load report says that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_notice_in_a_load_report_diverts_requests() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    let engine = &deployment.engines[0].server;
    wait_for_executions(&engine.executions).await;

    // The engine accepts calls, so that only its load report says that it is leaving.
    for _ in 0..10_000 {
        engine.faults.push(fault::Fault::None);
    }
    engine.faults.set(fault::Fault::Leaving);
    wait_until_leaving(&mut deployment, "assistant-a").await;
    let sent = callers.finish().await;

    let executions = |index: usize| deployment.engines[index].server.executions.all();
    assert_diverted(&sent, &executions(0), &executions(1));
}

/// Guards against requests to an upstream that the VM list of the platform shows as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_notice_in_the_vm_list_diverts_requests() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    wait_for_executions(&deployment.encoders[0].executions).await;

    let vm = Vm::live("encoders-a", "a", deployment.encoders[0].address);
    deployment.platform.set_vms(vec![vm.leaving()]);
    wait_until_leaving(&mut deployment, "encoders-a").await;
    let sent = callers.finish().await;

    let executions = |index: usize| deployment.encoders[index].executions.all();
    assert_diverted(&sent, &executions(0), &executions(1));
}

/// Guards against a stale VM list that ejects the members it omits or adds a member that is dead.
#[tokio::test(flavor = "multi_thread")]
async fn stale_vm_list_neither_ejects_nor_adds_members() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    wait_for_executions(&deployment.encoders[0].executions).await;
    let dead = port::free_address();

    // The list omits all other daemons and upstreams. Once `encoders-a` is reported as leaving, the
    // daemons have read the list.
    deployment.platform.set_vms(vec![
        Vm::live("entry-dead", "a", dead),
        Vm::live("entry-0", "a", deployment.daemons[0].peer_address),
        Vm::live("encoders-a", "a", deployment.encoders[0].address).leaving(),
    ]);
    wait_until_leaving(&mut deployment, "encoders-a").await;
    let sent = callers.finish().await;

    let alive = |vm: &str| {
        let vm: id::VmId = vm.parse().expect("the id is valid");
        move |member: &member::Member| member.vm == vm && member.state == member::State::Alive
    };
    for daemon in &deployment.daemons {
        let status = support::operator::status(daemon.admin_address).await;
        let status = status.expect("the daemon reports its status");
        assert_eq!(status.leaving.len(), 1, "{}", daemon.name);
        for name in ["entry-0", "entry-1", "entry-2"] {
            assert!(status.members.iter().any(alive(name)), "{name}: {status:?}");
        }
        assert!(!status.members.iter().any(alive("entry-dead")));
    }
    let executions = |index: usize| deployment.encoders[index].executions.all();
    assert_diverted(&sent, &executions(0), &executions(1));
}
