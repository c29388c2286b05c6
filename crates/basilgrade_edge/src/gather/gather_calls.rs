//! Calls that have the pieces of one job computed by other daemons.

use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::daemon;
use futures::FutureExt as _;
use futures::StreamExt as _;
use futures::future;
use futures::stream;

use crate::gather::duty_client;
use crate::peers::service;

/// Outcome of a job with the duty that produced it, and the load reported with it.
pub(super) type Ended = (duty::Duty, outcome::JobOutcome, load::Load);

type Reply = Result<service::GatherReply, String>;

/// Calls in progress for one job; dropping them frees what they have computed.
///
/// A call to a daemon that has become unresponsive goes on beside the next one, as the daemon may
/// still answer first.
pub(super) struct GatherCalls<'a> {
    duty_client: &'a duty_client::DutyClient,
    running: stream::FuturesUnordered<future::BoxFuture<'a, (usize, duty::Duty, Reply)>>,
    /// Number of the newest attempt.
    newest: usize,
}

impl<'a> GatherCalls<'a> {
    pub(super) fn new(duty_client: &'a duty_client::DutyClient) -> Self {
        Self {
            duty_client,
            running: stream::FuturesUnordered::new(),
            newest: 0,
        }
    }

    /// Sends `job` to `daemon`, and waits for the first outcome of all calls.
    ///
    /// `None` if the daemon fails, leaves or becomes unresponsive, so that the job should be sent
    /// elsewhere.
    pub(super) async fn call(
        &mut self,
        daemon: daemon::Daemon,
        duty: duty::Duty,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> Option<Ended> {
        let (client, address) = (self.duty_client, daemon.address);
        self.newest += 1;
        let number = self.newest;
        let unresponsive = client.wait_unresponsive(address);
        let call = async move {
            let reply = client.gather(&daemon, duty.clone(), job, terms).await;
            (number, duty, reply)
        };
        self.running.push(call.boxed());
        tokio::select! {
            biased;
            ended = self.next_ended() => ended,
            () = unresponsive => None,
        }
    }

    /// Has `work` of this daemon done for `duty` beside the calls in progress, and returns the
    /// first outcome.
    pub(super) async fn beside(
        &mut self,
        duty: duty::Duty,
        work: impl Future<Output = (outcome::JobOutcome, load::Load)>,
    ) -> Ended {
        self.newest += 1;
        tokio::select! {
            biased;
            Some(ended) = self.next_ended() => ended,
            (outcome, load) = work => (duty, outcome, load),
        }
    }

    /// Next outcome of the newest call, or results of an earlier one; `None` if the newest call
    /// fails or no call is left.
    async fn next_ended(&mut self) -> Option<Ended> {
        while let Some((number, duty, reply)) = self.running.next().await {
            let is_newest = number == self.newest;
            match reply {
                Ok(service::GatherReply::Ended(outcome, load))
                    if is_newest || matches!(outcome, outcome::JobOutcome::Completed(_)) =>
                {
                    return Some((duty, outcome, load));
                }
                _ if is_newest => return None,
                _ => {}
            }
        }
        None
    }
}
