//! The programs and stand-ins of a run, and the faults done to them.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::daemon;
use crate::plan;
use crate::proxy;
use crate::record;
use crate::server;
use crate::store;
use crate::upstream;

/// Longest time that a daemon may take to end after the termination signal: its grace of 8 s, and
/// time for a machine that is busy.
const END_LIMIT: time::Duration = time::Duration::from_secs(25);

/// Time that a departed upstream stays away.
const AWAY: time::Duration = time::Duration::from_secs(14);

/// Upstreams of each pool.
const UPSTREAMS: usize = 3;

/// An upstream behind its proxy.
pub(crate) struct Member {
    pub(crate) pool: &'static str,
    pub(crate) upstream: sync::Arc<upstream::Upstream>,
    proxy: proxy::Proxy,
    is_away: atomic::AtomicBool,
    _server: server::Server,
}

/// A daemon with the number of times that it was started.
pub(crate) struct Process {
    pub(crate) callers: net::SocketAddr,
    pub(crate) incarnation: atomic::AtomicU64,
    daemon: tokio::sync::Mutex<daemon::Daemon>,
}

/// All programs and stand-ins.
pub(crate) struct World {
    pub(crate) record: record::Record,
    pub(crate) members: Vec<Member>,
    pub(crate) processes: Vec<Process>,
    pub(crate) version: atomic::AtomicU64,
    store: sync::Arc<store::Store>,
    store_proxy: proxy::Proxy,
    _store_server: server::Server,
}

/// The key that configuration `version` adds.
pub(crate) fn key(version: u64) -> String {
    format!("key-{version}")
}

impl World {
    pub(crate) async fn start(processes: usize) -> Self {
        let store = sync::Arc::<store::Store>::default();
        let store_server = server::start(sync::Arc::clone(&store)).await;
        let store_proxy = proxy::Proxy::start(store_server.address).await;
        let mut members = Vec::new();
        for pool in ["desk", "engine", "encode", "rank"] {
            for number in 0..UPSTREAMS {
                members.push(member(pool, number).await);
            }
        }
        let mut started = Vec::new();
        let mut seeds = Vec::new();
        for number in 0..processes {
            let domain = ["a", "b"][number % 2];
            let name = format!("vm-{number}");
            let mut daemon = daemon::Daemon::new(&name, domain, store_proxy.address, &seeds);
            seeds.push(daemon.peers);
            daemon.start();
            started.push(Process {
                callers: daemon.callers,
                incarnation: atomic::AtomicU64::new(1),
                daemon: tokio::sync::Mutex::new(daemon),
            });
        }
        let world = Self {
            record: record::Record::default(),
            members,
            processes: started,
            version: atomic::AtomicU64::new(0),
            store,
            store_proxy,
            _store_server: store_server,
        };
        for member in &world.members {
            world.register(member, "ready", 1);
        }
        world.publish();
        world
    }

    fn register(&self, member: &Member, state: &str, sequence: u64) {
        let number = member.upstream.id.bytes().last().unwrap_or_default();
        let domain = ["a", "b"][usize::from(number % 2)];
        let entry = serde_json::json!({"service": member.pool, "address": member.proxy.address,
            "zone": domain, "version": "v1", "slots": 8,
            "state": state, "sequence": sequence});
        let id = &member.upstream.id;
        self.store.put("keyed.servers", id, &entry.to_string());
    }

    fn publish(&self) {
        let version = self.version.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let text = crate::deployment::configuration(version, &["key-one", &key(version)]);
        self.store.put("keyed.op", "config", &text);
    }

    fn harmed(&self, daemon: Option<usize>, from: time::Instant) {
        let until = time::Instant::now();
        let entry = record::Harmed {
            daemon,
            from,
            until,
        };
        record::add(&self.record.harmed, entry);
    }

    /// Does one fault, and undoes it after its span.
    pub(crate) async fn suffer(&self, fault: plan::Fault) {
        tokio::time::sleep(fault.at).await;
        let name = fault.kind.name();
        *self
            .record
            .faults
            .lock()
            .expect("no task panics here")
            .entry(name)
            .or_default() += 1;
        let from = time::Instant::now();
        let number = fault.target % self.processes.len();
        // Only engines send streams that can break off or stall.
        let targets: Vec<&Member> = match fault.kind {
            plan::Kind::Mood(upstream::Mood::BreaksIn(_) | upstream::Mood::Slow(_)) => {
                let engines = self.members.iter();
                engines.filter(|member| member.pool == "engine").collect()
            }
            _ => self.members.iter().collect(),
        };
        let member = targets[fault.target % targets.len()];
        match fault.kind {
            plan::Kind::Publish(count) => {
                for _ in 0..count {
                    self.publish();
                    tokio::time::sleep(fault.span / 10).await;
                }
            }
            plan::Kind::Store(harm) => {
                self.store_proxy.set(harm);
                tokio::time::sleep(fault.span).await;
                self.store_proxy.set(proxy::Harm::None);
                self.harmed(None, from);
            }
            plan::Kind::Link(harm) => {
                member.proxy.set(harm);
                tokio::time::sleep(fault.span).await;
                member.proxy.set(proxy::Harm::None);
            }
            plan::Kind::Mood(mood) => {
                member.upstream.set(mood);
                tokio::time::sleep(fault.span).await;
                member.upstream.set(upstream::Mood::Sound);
            }
            plan::Kind::Drain => self.leave(member).await,
            kind => {
                self.signal(number, &kind, fault.span).await;
                self.harmed(Some(number), from);
            }
        }
    }

    async fn leave(&self, member: &Member) {
        if member.is_away.swap(true, atomic::Ordering::SeqCst) {
            return;
        }
        self.register(member, "draining", 2);
        let from = time::Instant::now();
        tokio::time::sleep(AWAY).await;
        record::add(
            &self.record.left,
            record::Left {
                upstream: member.upstream.id.clone(),
                from,
                until: time::Instant::now(),
            },
        );
        self.register(member, "ready", 3);
        member.is_away.store(false, atomic::Ordering::SeqCst);
    }

    /// Signals a daemon; faults of one daemon come one after the other.
    async fn signal(&self, number: usize, kind: &plan::Kind, span: time::Duration) {
        let process = &self.processes[number];
        let mut daemon = process.daemon.lock().await;
        match kind {
            plan::Kind::Pause => {
                daemon.signal("STOP");
                tokio::time::sleep(span).await;
                daemon.signal("CONT");
                return;
            }
            plan::Kind::Reload => {
                daemon.signal("HUP");
                return;
            }
            plan::Kind::Kill => daemon.kill(),
            plan::Kind::StopKill => {
                daemon.signal("TERM");
                tokio::time::sleep(span).await;
                daemon.kill();
            }
            plan::Kind::StopPause => {
                daemon.signal("TERM");
                tokio::time::sleep(span / 2).await;
                daemon.signal("STOP");
                tokio::time::sleep(span).await;
                daemon.signal("CONT");
                self.ended(number, &mut daemon).await;
            }
            _ => {
                daemon.signal("TERM");
                self.ended(number, &mut daemon).await;
            }
        }
        process.incarnation.fetch_add(1, atomic::Ordering::SeqCst);
        daemon.start();
        self.listening(number).await;
    }

    /// Waits until a daemon accepts callers: before, the termination signal ends it at once.
    async fn listening(&self, number: usize) {
        let address = self.processes[number].callers;
        let accepted = async {
            while tokio::net::TcpStream::connect(address).await.is_err() {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(END_LIMIT, accepted).await.is_err() {
            let finding = format!("daemon {number} does not accept callers after its start");
            record::add(&self.record.findings, finding);
        }
    }

    async fn ended(&self, number: usize, daemon: &mut daemon::Daemon) {
        let ending = tokio::time::timeout(END_LIMIT, daemon.ended()).await;
        if ending != Ok(true) {
            let finding = format!("daemon {number} did not end well after SIGTERM: {ending:?}");
            record::add(&self.record.findings, finding);
        }
    }
}

async fn member(pool: &'static str, number: usize) -> Member {
    let upstream = sync::Arc::new(upstream::Upstream {
        id: format!("{pool}-{number}"),
        names_runs: true,
        ..Default::default()
    });
    let server = server::start(sync::Arc::clone(&upstream)).await;
    let proxy = proxy::Proxy::start(server.address).await;
    upstream.address.set(proxy.address).expect("it is set once");
    Member {
        pool,
        upstream,
        proxy,
        is_away: atomic::AtomicBool::new(false),
        _server: server,
    }
}
