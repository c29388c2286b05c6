//! Tests of the HTTP clients of the VM list and the weight store, and of all clients on invalid
//! responses.

use basilgrade_platform::error;
use basilgrade_platform::http;
use basilgrade_platform::log_service::LogService;
use basilgrade_platform::vm_list;
use basilgrade_platform::vm_list::VmList;
use basilgrade_platform::weight_store::WeightStore;
use basilgrade_standins::fault;
use basilgrade_standins::platform;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::size;
use proptest::prelude::*;
use proptest::test_runner;

fn settings() -> http::Settings {
    http::Settings {
        connect_timeout: clock::Millis::from_secs(120),
        call_timeout: clock::Millis::from_secs(120),
        max_body: size::ByteCount(4096),
        ..http::Settings::default()
    }
}

async fn start_platform(options: platform::Options) -> platform::Platform {
    platform::start(options)
        .await
        .expect("expected a free port")
}

/// Guards against a change of the JSON format of VM list or weight store that is made only in the
/// client or only in the stand-in of the platform.
#[tokio::test]
async fn vm_list_and_weight_store_are_decoded() {
    let platform = start_platform(platform::Options::default()).await;
    let address = platform.server.address;
    platform.set_vms(vec![
        platform::Vm::live("a", "cordoba", address),
        platform::Vm::live("b", "rosario", address).leaving(),
    ]);
    platform.set_weights("gowns-7b", 14_000_000_000);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;
    let info = http::HttpWeightStore::new(address, settings()).info().await;

    let states: Vec<_> = vms
        .expect("expected the VM list")
        .iter()
        .map(|vm| vm.state)
        .collect();
    assert_eq!(states, [vm_list::VmState::Live, vm_list::VmState::Leaving]);
    let info = info.expect("expected the description of the weight store");
    assert_eq!(info.models["gowns-7b"], size::ByteCount(14_000_000_000));
}

/// Guards against a stand-in of the platform that serves the VM list without lag, which would hide
/// faults of daemons that rely on an up-to-date list.
#[tokio::test]
async fn stand_in_serves_vm_list_with_lag() {
    let options = platform::Options {
        list_lag: clock::Millis::from_secs(3600),
        ..platform::Options::default()
    };
    let platform = start_platform(options).await;
    let address = platform.server.address;
    platform.set_vms(vec![platform::Vm::live("a", "cordoba", address)]);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;

    assert_eq!(vms, Ok(Vec::new()));
}

/// Guards against a response above the size limit being read into memory.
#[tokio::test]
async fn oversized_vm_list_is_malformed() {
    let platform = start_platform(platform::Options::default()).await;
    let address = platform.server.address;
    platform.set_vms(vec![platform::Vm::live("a", "cordoba", address); 100]);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;

    assert!(matches!(vms, Err(error::ReadError::Malformed(_))));
}

/// Guards against a client that panics or returns a result on arbitrary bytes.
#[test]
fn arbitrary_responses_are_errors() {
    let runtime = tokio::runtime::Runtime::new().expect("expected a Tokio runtime");
    let platform = runtime.block_on(start_platform(platform::Options::default()));
    let log = http::HttpLog::new(platform.server.address, settings());
    let vms = http::HttpVmList::new(platform.server.address, settings());
    let config = test_runner::Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(11),
        ..test_runner::Config::default()
    };
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n";
    let prefix = prop::sample::select(vec!["", head, "HTTP/1.1 200 OK\r\n"]);
    let body = prop::collection::vec(any::<u8>(), 0..900);

    let result = test_runner::TestRunner::new(config).run(&(prefix, body), |(prefix, body)| {
        let bytes = [prefix.as_bytes(), &body].concat();
        platform
            .log_faults
            .push(fault::Fault::Raw(bytes.clone().into()));
        platform
            .log_faults
            .push(fault::Fault::Raw(bytes.clone().into()));
        platform.vm_faults.push(fault::Fault::Raw(bytes.into()));
        let (read, append, list) = runtime.block_on(async {
            (
                log.read("config", offset::Offset(0), 10).await,
                log.append("config", "a".into()).await,
                vms.fetch().await,
            )
        });
        prop_assert!(read.is_err());
        prop_assert!(matches!(append, Err(error::AppendError::Unknown(_))));
        prop_assert!(list.is_err());
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
