//! The clients of VM list and weight store, and arbitrary answers.

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

async fn platform(options: platform::Options) -> platform::Platform {
    platform::start(options).await.expect("free port")
}

/// Guards against a change of the JSON form on either side.
#[tokio::test]
async fn lists_are_fetched_as_set() {
    let platform = platform(platform::Options::default()).await;
    let address = platform.server.address;
    platform.set_vms(vec![
        platform::Vm::live("a", "cordoba", address),
        platform::Vm::live("b", "rosario", address).leaving(),
    ]);
    platform.set_weights("gowns-7b", 14_000_000_000);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;
    let info = http::HttpWeightStore::new(address, settings()).info().await;

    let states: Vec<_> = vms.expect("list").iter().map(|vm| vm.state).collect();
    assert_eq!(states, [vm_list::VmState::Live, vm_list::VmState::Leaving]);
    let info = info.expect("info");
    assert_eq!(info.models["gowns-7b"], size::ByteCount(14_000_000_000));
}

/// Guards against a stand-in without lag, which would hide errors of code that trusts the list.
#[tokio::test]
async fn the_vm_list_lags() {
    let options = platform::Options {
        list_lag: clock::Millis::from_secs(3600),
        ..platform::Options::default()
    };
    let platform = platform(options).await;
    let address = platform.server.address;
    platform.set_vms(vec![platform::Vm::live("a", "cordoba", address)]);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;

    assert_eq!(vms, Ok(Vec::new()));
}

/// Guards against a list beyond the limit being held in memory.
#[tokio::test]
async fn a_list_over_the_limit_is_an_error() {
    let platform = platform(platform::Options::default()).await;
    let address = platform.server.address;
    platform.set_vms(vec![platform::Vm::live("a", "cordoba", address); 100]);

    let vms = http::HttpVmList::new(address, settings()).fetch().await;

    assert!(matches!(vms, Err(error::ReadError::Malformed(_))));
}

/// Guards against a panic or a wrong success on any bytes that a broken platform may send.
#[test]
fn arbitrary_answers_are_errors() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let platform = runtime.block_on(platform(platform::Options::default()));
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
