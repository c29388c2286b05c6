//! The ledger of a daemon that owns slots together with other daemons.

use std::sync;

use basilgrade_claims::attempt_id;
use basilgrade_claims::claim_key;
use basilgrade_claims::claims;
use basilgrade_claims::cluster_view;
use basilgrade_claims::decision;
use basilgrade_claims::fingerprint;
use basilgrade_claims::message;
use basilgrade_claims::output;
use basilgrade_claims::settlement;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_journal::publication;
use basilgrade_journal::stream;
use basilgrade_peer::links;
use basilgrade_platform::error;
use basilgrade_platform::log_service;
use basilgrade_types::clock;
use basilgrade_types::key;
use basilgrade_types::offset;
use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::directory;
use crate::ledger;

/// Drives the claims state machine and executes its outputs.
#[derive(Clone)]
pub struct SlotLedger {
    shared: sync::Arc<Shared>,
}

struct Shared {
    clock: sync::Arc<dyn clock::Clock>,
    links: sync::Arc<links::Links>,
    directory: sync::Arc<dyn directory::Directory>,
    log: sync::Arc<dyn log_service::LogService>,
    state: sync::Mutex<State>,
}

struct State {
    /// `None` until the daemon has joined, because its incarnation is final only then.
    claims: Option<claims::Claims>,
    pending: IndexMap<attempt_id::AttemptId, oneshot::Sender<decision::Decision>>,
}

impl SlotLedger {
    /// Creates a ledger that grants no claims before [`SlotLedger::start`].
    pub fn new(
        clock: sync::Arc<dyn clock::Clock>,
        links: sync::Arc<links::Links>,
        directory: sync::Arc<dyn directory::Directory>,
        log: sync::Arc<dyn log_service::LogService>,
    ) -> Self {
        let state = sync::Mutex::new(State {
            claims: None,
            pending: IndexMap::new(),
        });
        Self {
            shared: sync::Arc::new(Shared {
                clock,
                links,
                directory,
                log,
                state,
            }),
        }
    }

    /// Installs the state machine `claims`, unless one is installed already.
    pub fn start(&self, claims: claims::Claims) {
        self.lock().claims.get_or_insert(claims);
    }

    /// Passes a message from another daemon to the state machine.
    pub fn receive(&self, from: &node::Node, message: message::Message) {
        self.apply(|claims, now| claims.receive(now, from, message));
    }

    /// Passes the state of stream `control` before offset `next` to the state machine.
    pub fn observe(&self, state: &control_state::ControlState, next: offset::Offset) {
        self.apply(|claims, now| claims.observe(now, state, next));
    }

    /// Runs the timers of the state machine that are due.
    pub fn tick(&self, view: &cluster_view::ClusterView) {
        self.apply(|claims, now| claims.tick(now, view, &mut rand::rng()));
    }

    /// Starts handing over all slots to other daemons.
    pub fn drain(&self) {
        self.apply(|claims, _| claims.drain());
    }

    /// Whether all slots are handed over and the outcome of every call is recorded.
    pub fn is_drained(&self) -> bool {
        self.with(claims::Claims::is_drained).unwrap_or(true)
    }

    /// Calls `inspect` with the state machine; `None` if the daemon has not joined yet.
    pub fn with<T>(&self, inspect: impl FnOnce(&claims::Claims) -> T) -> Option<T> {
        self.lock().claims.as_ref().map(inspect)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes the state machine and executes the outputs that result.
    fn apply(&self, change: impl FnOnce(&mut claims::Claims, clock::Millis)) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let Some(claims) = state.claims.as_mut() else {
            return;
        };
        change(claims, now);
        let outputs: Vec<_> = claims.outputs().collect();
        let mut pending_outputs = Vec::new();
        for output in outputs {
            match output {
                output::Output::Decide { attempt, decision } => {
                    if let Some(pending) = state.pending.swap_remove(&attempt) {
                        // If the receiver was dropped, nobody takes the decision and the claim is
                        // not released.
                        let _ = pending.send(decision);
                    }
                }
                output => pending_outputs.push(output),
            }
        }
        drop(state);
        for output in pending_outputs {
            self.execute(output);
        }
    }

    fn execute(&self, output: output::Output) {
        match output {
            output::Output::Append { id, body } => {
                let ledger = self.clone();
                tokio::spawn(async move { ledger.append(id, body).await });
            }
            output::Output::Send { to, message } => self.send(&to, message),
            output::Output::Decide { .. } => {}
        }
    }

    fn send(&self, to: &node::Node, message: message::Message) {
        let Some(address) = self.shared.directory.address(&to.vm) else {
            // The state machine sends the message again; the directory may know the address by
            // then.
            log::debug!("event=claim-message-unsent to={to} reason=unknown-address");
            return;
        };
        let links = sync::Arc::clone(&self.shared.links);
        let Some(from) = self.with(|claims| claims.node().clone()) else {
            return;
        };
        tokio::spawn(async move {
            let sent = links
                .call(address, |client, context| async move {
                    client.claims(context, from, message).await
                })
                .await;
            if let Err(error) = sent {
                log::debug!(
                    "event=claim-message-failed to={address} error={:?}",
                    error.to_string()
                );
            }
        });
    }

    async fn append(&self, id: Uuid, body: Bytes) {
        let appended = match self.shared.log.append(stream::CONTROL, body).await {
            Ok(offset) => publication::AppendResult::Stored(offset),
            Err(error::AppendError::NotAppended(reason)) => {
                log::warn!("event=control-append-failed id={id} error={reason:?}");
                publication::AppendResult::Refused
            }
            Err(error::AppendError::Unknown(reason)) => {
                log::warn!("event=control-append-unknown id={id} error={reason:?}");
                publication::AppendResult::Unknown
            }
        };
        self.apply(|claims, _| claims.appended(id, appended));
    }
}

impl ledger::Ledger for SlotLedger {
    fn claim(
        &self,
        key: key::RequestKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        deadline: clock::Millis,
    ) -> future::BoxFuture<'_, ledger::Claim> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        if state.claims.is_some() {
            state.pending.insert(attempt, sender);
        }
        drop(state);
        let claim = claim_key::ClaimKey { key, step: 0 };
        self.apply(|claims, now| claims.claim(now, claim, fingerprint, attempt, deadline));
        async move {
            // The state machine decides every attempt once, so the sender is dropped without a
            // decision only if there is no state machine yet.
            match receiver.await {
                Ok(decision) => claim_result(decision),
                Err(_) => ledger::Claim::Unavailable(
                    "this daemon has not joined its peers yet".to_owned(),
                ),
            }
        }
        .boxed()
    }

    fn settle(&self, attempt: attempt_id::AttemptId, outcome: ledger::Outcome) {
        let settlement = match outcome {
            ledger::Outcome::Finished(answer) => {
                settlement::Settlement::Finished(answer.as_ref().and_then(encode_answer))
            }
            ledger::Outcome::Released => settlement::Settlement::Released,
            ledger::Outcome::Unknown => {
                self.apply(|claims, _| claims.forget(attempt));
                return;
            }
        };
        self.apply(|claims, now| claims.settle(now, attempt, settlement));
    }

    fn mint(&self) -> Option<key::RequestKey> {
        let now = self.shared.clock.now();
        let slot = self.with(|claims| claims.mint_slot(now, &mut rand::rng()))??;
        Some(key::RequestKey::mint(slot, now, rand::random()))
    }
}

/// Encodes an answer for storage; `None` if it exceeds the size limit.
fn encode_answer(answer: &ledger::Answer) -> Option<Bytes> {
    if answer.body.len() > settlement::ANSWER_LIMIT {
        return None;
    }
    postcard::to_stdvec(answer).ok().map(Bytes::from)
}

fn claim_result(decision: decision::Decision) -> ledger::Claim {
    match decision {
        decision::Decision::Granted => ledger::Claim::Granted,
        decision::Decision::Answered(bytes) => match postcard::from_bytes(&bytes) {
            Ok(answer) => ledger::Claim::Finished(answer),
            // The answer was encoded by a version with a different format.
            Err(_) => ledger::Claim::Held,
        },
        decision::Decision::MayHaveRun => ledger::Claim::Held,
        decision::Decision::Mismatch => ledger::Claim::Mismatch,
        decision::Decision::NotRun(refusal) => {
            ledger::Claim::Unavailable(refusal.message().to_owned())
        }
    }
}
