//! Benchmark of requests through the daemon against direct calls to the same service.

use std::fmt::Write;
use std::net;
use std::sync;

use basilgrade_standins::service;

use crate::load;
use crate::setup;

const CONNECTIONS: usize = 32;
const REQUESTS_PER_CONNECTION: usize = 1500;

/// Measures direct calls and calls through the daemon alternately, so that changes of the machine's
/// load affect both.
pub(crate) async fn run() {
    let upstream = service::start(service::Echo::Sent, service::Keys::Ignored)
        .await
        .expect("expected the stand-in service to start");
    println!("requests          rate_per_s  median_us  p99_us        cpu_us");
    for customers in [1, 4200] {
        let daemon = setup::daemon(&configuration(upstream.address, customers), "a").await;
        let (mut direct, mut via_daemon) = (None, None);
        for _ in 0..2 {
            direct = Some(
                load::run(
                    upstream.address,
                    CONNECTIONS,
                    REQUESTS_PER_CONNECTION,
                    request_builder("/lookup/b14"),
                )
                .await,
            );
            via_daemon = Some(
                load::run(
                    daemon,
                    CONNECTIONS,
                    REQUESTS_PER_CONNECTION,
                    request_builder("/v1/services/s/lookup/b14"),
                )
                .await,
            );
        }
        let (Some(direct), Some(via_daemon)) = (direct, via_daemon) else {
            return;
        };
        report("direct", &direct);
        report(&format!("daemon/{customers}"), &via_daemon);
        println!(
            "  ratio of rates {:.3}; added median {:.0} us; daemon CPU time {:.1} us per request; {:.0} requests/s per core",
            via_daemon.rate / direct.rate,
            via_daemon.latency.0 - direct.latency.0,
            via_daemon.cpu - direct.cpu,
            1e6 / (via_daemon.cpu - direct.cpu),
        );
    }
}

fn report(name: &str, measured: &load::Measured) {
    println!(
        "{name:<16} {:>11.0} {:>10.0} {:>7.0} {:>13.1}",
        measured.rate, measured.latency.0, measured.latency.1, measured.cpu
    );
}

fn configuration(address: net::SocketAddr, customers: usize) -> String {
    let mut text = setup::common_sections();
    let _ = writeln!(
        text,
        "[pool s]\nkind = service\nprice = 1\n[service s]\ndeadline = 10s\n\
         idempotency = idempotent\n[upstream s1]\npool = s\ndomain = a\naddress = {address}\n\
         capacity = 1000"
    );
    for index in 1..customers {
        let _ = writeln!(text, "[customer c{index}]\nrate = 10/s\nburst = 20");
    }
    text
}

fn request_builder(path: &'static str) -> load::RequestBuilder {
    sync::Arc::new(move || {
        hyper::Request::get(path)
            .header("host", "bench")
            .header("basilgrade-customer", "c")
            .header("basilgrade-request-id", uuid::Uuid::now_v7().to_string())
            .body(http_body_util::Full::default())
            .expect("expected a valid request")
    })
}
