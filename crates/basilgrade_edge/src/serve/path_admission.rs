//! Admission of a request by its whole path: the waits and calls of its stages, and the first event.

use basilgrade_fleet::admission;
use basilgrade_fleet::admission::path;
use basilgrade_fleet::admission::policy as admission_policy;
use basilgrade_fleet::admission::whole;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::model::pool;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::model::route;
use basilgrade_fleet::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::request;
use crate::request::failure;
use crate::request::terms;
use crate::serve;

impl serve::Service {
    /// Refuses a request whose stages are not expected to end in time for `terms`.
    pub(crate) fn admit(
        &self,
        request: &request::Request,
        terms: terms::Terms,
    ) -> Result<(), failure::RequestFailure> {
        if request.route.stages.is_empty() {
            return Ok(());
        }
        let now = self.core.now();
        let arrival = admission::Arrival {
            // During shutdown, a request is finished only if its response starts before the daemon
            // closes.
            time_left: terms.send_by.min(self.core.closing_at()) - now,
            stage_time: self.stage_time(request, request.priority(terms.has_begun)),
            first_byte: serve::FIRST_EVENT_TIME,
        };
        let admission::Admission::Refuse(capacity_in) = admission::admit(&arrival) else {
            return Ok(());
        };
        let wait = admission::retry_after(arrival.time_left, capacity_in, rand::random());
        let reason = format!(
            "the stages and the first event are expected to take {}, but only {} are left before \
             the deadline; retry later",
            arrival.stage_time.plus(arrival.first_byte),
            arrival.time_left
        );
        Err(failure::RequestFailure::refused(reason, wait))
    }

    /// Admits or refuses a new request by its whole path.
    pub(super) fn admit_new(
        &self,
        request: &request::Request,
        terms: terms::Terms,
    ) -> Result<(), failure::RequestFailure> {
        let policy = self.core.settings.load().admission;
        if request.waited > clock::Millis::ZERO {
            self.core.metrics.retried_requests.inc();
        }
        if policy == admission_policy::Policy::default() || terms.has_begun {
            return self.admit(request, terms);
        }
        if request.route.stages.is_empty() {
            return Ok(());
        }
        let now = self.core.now();
        let priority = request.priority(false);
        let stage_time = self.stage_time(request, priority);
        let least = path::length(&self.steps(request, None));
        let target_left = request.target_left(now);
        let is_late = stage_time.plus(serve::FIRST_EVENT_TIME) > target_left;
        let state = whole::PathState {
            arrival: admission::Arrival {
                time_left: terms.send_by.min(self.core.closing_at()) - now,
                stage_time,
                first_byte: serve::FIRST_EVENT_TIME,
            },
            target_left,
            late_stage_time: path::length(&self.late_steps(request)),
            queue_wait: stage_time - least,
            urgent_excess: if is_late && policy.protect_urgent.is_on() {
                self.urgent_excess(request, priority)
            } else {
                0.0
            },
            is_retried: request.waited > clock::Millis::ZERO,
        };
        let reason = whole::decide(&policy, &state, rand::random());
        if reason == whole::Reason::Admitted {
            return Ok(());
        }
        if reason == whole::Reason::Urgent {
            self.core.metrics.refused_for_urgent.inc();
        }
        let arrival = &state.arrival;
        let needed = arrival.stage_time.plus(arrival.first_byte);
        let capacity_in = if policy.drained_retry.is_on() {
            state.queue_wait
        } else {
            needed - arrival.time_left
        };
        let wait = self.retry_after(request, arrival.time_left, capacity_in);
        log::info!(
            "event=admission-refused request={} route={} priority={} reason={reason:?} needed={needed} \
             left={} target={target_left} queued={} urgent_excess={:.2} waited={} retry={wait}",
            request.head.request_id,
            request.route.name,
            priority.0,
            arrival.time_left,
            state.queue_wait,
            state.urgent_excess,
            request.waited
        );
        let reason = format!(
            "the stages and the first event are expected to take {needed}, with {target_left} left to \
             the target and {} to the deadline; retry later",
            arrival.time_left
        );
        Err(failure::RequestFailure::refused(reason, wait))
    }

    /// Delay after which the caller of a refused `request` should return, if capacity for it is expected
    /// in `capacity_in`.
    pub(crate) fn retry_after(
        &self,
        request: &request::Request,
        time_left: clock::Millis,
        capacity_in: clock::Millis,
    ) -> clock::Millis {
        let jitter = rand::random();
        if self.core.settings.load().admission.drained_retry.is_on() {
            let least = path::length(&self.steps(request, None)).plus(serve::FIRST_EVENT_TIME);
            return whole::retry_after(time_left, capacity_in, least, jitter);
        }
        admission::retry_after(time_left, capacity_in, jitter)
    }

    /// By how much the requests of routes that precede `priority` and use pools of the stages of
    /// `request` are expected to exceed their targets, or the late jobs of these pools the target of
    /// `request`, as a part of these.
    fn urgent_excess(&self, request: &request::Request, priority: priority::Priority) -> f64 {
        let view = self.core.view.load();
        let Some(known) = &view.configuration else {
            return 0.0;
        };
        let own = &request.route.stages;
        let shares_pool = |stage: &stage::Stage| own.iter().any(|used| used.pool == stage.pool);
        let urgent =
            known.hosts.values().flatten().filter(|route| {
                route.priority < priority.0 && route.stages.iter().any(shares_pool)
            });
        let mut urgent = urgent.peekable();
        if urgent.peek().is_none() {
            return 0.0;
        }
        let excess = urgent.map(|route| {
            let own = priority::Priority(route.priority);
            let steps = self.route_steps(route, |_| true, |load| Some(load.wait_for(own)));
            let expected = path::length(&steps).plus(serve::FIRST_EVENT_TIME);
            whole::excess(expected, route.target_latency)
        });
        // Late jobs that a queue keeps have missed their target in spite of its waits.
        let late = own.iter().map(|stage| {
            let backlog = self.job_client.load(&stage.pool).late_backlog();
            backlog.as_f64() / request.route.target_latency.as_f64().max(1.0)
        });
        excess.chain(late).fold(0.0, f64::max)
    }

    /// Expected time of the request's stages, including waits in queues with `priority`, along the
    /// longest path.
    pub(super) fn stage_time(
        &self,
        request: &request::Request,
        priority: priority::Priority,
    ) -> clock::Millis {
        path::length(&self.steps(request, Some(priority)))
    }

    /// Stages of `request` with their expected durations; with the waits in queues and on the
    /// network for a request of priority `waits_of`, if one is given.
    pub(crate) fn steps<'a>(
        &self,
        request: &'a request::Request,
        waits_of: Option<priority::Priority>,
    ) -> Vec<path::Step<'a>> {
        let pieces = &request.head.piece_counts;
        let has_pieces = |index| pieces.get(index).is_some_and(|count| *count > 0);
        let wait = |load: &load::Load| waits_of.map(|priority| load.wait_for(priority));
        self.route_steps(&request.route, has_pieces, wait)
    }

    /// Stages of `request` with the waits of late jobs, which go behind all others.
    fn late_steps<'a>(&self, request: &'a request::Request) -> Vec<path::Step<'a>> {
        let pieces = &request.head.piece_counts;
        let has_pieces = |index| pieces.get(index).is_some_and(|count| *count > 0);
        self.route_steps(&request.route, has_pieces, |load: &load::Load| {
            Some(load.wait)
        })
    }

    /// Like [`Service::steps`], for a request of `route` that runs the stages for which `has_pieces`
    /// holds; `wait` gives the wait in a queue, if waits are counted.
    fn route_steps<'a>(
        &self,
        route: &'a route::Route,
        has_pieces: impl Fn(usize) -> bool,
        wait: impl Fn(&load::Load) -> Option<clock::Millis>,
    ) -> Vec<path::Step<'a>> {
        let stages = route.stages.iter().enumerate();
        let steps = stages.map(|(index, stage)| {
            let span = if has_pieces(index) {
                let call = self.typical_call_time(&stage.pool);
                let wait = wait(&self.job_client.load(&stage.pool));
                call.plus(wait.map_or(clock::Millis::ZERO, |wait| wait.plus(serve::STAGE_OVERHEAD)))
            } else {
                clock::Millis::ZERO
            };
            path::Step {
                after: &stage.after,
                span,
            }
        });
        steps.collect()
    }

    /// Least duration of a call of `pool` for a job of `pieces`; zero if `pool` computes no pieces.
    pub(crate) fn least_call_time(&self, pool: &id::PoolId, pieces: u32) -> clock::Millis {
        let view = self.core.view.load();
        let known = view
            .configuration
            .as_ref()
            .and_then(|known| known.pools.get(pool));
        match known.map(|pool| &pool.work) {
            Some(pool::Work::Pieces(profile)) => {
                profile.call_time(pieces.min(profile.batch.max(1)))
            }
            _ => clock::Millis::ZERO,
        }
    }

    /// Duration of a call of `pool` with a half-filled batch; zero if `pool` computes no pieces.
    fn typical_call_time(&self, pool: &id::PoolId) -> clock::Millis {
        let view = self.core.view.load();
        let known = view
            .configuration
            .as_ref()
            .and_then(|known| known.pools.get(pool));
        match known.map(|pool| &pool.work) {
            Some(pool::Work::Pieces(profile)) => profile.call_time(profile.batch / 2),
            _ => clock::Millis::ZERO,
        }
    }
}
