//! The ledger of a daemon that takes part in slots.

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

/// Carries out what the claims state machine decides.
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
    /// None until the daemon has joined, as its incarnation is final only then.
    claims: Option<claims::Claims>,
    pending: IndexMap<attempt_id::AttemptId, oneshot::Sender<decision::Decision>>,
}

impl SlotLedger {
    /// A ledger that grants nothing until [`SlotLedger::start`].
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

    /// Takes part in slots with the state machine `claims`, unless it does already.
    pub fn start(&self, claims: claims::Claims) {
        self.lock().claims.get_or_insert(claims);
    }

    /// Takes a message from another daemon.
    pub fn receive(&self, from: &node::Node, message: message::Message) {
        self.apply(|claims, now| claims.receive(now, from, message));
    }

    /// Takes note of the state of stream `control` before `next`.
    pub fn observe(&self, state: &control_state::ControlState, next: offset::Offset) {
        self.apply(|claims, now| claims.observe(now, state, next));
    }

    /// Does what is due.
    pub fn tick(&self, view: &cluster_view::ClusterView) {
        self.apply(|claims, now| claims.tick(now, view, &mut rand::rng()));
    }

    /// Begins to hand over all slots.
    pub fn drain(&self) {
        self.apply(|claims, _| claims.drain());
    }

    /// Whether all slots are handed over and the end of every call is recorded.
    pub fn is_drained(&self) -> bool {
        self.with(claims::Claims::is_drained).unwrap_or(true)
    }

    /// Calls `look` with the state machine if the daemon takes part in slots.
    pub fn with<T>(&self, inspect: impl FnOnce(&claims::Claims) -> T) -> Option<T> {
        self.lock().claims.as_ref().map(inspect)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes the state machine and carries out what it then asks for.
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
                        // A receiver that has gone takes no decision; its claim then stays.
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
            // The state machine sends again, and the directory may know the daemon by then.
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
            // The state machine decides each attempt once, so the sender is dropped only when there
            // is no state machine yet.
            match receiver.await {
                Ok(decision) => claim_result(decision),
                Err(_) => ledger::Claim::Unavailable("this daemon has not joined yet".to_owned()),
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

/// Answers that are too long to be kept are not encoded.
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
            // Written by a version with another form of answers.
            Err(_) => ledger::Claim::Held,
        },
        decision::Decision::MayHaveRun => ledger::Claim::Held,
        decision::Decision::Mismatch => ledger::Claim::Mismatch,
        decision::Decision::NotRun(refusal) => {
            ledger::Claim::Unavailable(refusal.message().to_owned())
        }
    }
}
