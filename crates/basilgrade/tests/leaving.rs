//! Upstreams that leave while callers send.

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

/// Whether the daemons had all reported the upstream as leaving when a request was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    None,
    Everywhere,
}

/// One request and what came of it.
#[derive(Debug)]
struct Asked {
    knowledge: Knowledge,
    question: String,
    response: Result<caller::Response, String>,
}

/// Callers that send without pause through all daemons until they are stopped.
struct Callers {
    known: sync::Arc<atomic::AtomicBool>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Asked>>>,
}

impl Callers {
    fn start(deployment: &deployment::Deployment) -> Self {
        let known = sync::Arc::new(atomic::AtomicBool::new(false));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = deployment.daemons.iter().map(|one| one.caller).collect();
        let tasks = (0..6)
            .map(|lane| {
                let address = addresses[lane % addresses.len()];
                let (known, stop) = (sync::Arc::clone(&known), sync::Arc::clone(&stop));
                tokio::spawn(send(address, lane, known, stop))
            })
            .collect();
        Self { known, stop, tasks }
    }

    /// Notes that all daemons know, lets the callers send on, and returns what they sent.
    async fn finish(self) -> Vec<Asked> {
        self.known.store(true, atomic::Ordering::SeqCst);
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        self.stop.store(true, atomic::Ordering::SeqCst);
        let mut asked = Vec::new();
        for task in self.tasks {
            asked.extend(task.await.expect("the caller ends"));
        }
        asked
    }
}

async fn send(
    address: net::SocketAddr,
    lane: usize,
    known: sync::Arc<atomic::AtomicBool>,
    stop: sync::Arc<atomic::AtomicBool>,
) -> Vec<Asked> {
    let mut asked = Vec::new();
    while !stop.load(atomic::Ordering::SeqCst) {
        let knowledge = if known.load(atomic::Ordering::SeqCst) {
            Knowledge::Everywhere
        } else {
            Knowledge::None
        };
        let question = format!("Where is table {lane}-{}?", asked.len());
        let response = caller::post(address, PIPELINE, &[deployment::CUSTOMER], &question).await;
        asked.push(Asked {
            knowledge,
            question,
            response,
        });
    }
    asked
}

/// Fails unless every request has its own whole answer and none made after all daemons knew ran
/// on the upstream that left.
fn judge(asked: &[Asked], left: &[execution::Execution], stayed: &[execution::Execution]) {
    let ran = |list: &[execution::Execution], request: &str| {
        list.iter().any(|execution| execution.request == request)
    };
    let mut moved = 0;
    for one in asked {
        let response = one.response.as_ref().expect("a response arrives");
        let encoded = pool::transform("encode", one.question.as_bytes());
        let answer = engine::completion(&String::from_utf8_lossy(&encoded), deployment::TOKENS);
        assert_eq!(response.verdict, "ran", "{one:?}");
        assert_eq!(response.body, answer.as_bytes(), "{one:?}");
        if one.knowledge == Knowledge::Everywhere {
            let request = response.request.expect("the response names the request");
            let request = request.to_string();
            assert!(!ran(left, &request), "new work after the sign: {one:?}");
            moved += usize::from(ran(stayed, &request));
        }
    }
    println!(
        "{} requests, {moved} moved, {} before",
        asked.len(),
        left.len()
    );
    assert!(moved > 0, "nothing was sent after the sign");
    assert!(
        !left.is_empty(),
        "the upstream had no work that it could lose"
    );
}

/// Waits until the upstream has had work, so that the test shows a change.
async fn worked(executions: &execution::Executions) {
    deployment::until(|| async { executions.all().len() > 3 }).await;
}

async fn everywhere(deployment: &mut deployment::Deployment, upstream: &str) {
    let upstream: id::UpstreamId = upstream.parse().expect("the name is valid");
    deployment
        .reported(|status| status.leaving.contains(&upstream))
        .await;
}

/// Guards against work sent to an upstream after one of its own refusals said that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_says_leaving_moves_work_elsewhere() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    // The other encoder is slower, so that work goes to the one that is about to refuse it.
    let slow = fault::Fault::Slow(clock::Millis(300));
    deployment.encoders[1].faults.set(slow);
    let callers = Callers::start(&deployment);
    worked(&deployment.encoders[0].executions).await;

    deployment.encoders[0].faults.set(fault::Fault::Leaving);
    everywhere(&mut deployment, "encoders-a").await;
    // From here on it would run what it is sent.
    deployment.encoders[0].faults.set(fault::Fault::None);
    let asked = callers.finish().await;

    let executions = |index: usize| deployment.encoders[index].executions.all();
    judge(&asked, &executions(0), &executions(1));
}

/// Guards against work sent to an engine whose load report says that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_report_that_says_leaving_moves_work_elsewhere() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    let engine = &deployment.engines[0].server;
    worked(&engine.executions).await;

    // Calls are accepted, so that only the load report tells.
    for _ in 0..10_000 {
        engine.faults.push(fault::Fault::None);
    }
    engine.faults.set(fault::Fault::Leaving);
    everywhere(&mut deployment, "assistant-a").await;
    let asked = callers.finish().await;

    let executions = |index: usize| deployment.engines[index].server.executions.all();
    judge(&asked, &executions(0), &executions(1));
}

/// Guards against work sent to an upstream that the VM list shows as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_list_that_says_leaving_moves_work_elsewhere() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    worked(&deployment.encoders[0].executions).await;

    let vm = Vm::live("encoders-a", "a", deployment.encoders[0].address);
    deployment.platform.set_vms(vec![vm.leaving()]);
    everywhere(&mut deployment, "encoders-a").await;
    let asked = callers.finish().await;

    let executions = |index: usize| deployment.encoders[index].executions.all();
    judge(&asked, &executions(0), &executions(1));
}

/// Guards against a stale VM list that ejects those it omits or brings in those that are dead.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_vm_list_ejects_nobody() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let callers = Callers::start(&deployment);
    worked(&deployment.encoders[0].executions).await;
    let dead = port::free();

    // Omits all other daemons and upstreams; `encoders-a` shows when the list has been read.
    deployment.platform.set_vms(vec![
        Vm::live("entry-dead", "a", dead),
        Vm::live("entry-0", "a", deployment.daemons[0].peer),
        Vm::live("encoders-a", "a", deployment.encoders[0].address).leaving(),
    ]);
    everywhere(&mut deployment, "encoders-a").await;
    let asked = callers.finish().await;

    let alive = |vm: &str| {
        let vm: id::VmId = vm.parse().expect("the name is valid");
        move |member: &member::Member| member.vm == vm && member.state == member::State::Alive
    };
    for daemon in &deployment.daemons {
        let status = support::operator::status(daemon.admin).await;
        let status = status.expect("the daemon answers");
        assert_eq!(status.leaving.len(), 1, "{}", daemon.name);
        for name in ["entry-0", "entry-1", "entry-2"] {
            assert!(status.members.iter().any(alive(name)), "{name}: {status:?}");
        }
        assert!(!status.members.iter().any(alive("entry-dead")));
    }
    let executions = |index: usize| deployment.encoders[index].executions.all();
    judge(&asked, &executions(0), &executions(1));
}
