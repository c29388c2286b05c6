//! The day itself: arrivals, routers, queues, upstreams and engines as events in virtual time.

use std::cmp;
use std::collections::BinaryHeap;
use std::net;
use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::cells;
use basilgrade_fleet::batch::queue;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::maker;
use crate::report;
use crate::shape;

mod queues;
mod requests;

/// Which decisions are left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// As the daemon decides.
    Cells,
    /// One queue for the whole pool.
    OneQueue,
    /// Nothing is refused at its arrival.
    NoAdmission,
    /// First come, first served.
    Arrival,
    /// Calls of about one request's pieces.
    OneRequest,
}

/// Length of the arrivals, with a burst of each of the three kinds of request in turn.
const LENGTH_MS: u64 = 34_000;
const BURSTS: [(u64, u64, f64); 3] = [
    (4000, 9000, 1.8),
    (15_000, 21_000, 1.8),
    (25_000, 29_000, 1.8),
];

/// Time between told loads.
const BEAT_MS: u64 = 300;

/// Time of a message inside a failure domain, and between regions.
const NEAR_MS: u64 = 2;
const FAR_MS: u64 = 21;

/// Prompt tokens that an engine reads in a millisecond, and the time of a step beside others.
const READ_RATE: f64 = 49.6;
const STEP_MS: f64 = 30.0;

#[derive(Debug)]
enum Event {
    Arrive(usize, usize, u64, bool),
    Beat,
    Submit(usize, usize, usize),
    Dispatch(usize),
    Start(usize, call::Call),
    End(usize, call::Call, Vec<bool>),
    Made(usize, usize, Vec<handle::Handle>),
    First(usize),
}

struct Timed(u64, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Request {
    kind: usize,
    domain: usize,
    engine: (usize, usize),
    arrived: u64,
    /// When its attempt arrived that was admitted.
    end: u64,
    pieces: Vec<u32>,
    started: Vec<bool>,
    made: Vec<Option<Vec<handle::Handle>>>,
    ended: bool,
}

struct Day<'a> {
    shape: &'a shape::Shape,
    policy: Policy,
    random: rngs::SmallRng,
    now: u64,
    next: u64,
    events: BinaryHeap<Timed>,
    queues: Vec<queue::Queue>,
    jobs: Vec<IndexMap<call::JobId, (usize, usize)>>,
    /// When each queue is looked at next.
    wakes: Vec<u64>,
    makers: IndexMap<net::SocketAddr, (usize, maker::Maker)>,
    routers: Vec<cells::Cells>,
    places: Vec<placement::Topology>,
    engines: Vec<f64>,
    requests: Vec<Request>,
    report: report::Report,
}

/// Plays a day.
pub(crate) fn play(shape: &shape::Shape, policy: Policy, seed: u64, load: f64) -> report::Report {
    let mut shape = shape.clone();
    if policy == Policy::OneRequest {
        for (pool, batch) in shape.pools.iter_mut().zip([2, 5, 10]) {
            pool.pieces.batch = batch;
        }
    }
    let mut day = Day::new(&shape, policy, seed);
    day.arrivals(load);
    day.at(0, Event::Beat);
    while let Some(Timed(at, _, event)) = day.events.pop() {
        day.now = at;
        day.step(event);
    }
    for request in &day.requests {
        if !request.ended {
            day.report.kinds[request.kind].failed += 1;
        }
    }
    day.report
}

fn domain(number: usize) -> id::DomainId {
    shape::DOMAINS[number].0.parse().expect("a name")
}

impl<'a> Day<'a> {
    fn new(shape: &'a shape::Shape, policy: Policy, seed: u64) -> Self {
        let domains = shape::DOMAINS.len();
        let regions: IndexMap<id::DomainId, id::RegionId> = shape::DOMAINS
            .iter()
            .map(|(name, region)| {
                let region = region.parse().expect("a name");
                (name.parse().expect("a name"), region)
            })
            .collect();
        let places = (0..domains).map(|number| placement::Topology {
            domain: domain(number),
            regions: regions.clone(),
        });
        let mut day = Self {
            shape,
            policy,
            random: rngs::SmallRng::seed_from_u64(seed),
            now: 0,
            next: 0,
            events: BinaryHeap::new(),
            queues: Vec::new(),
            jobs: Vec::new(),
            wakes: Vec::new(),
            makers: IndexMap::new(),
            routers: Vec::new(),
            places: places.collect(),
            engines: vec![0.0; domains * shape.engines],
            requests: Vec::new(),
            report: report::Report::default(),
        };
        day.report.kinds = vec![report::Ends::default(); shape.kinds.len()];
        for pool in 0..shape.pools.len() {
            let members: Vec<_> = (0..domains)
                .map(|domain| day.members(pool, domain))
                .collect();
            for (number, own) in members.iter().enumerate() {
                let mut queue = queue::Queue::new(shape.pools[pool].pieces);
                match policy {
                    Policy::OneQueue if number == 0 => {
                        queue.set_upstreams(members.iter().flatten().cloned());
                    }
                    Policy::OneQueue => {}
                    _ => queue.set_upstreams(own.iter().cloned()),
                }
                day.queues.push(queue);
                day.jobs.push(IndexMap::new());
                day.wakes.push(0);
            }
            for _ in 0..domains {
                let counts = members.iter().enumerate().map(|(number, own)| {
                    let count = u32::try_from(own.len()).unwrap_or(u32::MAX);
                    (domain(number), count)
                });
                let mut cells = cells::Cells::default();
                let limit = if policy == Policy::OneQueue {
                    1
                } else {
                    domains
                };
                cells.set_upstream_counts(&counts.take(limit).collect());
                day.routers.push(cells);
            }
        }
        day
    }

    fn members(&mut self, pool: usize, place: usize) -> Vec<upstream::Upstream> {
        let count = self.shape.pools[pool].makers[place];
        let mut members = Vec::new();
        for number in 0..count {
            let bytes = [pool, place, number].map(|part| u8::try_from(part).unwrap_or(u8::MAX));
            let address = net::SocketAddr::from(([10, bytes[0], bytes[1], bytes[2]], 80));
            self.makers
                .insert(address, (place, maker::Maker::default()));
            members.push(upstream::Upstream {
                id: format!("u{pool}-{place}-{number}").parse().expect("a name"),
                pool: format!("pool-{pool}").parse().expect("a name"),
                address,
                domain: domain(place),
                slots: 1,
                state: upstream::State::Ready,
                started_at: None,
                stats: sync::Arc::default(),
            });
        }
        members
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Timed(at, self.next, event));
    }

    fn arrivals(&mut self, load: f64) {
        for (kind, burst) in BURSTS.into_iter().enumerate() {
            let mut at = 0.0;
            loop {
                let is_burst = (burst.0..burst.1).contains(&(at as u64));
                let rate =
                    self.shape.kinds[kind].rate * load * if is_burst { burst.2 } else { 1.0 };
                let draw: f64 = self.random.random();
                at += -(1.0 - draw).ln() / rate * 1000.0;
                if at as u64 >= LENGTH_MS {
                    break;
                }
                let place = self.random.random_range(0..shape::DOMAINS.len());
                self.at(at as u64, Event::Arrive(kind, place, at as u64, true));
                self.report.kinds[kind].owed += 1;
            }
        }
    }

    fn router(&mut self, pool: usize, place: usize) -> &mut cells::Cells {
        &mut self.routers[pool * shape::DOMAINS.len() + place]
    }

    fn millis(&self) -> clock::Millis {
        clock::Millis(self.now)
    }

    fn hop(from: usize, to: usize) -> u64 {
        if from / 2 == to / 2 { NEAR_MS } else { FAR_MS }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(kind, place, arrived, is_first) => {
                self.arrive(kind, place, arrived, is_first);
            }
            Event::Beat => self.beat(),
            Event::Submit(queue, request, stage) => self.submit(queue, request, stage),
            // An earlier look has replaced those of other times.
            Event::Dispatch(queue) if self.wakes[queue] != self.now => {}
            Event::Dispatch(queue) => self.dispatch(queue),
            Event::Start(queue, call) => self.start(queue, call),
            Event::End(queue, call, inputs) => self.end(queue, &call, &inputs),
            Event::Made(request, stage, handles) => {
                self.requests[request].made[stage] = Some(handles);
                self.advance(request);
            }
            Event::First(request) => self.first(request),
        }
    }

    fn beat(&mut self) {
        for number in 0..self.queues.len() {
            let (pool, place) = (number / shape::DOMAINS.len(), number % shape::DOMAINS.len());
            let load = self.queues[number].load(clock::Millis(self.now));
            for other in 0..shape::DOMAINS.len() {
                self.router(pool, other)
                    .update_load(&domain(place), load.clone());
            }
        }
        if self.now < LENGTH_MS {
            self.at(self.now + BEAT_MS, Event::Beat);
        }
    }
}
