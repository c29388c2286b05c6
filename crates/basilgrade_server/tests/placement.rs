//! Tests of placement writers of one failure domain against stand-in engines, in simulated time.

use std::fmt::Write as _;

use basilgrade_config::model::deployment;
use basilgrade_journal::chunk;
use basilgrade_journal::control_state;
use basilgrade_journal::entry;
use basilgrade_journal::lease_manager;
use basilgrade_journal::node;
use basilgrade_journal::replayer;
use basilgrade_placement::engine;
use basilgrade_placement::store;
use basilgrade_placement::view;
use basilgrade_server::background::placement;
use basilgrade_server::background::placement::writer;
use basilgrade_standins as standins;
use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::rate;
use basilgrade_types::size;
use basilgrade_upstream::client;
use basilgrade_upstream::order;
use basilgrade_upstream::upstream::Upstream;
use bytes::Bytes;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use uuid::Uuid;

fn name<T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>>(text: &str) -> T {
    text.parse().expect("expected a valid name")
}

/// Stream `control`, which every writer replays.
struct Log {
    next: offset::Offset,
    replayer: replayer::Replayer<control_state::ControlState>,
}

impl Log {
    fn new() -> Self {
        Self {
            next: offset::Offset(0),
            replayer: replayer::Replayer::new(std::sync::Arc::new(())),
        }
    }

    fn append(&mut self, body: Bytes) {
        let offset = self.next;
        self.next = offset.next();
        let chunk = chunk::Chunk {
            from: offset,
            first: offset::Offset(0),
            next: self.next,
            entries: vec![entry::Entry { offset, body }],
        };
        self.replayer.replay_chunk(clock::Millis::ZERO, &chunk);
    }

    fn state(&self) -> &control_state::ControlState {
        self.replayer.state()
    }
}

fn writer(vm: &str, fencing: lease_manager::Fencing) -> writer::Writer {
    let node = node::Node {
        vm: name(vm),
        incarnation: clock::Millis(1).into(),
    };
    writer::Writer::new(node, name("a"), fencing)
}

/// Appends the lease record that `writer` proposes, if any, and lets it observe the log.
fn propose_and_observe(now: clock::Millis, writer: &mut writer::Writer, log: &mut Log) {
    writer.observe(now, log.state());
    if let Some(record) = writer.propose(now, Uuid::from_u128(u128::from(log.next.0)), true) {
        log.append(record);
    }
    writer.observe(now, log.state());
}

struct Fixture {
    engines: Vec<standins::engine::Engine>,
    deployment: deployment::Deployment,
    store: store::Store,
    client: client::HttpUpstream,
}

/// Two engines with one model slot each, the first with model `a` and the second with model `b`.
async fn fixture(fencing: &str, engine_fencing: standins::engine::Fencing) -> Fixture {
    let mut engines = Vec::new();
    let mut text = format!(
        "[deployment]\nname = test\n[domain a]\nregion = r\n\
         [pool engines]\nkind = engine\nfencing = {fencing}\nprice = 1\n\
         [model a]\npool = engines\n[model b]\npool = engines\n"
    );
    for model in ["a", "b"] {
        let options = standins::engine::Options {
            fencing: engine_fencing,
            models: vec![model.to_owned()],
            ..standins::engine::Options::default()
        };
        let engine = standins::engine::start(options).await;
        let engine = engine.expect("expected the stand-in engine to start");
        let _ = write!(
            text,
            "[upstream with-{model}]\npool = engines\ndomain = a\naddress = {}\ncapacity = 8\n",
            engine.server.address
        );
        engines.push(engine);
    }
    let sizes = ["a", "b"].map(|model| (name(model), size::ByteCount(1000)));
    Fixture {
        engines,
        deployment: basilgrade_config::parse(&text, "test")
            .unwrap_or_else(|problems| panic!("{problems}")),
        store: store::Store {
            rate: rate::ByteRate(1e6),
            sizes: sizes.into_iter().collect(),
        },
        client: client::HttpUpstream::new(client::Settings::default()),
    }
}

impl Fixture {
    /// Polls load reports, plans at `now` and sends the orders; returns the orders sent.
    async fn run_round(
        &self,
        now: clock::Millis,
        writer: &mut writer::Writer,
    ) -> Vec<order::Order> {
        let mut engines = Vec::new();
        for upstream in self.deployment.upstreams.values() {
            let load = self.client.load(upstream.address).await;
            let load = load.expect("expected a load report from the stand-in engine");
            engines.push(engine::Engine {
                id: upstream.id.clone(),
                pool: upstream.pool.clone(),
                state: engine::State::Reporting,
                reported: now,
                loaded: load.models.iter().map(|model| name(model)).collect(),
            });
        }
        let view = view::View {
            deployment: &self.deployment,
            engines: &engines,
            demand: &IndexMap::new(),
            store: Some(&self.store),
        };
        let Some(plan) = writer.plan(now, &view) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (id, models) in plan.orders {
            let Some(fence) = writer.fence(now) else {
                continue;
            };
            let order = order::Order { fence, models };
            if self.send(&id, &order).await {
                writer.mark_sent(now, &id);
            }
            orders.push(order);
        }
        orders
    }

    async fn send(&self, engine: &id::UpstreamId, order: &order::Order) -> bool {
        let address = self.deployment.upstreams[engine].address;
        self.client.order(address, order.clone()).await.is_ok()
    }

    fn models(&self) -> [Vec<String>; 2] {
        [self.engines[0].models(), self.engines[1].models()]
    }
}

/// Lets a first writer prepare an order, pauses it beyond its lease, lets a second writer take
/// over, and then sends the late order. Returns the number of refused orders and the time in
/// milliseconds that the second writer waited after the lease expired.
async fn send_late_order(fixture: &Fixture, fencing: lease_manager::Fencing) -> (usize, u64) {
    let mut log = Log::new();
    let (mut first, mut second) = (writer("vm-1", fencing), writer("vm-2", fencing));
    let start = clock::Millis::from_secs(1000);
    propose_and_observe(start, &mut first, &mut log);
    assert_eq!(fixture.run_round(start, &mut first).await.len(), 2);
    let late_order = order::Order {
        fence: first
            .fence(start)
            .expect("expected the first writer to hold the lease"),
        models: vec![name("a")],
    };

    // The first writer is paused from here on; the second one observes that the lease is not
    // renewed.
    propose_and_observe(start, &mut second, &mut log);
    let expiry = start.plus(writer::LEASE_TIMES.ttl);
    propose_and_observe(expiry, &mut second, &mut log);
    let mut now = expiry;
    while second.fence(now).is_none() {
        now = now.plus(clock::Millis(1000));
        propose_and_observe(now, &mut second, &mut log);
    }
    let waited = now.since(expiry).0;
    assert_eq!(first.fence(now), None);
    assert!(second.fence(now) > Some(late_order.fence));
    for _ in 0..3 {
        now = now.plus(clock::Millis(1000));
        fixture.run_round(now, &mut second).await;
    }
    fixture.send(&name("with-b"), &late_order).await;
    for _ in 0..8 {
        now = now.plus(clock::Millis(1000));
        propose_and_observe(now, &mut second, &mut log);
        fixture.run_round(now, &mut second).await;
    }
    let refused = fixture
        .engines
        .iter()
        .map(standins::engine::Engine::refused_orders);
    (refused.sum(), waited)
}

/// Guards against orders without the lease's fencing number: engines that check numbers could not
/// tell the order of a paused former writer from a current one.
#[tokio::test]
async fn engines_that_check_fencing_refuse_late_orders() {
    let fixture = fixture("checked", standins::engine::Fencing::Checked).await;
    let fencing = placement::fencing(&fixture.deployment, &name("a"));

    let (refused, waited) = send_late_order(
        &fixture,
        fencing.expect("expected engines that accept orders"),
    )
    .await;

    assert_eq!((refused, waited), (1, 0));
    assert_eq!(fixture.models(), [["a"], ["b"]]);
}

/// Guards against a late order that stays in effect on engines that ignore fencing numbers, and
/// against a new writer that does not wait until the former one has certainly stopped.
#[tokio::test]
async fn late_orders_are_corrected_on_engines_that_ignore_fencing() {
    let fixture = fixture("ignored", standins::engine::Fencing::Ignored).await;
    let fencing = placement::fencing(&fixture.deployment, &name("a"));

    let (refused, waited) = send_late_order(
        &fixture,
        fencing.expect("expected engines that accept orders"),
    )
    .await;

    let times = writer::LEASE_TIMES;
    assert_eq!((refused, waited), (0, times.ttl.plus(times.margin).0));
    let accepted = fixture.engines[1].orders();
    let orders: Vec<_> = accepted
        .iter()
        .map(|order| (order.fence, &order.models))
        .collect();
    assert!(orders.contains(&(0, &vec!["a".to_owned()])), "{orders:?}");
    assert_eq!(fixture.models(), [["a"], ["b"]]);
}

/// Guards against two writers that use one fencing number because they propose concurrently, replay
/// the log late and pause. Runs with seeds 0 to 63.
#[test]
fn each_fencing_number_has_one_holder() {
    for seed in 0..64 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let fencing = lease_manager::Fencing::Checked;
        let mut writers = ["vm-1", "vm-2", "vm-3"].map(|vm| writer(vm, fencing));
        let mut log = Log::new();
        let mut holders: IndexMap<fence::Fence, usize> = IndexMap::new();
        let mut pending_appends: Vec<Bytes> = Vec::new();
        for step in 0..600_u64 {
            let now = clock::Millis(1_000_000 + step * 1000);
            let index = rng.random_range(0..writers.len());
            if rng.random_bool(0.7) {
                writers[index].observe(now, log.state());
            }
            let id = Uuid::from_u128(u128::from(step));
            pending_appends.extend(writers[index].propose(now, id, true));
            if !pending_appends.is_empty() && rng.random_bool(0.6) {
                let at = rng.random_range(0..pending_appends.len());
                log.append(pending_appends.remove(at));
            }
            for (index, writer) in writers.iter().enumerate() {
                if let Some(fence) = writer.fence(now) {
                    let holder = *holders.entry(fence).or_insert(index);
                    assert_eq!(holder, index, "seed {seed}, step {step}");
                }
            }
        }
        assert!(holders.len() > 10, "seed {seed}: {holders:?}");
    }
}
