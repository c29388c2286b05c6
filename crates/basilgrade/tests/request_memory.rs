//! Memory of a daemon whose callers send many large bodies at once.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

/// Memory of the smallest VM.
const VM_MEMORY: u64 = 160_000_000;

/// Largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;

/// Number of bodies sent at once.
const REQUESTS: usize = 60;

async fn start() -> deployment::Deployment {
    let mut document: serde_json::Value =
        serde_json::from_str(&deployment::without_stages()).expect("the configuration is JSON");
    document["limits"]["max-body-bytes"] = BODY_BYTES.into();
    let mut deployment = deployment::start_with(&["a"], 0, &document.to_string()).await;
    deployment.add_upstream("desk", 0).await;
    deployment::wait_until("a request is served", || async {
        request(&deployment, "probe").await == Some(200)
    })
    .await;
    deployment
}

/// Sends a request of usual size; returns the status of the answer.
async fn request(deployment: &deployment::Deployment, id: &str) -> Option<u16> {
    let address = deployment.daemons[0].caller_address;
    let request = client::request(id, "POST", "/safe/ask");
    Some(client::send(address, request, "some text").await?.status)
}

/// Sends a request with `key` and all but the last byte of its body, and waits for an answer; returns
/// the start of it, empty if none came.
async fn send_part(address: std::net::SocketAddr, number: usize, key: &str) -> String {
    let mut stream = net::TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: part-{number}\r\n\
         x-deadline-ms: 2500\r\nauthorization: Bearer {key}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    // The daemon may answer before it has read all.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&vec![b'x'; BODY_BYTES - 1]).await;
    let mut start = [0; 12];
    let _ = stream.read_exact(&mut start).await;
    String::from_utf8_lossy(&start).into_owned()
}

/// Sends [`REQUESTS`] bodies at once with `key`, and usual requests beside them; checks the memory of
/// the daemon, and returns the starts of the answers.
async fn check_memory(key: &'static str) -> Vec<String> {
    let deployment = start().await;
    let address = deployment.daemons[0].caller_address;
    let parts = (0..REQUESTS).map(|number| tokio::spawn(send_part(address, number, key)));
    let parts = futures::future::join_all(parts);
    let sound = async {
        for number in 0..60 {
            let status = request(&deployment, &format!("sound-{number}")).await;
            assert_eq!(status, Some(200), "sound request {number}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };

    let (answers, ()) = tokio::join!(parts, sound);

    let peak = deployment.daemons[0].peak_memory();
    println!("{peak} bytes at the peak");
    assert!(peak < VM_MEMORY, "the daemon took {peak} bytes");
    let answers = answers.into_iter().map(|answer| answer.expect("no panic"));
    answers.collect()
}

/// Guards against a daemon that runs out of memory as many large bodies arrive at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_at_once_stay_within_the_memory_of_the_vm() {
    let answers = check_memory("key-one").await;

    // A caller may send a request that was refused for memory again; one that is late may not.
    let refused = answers.iter().filter(|answer| answer.ends_with("503"));
    assert!(refused.count() > REQUESTS / 2, "{answers:?}");
}

/// Guards against a daemon that keeps the bodies of rejected requests in memory.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_bodies_at_once_stay_within_the_memory_of_the_vm() {
    let answers = check_memory("key-none").await;

    let rejected = answers.iter().filter(|answer| answer.ends_with("401"));
    assert_eq!(rejected.count(), REQUESTS, "{answers:?}");
}
