//! A fake daemon for tests, with an admin server and a client runtime.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only a part of this module"
)]

use std::net;
use std::sync::Arc;
use std::sync::Mutex;

use basilgrade_admin::Admin;
use basilgrade_admin::Server;
use basilgrade_admin::configuration;
use basilgrade_admin::status;
use basilgrade_admin::status::member;
use basilgrade_admin::status::phase;
use basilgrade_admin::status::slot as held_slot;
use basilgrade_config::settings::log::level;
use basilgrade_config::settings::peers::secret;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::request;
use basilgrade_types::revision;
use basilgrade_types::slot;
use futures::FutureExt;
use futures::future;

/// The only request for which the fake daemon has decisions.
pub const KNOWN_REQUEST: &str = "01939d8e-7a10-7c3e-9f62-1f0f4a8c2b11";

/// A fake daemon that records `drain` and `set_level` calls, and reports `configuration`.
#[derive(Default)]
pub struct FakeAdmin {
    pub calls: Mutex<Vec<String>>,
    pub configuration: Option<configuration::Configuration>,
}

impl FakeAdmin {
    fn record(&self, call: String) {
        self.calls
            .lock()
            .expect("no thread panicked while it held the lock")
            .push(call);
    }
}

impl Admin for FakeAdmin {
    fn status(&self) -> future::BoxFuture<'_, status::Status> {
        future::ready(example_status()).boxed()
    }

    fn explain(&self, request: request::RequestId) -> future::BoxFuture<'_, Option<Vec<String>>> {
        let known = request.to_string() == KNOWN_REQUEST;
        let lines = vec!["event=route choice=assistant-1".to_owned(), "ñ".to_owned()];
        future::ready(known.then_some(lines)).boxed()
    }

    fn drain(&self) -> future::BoxFuture<'_, ()> {
        self.record("drain".to_owned());
        future::ready(()).boxed()
    }

    fn set_level(&self, level: level::Level) -> future::BoxFuture<'_, ()> {
        self.record(format!("level {level}"));
        future::ready(()).boxed()
    }

    fn configuration(&self) -> future::BoxFuture<'_, Option<configuration::Configuration>> {
        future::ready(self.configuration.clone()).boxed()
    }
}

pub fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text is valid")
}

/// A status in which every field is set, so that a field lost in a conversion shows.
pub fn example_status() -> status::Status {
    let member = |vm, state| member::Member {
        vm: parse(vm),
        domain: parse("cordoba-a"),
        incarnation: incarnation::Incarnation(7),
        state,
    };
    let slot = |number, role| held_slot::HeldSlot {
        slot: slot::Slot::new(number).expect("the slot number is valid"),
        role,
        epoch: offset::Offset(u64::MAX),
    };
    status::Status {
        vm: parse("vm-1"),
        domain: parse("cordoba-a"),
        incarnation: incarnation::Incarnation(1_764_800_000_000),
        revision: revision::Revision(12),
        offset: offset::Offset(340),
        phase: phase::Phase::Draining,
        members: vec![
            member("vm-1", member::State::Leaving),
            member("vm-2", member::State::Alive),
            member("vm-3", member::State::Suspect),
            member("vm-4", member::State::Dead),
        ],
        leaving: vec![parse("assistant-3")],
        ejected: vec![parse("assistant-4"), parse("ranker-1")],
        slots: vec![
            slot(0, held_slot::Role::Primary),
            slot(63, held_slot::Role::Backup),
        ],
        counters: [("requests".into(), 5), ("refusals".into(), u64::MAX)]
            .into_iter()
            .collect(),
    }
}

/// The secret of the servers that [`start_server`] starts.
pub fn server_secret() -> secret::Secret {
    secret::Secret::new("0123456789abcdef").expect("the secret is long enough")
}

/// Starts an admin server on a free port of the loopback interface.
pub fn start_server(admin: Arc<FakeAdmin>) -> Server {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start(address, server_secret(), admin).expect("the server starts")
}

/// Runs `future` in a single-threaded runtime with the `LocalSet` that the client requires.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
