//! Requests: their admission, their stages and their generation.

use basilgrade_fleet::admission;
use basilgrade_fleet::batch::cells;
use basilgrade_fleet::model::priority;
use basilgrade_types::clock;
use basilgrade_types::size;
use rand::RngExt as _;

use crate::day;
use crate::day::Day;
use crate::day::Event;
use crate::day::Policy;
use crate::day::Request;
use crate::shape;

impl Day<'_> {
    /// Pieces of a stage: spread about the mean, none for some requests.
    pub(super) fn draw_pieces(&mut self, stage: &shape::Stage) -> u32 {
        if self.random.random::<f64>() >= stage.share {
            return 0;
        }
        let spread: f64 = self.random.random_range(0.5..1.5);
        (stage.pieces * spread).round().max(1.0) as u32
    }

    pub(super) fn arrive(&mut self, number: usize, place: usize, arrived: u64, is_first: bool) {
        let shape = self.shape;
        let kind = &shape.kinds[number];
        let end = arrived + kind.deadline.0;
        let time_left = clock::Millis(end.saturating_sub(self.now));
        let mut ends: Vec<u64> = Vec::new();
        let pieces: Vec<u32> = kind
            .stages
            .iter()
            .map(|stage| self.draw_pieces(stage))
            .collect();
        let rank = self.rank(number);
        for (stage, pieces) in kind.stages.iter().zip(&pieces) {
            let before = stage.after.map_or(0, |after| ends[after]);
            let work = self.shape.pools[stage.pool].pieces;
            let place_of = self.places[place].clone();
            let load = self
                .router(stage.pool, place)
                .load(&place_of, &day::domain(place))
                .cloned();
            let wait = load.unwrap_or_default().wait_for(rank).0;
            let span = wait + work.call_time(work.batch / 2).0 + 60;
            ends.push(before + if *pieces > 0 { span } else { 0 });
        }
        let arrival = admission::Arrival {
            time_left,
            stage_time: clock::Millis(ends.into_iter().max().unwrap_or_default()),
            first_byte: clock::Millis(150),
        };
        if self.policy != Policy::NoAdmission
            && let admission::Admission::Refuse(room) = admission::admit(&arrival)
        {
            let draw = self.random.random();
            let wait = admission::retry_after(time_left, room, draw);
            if is_first {
                self.report.kinds[number].returned += 1;
                self.at(
                    self.now + wait.0,
                    Event::Arrive(number, place, arrived, false),
                );
            } else {
                self.report.kinds[number].refused += 1;
                self.report.kinds[number].refused_after += self.now - arrived;
            }
            return;
        }
        let engines = self.shape.engines;
        let engine_place = self.random.random_range(0..shape::DOMAINS.len());
        let engine = engine_place * engines + self.random.random_range(0..engines);
        self.requests.push(Request {
            kind: number,
            domain: place,
            engine: (engine_place, engine),
            arrived,
            end,
            started: vec![false; pieces.len()],
            made: pieces
                .iter()
                .map(|pieces| (*pieces == 0).then(Vec::new))
                .collect(),
            pieces,
            ended: false,
        });
        self.advance(self.requests.len() - 1);
    }

    pub(super) fn rank(&self, kind: usize) -> priority::Priority {
        if self.policy == Policy::Arrival {
            return priority::Priority(0);
        }
        priority::Priority(self.shape.kinds[kind].rank)
    }

    /// Starts the stages whose inputs are there, or the generation.
    pub(super) fn advance(&mut self, number: usize) {
        let shape = self.shape;
        let stages = &shape.kinds[self.requests[number].kind].stages;
        for (place, stage) in stages.iter().enumerate() {
            let request = &self.requests[number];
            let is_ready = stage
                .after
                .is_none_or(|after| request.made[after].is_some());
            if request.ended || request.started[place] || request.made[place].is_some() || !is_ready
            {
                continue;
            }
            self.requests[number].started[place] = true;
            self.route(number, place);
        }
        let request = &self.requests[number];
        if !request.ended && request.made.iter().all(Option::is_some) {
            self.generate(number);
        }
    }

    /// The failure domain of the inputs of a stage, or the one its results are for.
    pub(super) fn home(&self, number: usize, place: usize) -> usize {
        let request = &self.requests[number];
        let stage = self.shape.kinds[request.kind].stages[place];
        let inputs = stage.after.and_then(|after| request.made[after].as_ref());
        let holder = inputs.and_then(|inputs| inputs.first()?.holder());
        match holder.and_then(|holder| self.makers.get(&holder)) {
            Some((home, _)) => *home,
            None if stage.bytes > 200_000 => request.engine.0,
            None => request.domain,
        }
    }

    pub(super) fn moved(&self, number: usize, place: usize) -> u64 {
        let request = &self.requests[number];
        let stages = &self.shape.kinds[request.kind].stages;
        let inputs = stages[place].after.and_then(|after| {
            let count = request.made[after].as_ref()?.len() as u64;
            Some(count * stages[after].bytes)
        });
        inputs.unwrap_or_default() * u64::from(request.pieces[place])
    }

    pub(super) fn route(&mut self, number: usize, place: usize) {
        let home = self.home(number, place);
        let request = &self.requests[number];
        let kind = &self.shape.kinds[request.kind];
        let stage = kind.stages[place];
        let results = stage.bytes * u64::from(request.pieces[place]);
        let home_id = day::domain(home);
        let aim = (request.arrived + kind.aim.0).saturating_sub(self.now);
        let demand = cells::Demand {
            home: &home_id,
            priority: self.rank(request.kind),
            pieces: request.pieces[place],
            target_left: clock::Millis(aim),
            transfer_size: size::ByteCount(self.moved(number, place) + results),
        };
        let (from, work) = (request.domain, self.shape.pools[stage.pool].pieces);
        let at = self.places[from].clone();
        let chosen = self
            .router(stage.pool, from)
            .choose(&at, &work, &demand, &[]);
        let chosen = chosen.unwrap_or_else(|| day::domain(0));
        let to = (0..shape::DOMAINS.len())
            .find(|other| day::domain(*other) == chosen)
            .unwrap_or_default();
        let queue = stage.pool * shape::DOMAINS.len() + to;
        self.at(
            self.now + Self::hop(from, to),
            Event::Submit(queue, number, place),
        );
    }

    pub(super) fn generate(&mut self, number: usize) {
        let request = &self.requests[number];
        let (place, engine) = request.engine;
        let kind = &self.shape.kinds[request.kind];
        let now = self.now as f64;
        let start = self.engines[engine].max(now);
        self.engines[engine] = start + kind.tokens / day::READ_RATE;
        let at = (self.engines[engine] + day::STEP_MS) as u64 + Self::hop(request.domain, place);
        let last: Vec<_> = request.made.iter().zip(&kind.stages).collect();
        for (handles, stage) in last {
            for handle in handles.iter().flatten() {
                let holder = handle.holder().and_then(|holder| self.makers.get(&holder));
                let is_last = !kind.stages.iter().any(|other| {
                    other
                        .after
                        .is_some_and(|after| kind.stages[after] == *stage)
                });
                if is_last && holder.is_some_and(|(home, _)| *home != place) {
                    self.report.crossed += stage.bytes;
                }
            }
        }
        self.requests[number].ended = true;
        self.at(at, Event::First(number));
    }

    pub(super) fn first(&mut self, number: usize) {
        let request = &self.requests[number];
        let kind = &self.shape.kinds[request.kind];
        let ends = &mut self.report.kinds[request.kind];
        if self.now <= request.arrived + kind.aim.0 {
            ends.in_time += 1;
        } else if self.now <= request.end {
            ends.late += 1;
        } else {
            ends.failed += 1;
        }
        self.free_all(number);
    }
}
