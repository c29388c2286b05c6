//! Engines that stop in the middle of the head of their answer.

mod edge_support;

use std::net;
use std::sync;
use std::time;

use edge_support::client;
use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// What an engine sends for a request, and whether it resets the connection then.
#[derive(Clone, Default)]
struct Script {
    first: Vec<u8>,
    /// For a request that goes on after an event.
    resumed: Vec<u8>,
    resets: bool,
}

/// Raw engines that write the same bytes, and the ids of the requests that reached them.
#[derive(Default)]
struct Engines {
    script: sync::Mutex<Script>,
    arrived: sync::Mutex<Vec<String>>,
}

impl Engines {
    fn set(&self, script: Script) {
        *self.script.lock().expect("no holder of the lock panics") = script;
    }

    fn count(&self, id: &str) -> usize {
        let arrived = self.arrived.lock().expect("no holder of the lock panics");
        arrived.iter().filter(|known| *known == id).count()
    }

    fn record(&self, id: String) {
        let mut arrived = self.arrived.lock().expect("no holder of the lock panics");
        arrived.push(id);
    }

    fn script(&self) -> Script {
        let script = self.script.lock().expect("no holder of the lock panics");
        script.clone()
    }

    async fn handle(&self, mut stream: tokio::net::TcpStream) {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("x-attempt-id: "));
        let id = id.expect("the request has an id").to_owned();
        self.record(id);
        let script = self.script();
        let bytes = if text.contains("last-event-id:") {
            script.resumed
        } else {
            script.first
        };
        // Errors are ignored: the daemon may close the connection at any time.
        let _ = stream.write_all(&bytes).await;
        if script.resets {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            let socket = socket2::SockRef::from(&stream);
            let _ = socket.set_linger(Some(time::Duration::ZERO));
            return;
        }
        let _ = stream.shutdown().await;
        let _ = stream.read_buf(&mut received).await;
    }

    async fn start(self: &sync::Arc<Self>) -> net::SocketAddr {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let engines = sync::Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engines = sync::Arc::clone(&engines);
                tokio::spawn(async move { engines.handle(stream).await });
            }
        });
        address
    }
}

/// Starts a daemon in front of two raw engines that serve all routes.
async fn start() -> (deployment::Deployment, sync::Arc<Engines>) {
    let mut document: serde_json::Value =
        serde_json::from_str(&deployment::without_stages()).expect("the configuration is JSON");
    let services = document["services"].as_array_mut();
    let raw = serde_json::json!({"name": "raw", "max-connections": 50});
    services.expect("`services` is a list").push(raw);
    let routes = document["routes"].as_array_mut();
    for route in routes.expect("`routes` is a list") {
        route["service"] = "raw".into();
    }
    let deployment = deployment::start_with(&["a"], 1, &document.to_string()).await;
    let engines = sync::Arc::<Engines>::default();
    for number in 0..2 {
        let address = engines.start().await;
        let entry = serde_json::json!({"service": "raw", "address": address, "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "sequence": 1});
        let id = format!("raw-{number}");
        deployment
            .store
            .put("keyed.servers", &id, &entry.to_string());
    }
    engines.set(Script {
        first: format!("{}ok", head("probe", "Content-Length: 2")).into_bytes(),
        ..Script::default()
    });
    let address = deployment.daemons[0].caller_address;
    let reads = deployment.store.upstream_reads();
    deployment::wait_until("both engines are known", || async {
        let request = client::request("probe", "GET", "/safe/probe");
        client::send(address, request, "").await;
        deployment.store.upstream_reads() > reads + 2 && engines.count("probe") > 0
    })
    .await;
    (deployment, engines)
}

fn head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: s\r\n{framing}\r\n\r\n")
}

/// Kinds of requests: the prefix of the path, the last event that the caller has, and whether more
/// than one engine may get the request.
const KINDS: [(&str, Option<&str>, bool); 5] = [
    ("/once", None, false),
    ("/safe", None, true),
    ("/stream", None, false),
    ("/stream-resumable", None, true),
    ("/stream-resumable", Some("3"), true),
];

/// Asserts that a request of each kind fails as one that may have run if engines send `bytes` and
/// close or reset the connection, and that it reaches no more engines than it may.
async fn assert_uncertain(
    (address, engines): (net::SocketAddr, &Engines),
    name: &str,
    bytes: &dyn Fn(&str) -> Vec<u8>,
    resets: bool,
) {
    for (number, (prefix, last, is_repeatable)) in KINDS.into_iter().enumerate() {
        let id = format!("{name}-{number}");
        let bytes = bytes(&id);
        engines.set(Script {
            first: bytes.clone(),
            resumed: bytes,
            resets,
        });
        let path = format!("{prefix}/{id}");
        let mut request = client::request(&id, "POST", &path);
        if let Some(last) = last {
            request = request.header("last-event-id", last);
        }
        let answer = client::send(address, request, "").await;
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.status, 502, "{path}: {answer:?}");
        assert!(!answer.headers.contains_key("x-engine-signature"), "{path}");
        let runs = engines.count(&id);
        let most = if is_repeatable { 2 } else { 1 };
        assert!((1..=most).contains(&runs), "{path}: {runs} runs");
    }
}

/// Guards against a request that is answered with 200, refused as not run, or run again because its
/// engine stopped in the middle of the answer's head.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_cut_at_any_byte_leaves_the_request_uncertain() {
    let (deployment, engines) = start().await;
    let target = (deployment.daemons[0].caller_address, &*engines);
    let framings = [
        "Content-Type: text/event-stream\r\nContent-Length: 80",
        "Transfer-Encoding: chunked",
        "Connection: close",
    ];

    for (number, framing) in framings.into_iter().enumerate() {
        let length = head("0-000-0", framing).len();
        for cut in 0..length {
            let name = format!("{number}-{cut:03}");
            let bytes = |id: &str| head(id, framing).as_bytes()[..cut].to_vec();
            assert_uncertain(target, &name, &bytes, cut % 7 == 3).await;
        }
    }
}

/// Guards against an interim answer, or one that switches protocols, that is passed on as the answer,
/// and against a head without a body that is.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_before_its_body_leaves_the_request_uncertain() {
    let (deployment, engines) = start().await;
    let target = (deployment.daemons[0].caller_address, &*engines);
    let switching = |id: &str| {
        head(id, "Upgrade: x\r\nConnection: upgrade").replace("200 OK", "101 Switching Protocols")
    };
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    for resets in [false, true] {
        let name = |text: &str| format!("{text}-{resets}");
        let bytes = |id: &str| switching(id).into_bytes();
        assert_uncertain(target, &name("switch"), &bytes, resets).await;
        let bytes = |_: &str| interim.as_bytes().to_vec();
        assert_uncertain(target, &name("interim"), &bytes, resets).await;
        let bytes = |id: &str| {
            let cut = head(id, "Content-Length: 80");
            format!("{interim}{}", &cut[..cut.len() - 5]).into_bytes()
        };
        assert_uncertain(target, &name("both"), &bytes, resets).await;
        let bytes = |id: &str| head(id, "Content-Length: 80").into_bytes();
        assert_uncertain(target, &name("length"), &bytes, resets).await;
        let bytes = |id: &str| head(id, "Transfer-Encoding: chunked").into_bytes();
        assert_uncertain(target, &name("chunked"), &bytes, resets).await;
    }
    let bytes = |id: &str| head(id, "Connection: close").into_bytes();
    assert_uncertain(target, "unframed", &bytes, true).await;
}

/// Guards against a stream that ends as complete because the engine that should go on with it stopped
/// in the middle of its head.
#[tokio::test(flavor = "multi_thread")]
async fn cut_head_ends_no_stream_as_complete() {
    let (deployment, engines) = start().await;
    let address = deployment.daemons[0].caller_address;
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    let event = |number: u64| format!("id: {number}\ndata: e{number}\n\n");
    let events: String = (1..=3).map(event).collect();
    let begun = format!("{:x}\r\n{events}\r\n", events.len());
    let length = head("cut-000", framing).len();

    let cuts = (0..length).step_by(5).chain([length - 2, length - 1]);
    for (number, cut) in cuts.enumerate() {
        let id = format!("cut-{number:03}");
        engines.set(Script {
            first: (head(&id, framing) + &begun).into_bytes(),
            resumed: head(&id, framing).as_bytes()[..cut].to_vec(),
            resets: cut % 2 == 1,
        });
        let path = format!("/stream-resumable/{id}");
        let answer = client::send(address, client::request(&id, "POST", &path), "").await;
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.status, 200, "{id}: {answer:?}");
        assert_eq!(
            (answer.body, answer.is_whole),
            (events.clone(), false),
            "{id}"
        );
        assert_eq!(engines.count(&id), 2, "{id}");
    }
}
