//! Runs one generation and streams its tokens.

use std::pin;
use std::sync;
use std::task;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::broadcast;
use tokio::sync::mpsc;

use crate::engine::state;
use crate::engine::text;
use crate::fault;
use crate::http_request;
use crate::http_response;

/// The JSON body of a `POST /v1/completions` request.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    received: Vec<String>,
}

/// One generation in progress.
struct Generation {
    state: sync::Arc<state::State>,
    completion: CompletionRequest,
    fault: fault::Fault,
    sender: mpsc::Sender<Bytes>,
    cancel: broadcast::Receiver<state::Cancellation>,
    request: String,
    stage: String,
    attempt: String,
}

/// Starts a generation in a new task and returns the response that streams its tokens.
pub(super) fn start(
    state: &sync::Arc<state::State>,
    request: &http_request::HttpRequest,
    fault: &fault::Fault,
) -> http_response::HttpResponse {
    let completion: CompletionRequest = match serde_json::from_slice(&request.body) {
        Ok(completion) => completion,
        Err(error) => return http_response::HttpResponse::whole(400, error.to_string()),
    };
    if let Some(model) = &completion.model {
        let loaded = &state.lock().models;
        if !loaded.is_empty() && !loaded.contains(model) {
            return http_response::HttpResponse::not_run();
        }
    }
    state.executions.add(request);
    check_received(state, &completion);
    let text = |name| request.header(name).unwrap_or_default().to_owned();
    let (sender, receiver) = mpsc::channel(16);
    let generation = Generation {
        state: sync::Arc::clone(state),
        completion,
        fault: fault.clone(),
        sender,
        cancel: state.cancel.subscribe(),
        request: text("basilgrade-request-id"),
        stage: text("basilgrade-stage"),
        attempt: text("basilgrade-attempt"),
    };
    tokio::spawn(generation.run());
    http_response::HttpResponse {
        status: 200,
        headers: vec![("content-type", "text/event-stream".to_owned())],
        body: http_response::Body::Stream(receiver),
    }
}

/// Counts a conflict if the tokens that a resumed generation received are not those of this engine.
fn check_received(state: &state::State, completion: &CompletionRequest) {
    let mut expected = (0..).map(|offset| text::token(&completion.prompt, offset));
    let all_equal = completion
        .received
        .iter()
        .all(|token| expected.next().as_ref() == Some(token));
    if !all_equal {
        state.lock().conflicts += 1;
    }
}

impl Generation {
    /// Waits for a slot, then generates all tokens.
    async fn run(mut self) {
        let state = sync::Arc::clone(&self.state);
        let mut acquisition = pin::pin!(state.slots.acquire(self.completion.priority));
        let acquired = futures::poll!(acquisition.as_mut());
        state.record_load();
        let slot = match acquired {
            task::Poll::Ready(slot) => slot,
            task::Poll::Pending => tokio::select! {
                slot = acquisition => slot,
                // `sender` is closed when the client closed its connection.
                () = self.sender.closed() => None,
            },
        };
        state.record_load();
        if slot.is_none() {
            return;
        }
        {
            let mut mutable = self.state.lock();
            mutable.started.push(self.completion.prompt.clone());
            let prompt = &self.completion.prompt;
            mutable
                .cache
                .put(text::prefix_hash(prompt), Bytes::from(prompt.clone()));
        }
        self.stream().await;
        drop(slot);
        self.state.record_load();
    }

    async fn stream(&mut self) {
        let (start, end) = (self.completion.offset, self.completion.max_tokens);
        let middle = start + end.saturating_sub(start) / 2;
        for offset in start..end {
            if self.is_cancelled() {
                return;
            }
            self.pause().await;
            let token = text::token(&self.completion.prompt, offset);
            let event = format!("data: {}\n\n", json!({"offset": offset, "token": token}));
            let copies = match &self.fault {
                fault::Fault::Truncated if offset == middle => return,
                fault::Fault::OffsetJump if offset == middle => 0,
                fault::Fault::OffsetRepeat if offset == middle => 2,
                _ => 1,
            };
            for _ in 0..copies {
                if self.sender.send(Bytes::from(event.clone())).await.is_err() {
                    return;
                }
            }
        }
        if self.fault != fault::Fault::NoDone {
            let end = Bytes::from_static(b"data: [DONE]\n\n");
            // Sending fails if the client closed its connection; the end marker is not needed then.
            let _ = self.sender.send(end).await;
        }
    }

    /// Waits for the configured delay before the next token, or until the client closes its
    /// connection.
    async fn pause(&self) {
        let time = match &self.fault {
            fault::Fault::Slow(time) => *time,
            _ => self.state.options.token_interval,
        };
        if time > basilgrade_types::clock::Millis::ZERO {
            tokio::select! {
                () = tokio::time::sleep(time.duration()) => {}
                () = self.sender.closed() => {}
            }
        }
    }

    /// Whether a cancellation of this generation was received.
    fn is_cancelled(&mut self) -> bool {
        while let Ok(cancellation) = self.cancel.try_recv() {
            if cancellation.matches(&self.request, &self.stage, &self.attempt) {
                self.state.lock().cancelled.insert(self.request.clone());
                return true;
            }
        }
        false
    }
}
