//! Queues, the upstreams that make pieces, and their results.

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::day;
use crate::day::Day;
use crate::day::Event;
use crate::shape;

impl Day<'_> {
    pub(super) fn submit(&mut self, queue: usize, number: usize, place: usize) {
        let home = self.home(number, place);
        let request = &self.requests[number];
        let kind = &self.shape.kinds[request.kind];
        let stage = kind.stages[place];
        let source = match stage.after.and_then(|after| request.made[after].clone()) {
            Some(handles) => job::Source::Results(handles),
            None => job::Source::Key("key".into()),
        };
        let inputs = stage.after.map(|after| job::Inputs {
            pool: format!("pool-{}", kind.stages[after].pool)
                .parse()
                .expect("a name"),
            bytes: size::ByteCount(kind.stages[after].bytes),
        });
        let later = kind.stages.len() - place - 1;
        let rest = 150 + 400 * later as u64;
        let job = job::Job {
            request: format!("r{number}").into(),
            stage: place as u32,
            pieces: request.pieces[place],
            source,
            priority: self.rank(request.kind),
            target_left: clock::Millis(
                (request.arrived + kind.aim.0).saturating_sub(self.now + rest),
            ),
            time_left: clock::Millis(request.end.saturating_sub(self.now + rest)),
            bytes: size::ByteCount(stage.bytes),
            domain: day::domain(home),
            fetch_size: size::ByteCount(self.moved(number, place)),
            inputs,
            fallback: job::Fallback::Wait,
        };
        let now = self.millis();
        let id = self.queues[queue].submit(now, job);
        self.jobs[queue].insert(id, (number, place));
        self.dispatch(queue);
    }

    pub(super) fn dispatch(&mut self, queue: usize) {
        let now = self.millis();
        for call in self.queues[queue].dispatch(now) {
            let maker = self
                .makers
                .get(&call.address)
                .map_or(0, |(place, _)| *place);
            let hop = Self::hop(queue % shape::DOMAINS.len(), maker);
            self.at(self.now + hop, Event::Start(queue, call));
        }
        for (job, outcome) in self.queues[queue].take_finished() {
            let Some((number, stage)) = self.jobs[queue].swap_remove(&job) else {
                continue;
            };
            match outcome {
                outcome::JobOutcome::Completed(handles) => {
                    let hop = Self::hop(queue % shape::DOMAINS.len(), self.requests[number].domain);
                    self.at(self.now + hop, Event::Made(number, stage, handles));
                }
                _ => self.fail(number),
            }
        }
        for handle in self.queues[queue].take_orphans() {
            self.free(&handle, None);
        }
        for spent in self.queues[queue].take_consumed() {
            for handle in &spent.handles {
                self.free(handle, Some(spent.inputs.bytes.0));
            }
        }
        let Some(wake) = self.queues[queue].next_wakeup(now) else {
            return;
        };
        let wake = wake.0.max(self.now + 1);
        let planned = self.wakes[queue];
        if planned <= self.now || wake < planned {
            self.wakes[queue] = wake;
            self.at(wake, Event::Dispatch(queue));
        }
    }

    /// Frees a result, and tells its queue unless that knows.
    pub(super) fn free(&mut self, handle: &handle::Handle, told: Option<u64>) {
        let Some(holder) = handle.holder() else {
            return;
        };
        if let Some((_, maker)) = self.makers.get_mut(&holder) {
            maker.free(handle);
        }
        if let Some(bytes) = told {
            for queue in &mut self.queues {
                queue.release(holder, bytes);
            }
        }
    }

    pub(super) fn fail(&mut self, number: usize) {
        if self.requests[number].ended {
            return;
        }
        self.requests[number].ended = true;
        self.report.kinds[self.requests[number].kind].failed += 1;
        self.free_all(number);
    }

    pub(super) fn free_all(&mut self, number: usize) {
        let shape = self.shape;
        let stages = &shape.kinds[self.requests[number].kind].stages;
        for (place, stage) in stages.iter().enumerate() {
            let is_input = stages.iter().any(|other| other.after == Some(place));
            let handles = self.requests[number].made[place]
                .clone()
                .unwrap_or_default();
            for handle in handles.iter().filter(|_| !is_input) {
                self.free(handle, Some(stage.bytes));
            }
        }
    }

    pub(super) fn start(&mut self, queue: usize, call: call::Call) {
        let pool = &self.shape.pools[queue / shape::DOMAINS.len()];
        let work: f64 = call.items.iter().map(|item| self.stage(item).work).sum();
        let span = pool.pieces.call_base.0 + (pool.pieces.piece_us as f64 * work / 1000.0) as u64;
        self.report.calls += 1;
        self.report.pieces += call.items.len() as u64;
        self.report.places += u64::from(pool.pieces.batch);
        let now = self.now;
        let place = self.makers[&call.address].0;
        let mut inputs = Vec::new();
        for item in &call.items {
            let job::Source::Results(handles) = &item.source else {
                inputs.push(true);
                continue;
            };
            let bytes = self.input_bytes(item);
            let mut is_whole = true;
            for handle in handles {
                let Some((home, maker)) = handle
                    .holder()
                    .and_then(|holder| self.makers.get_mut(&holder))
                else {
                    continue;
                };
                is_whole &= maker.holds(now, handle);
                self.report.crossed += if *home == place { 0 } else { bytes };
            }
            inputs.push(is_whole);
        }
        let (_, end) = self.makers[&call.address].1.run(now, span);
        self.at(end, Event::End(queue, call, inputs));
    }

    pub(super) fn stage(&self, item: &call::Item) -> shape::Stage {
        let number: usize = item.request[1..].parse().expect("a number");
        self.shape.kinds[self.requests[number].kind].stages[item.stage as usize]
    }

    pub(super) fn input_bytes(&self, item: &call::Item) -> u64 {
        let number: usize = item.request[1..].parse().expect("a number");
        let stages = &self.shape.kinds[self.requests[number].kind].stages;
        self.stage(item)
            .after
            .map_or(0, |after| stages[after].bytes)
    }

    pub(super) fn end(&mut self, queue: usize, call: &call::Call, inputs: &[bool]) {
        let pieces = self.shape.pools[queue / shape::DOMAINS.len()].pieces;
        let bytes: Vec<u64> = call
            .items
            .iter()
            .map(|item| self.stage(item).bytes)
            .collect();
        let sizes: IndexMap<(String, u32), u64> = call
            .items
            .iter()
            .zip(bytes)
            .map(|(item, bytes)| ((item.request.to_string(), item.stage), bytes))
            .collect();
        let now = self.now;
        let maker = &mut self.makers[&call.address].1;
        let outcomes = maker.end(now, pieces.capacity.0, pieces.ttl.0, call, inputs, |item| {
            sizes[&(item.request.to_string(), item.stage)]
        });
        let count = |kind: &outcome::PieceOutcome| {
            outcomes.iter().filter(|outcome| *outcome == kind).count() as u64
        };
        self.report.no_room += count(&outcome::PieceOutcome::NoRoom);
        self.report.input_gone += count(&outcome::PieceOutcome::InputGone);
        let answered = outcome::CallOutcome::Answered(outcomes);
        self.queues[queue].complete(clock::Millis(now), call.id, answered);
        self.dispatch(queue);
    }
}
