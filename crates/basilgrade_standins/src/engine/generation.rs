//! Running one generation.

use std::pin;
use std::sync;
use std::task;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::broadcast;
use tokio::sync::mpsc;

use crate::engine::shared_state;
use crate::engine::token_text;
use crate::fault;
use crate::http_request;
use crate::http_response;

#[derive(Debug, Deserialize)]
struct Completion {
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
    state: sync::Arc<shared_state::SharedState>,
    completion: Completion,
    fault: fault::Fault,
    sender: mpsc::Sender<Bytes>,
    cancel: broadcast::Receiver<shared_state::Cancellation>,
    request: String,
    stage: String,
    attempt: String,
}

/// Starts a generation; its tokens are streamed by a task.
pub(super) fn start(
    state: &sync::Arc<shared_state::SharedState>,
    request: &http_request::HttpRequest,
    fault: &fault::Fault,
) -> http_response::HttpResponse {
    let completion: Completion = match serde_json::from_slice(&request.body) {
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

fn check_received(state: &shared_state::SharedState, completion: &Completion) {
    let mut expected = (0..).map(|offset| token_text::token(&completion.prompt, offset));
    let same = completion
        .received
        .iter()
        .all(|token| expected.next().as_ref() == Some(token));
    if !same {
        state.lock().conflicts += 1;
    }
}

impl Generation {
    async fn run(mut self) {
        let state = sync::Arc::clone(&self.state);
        let mut turn = pin::pin!(state.slots.acquire(self.completion.priority));
        let entered = futures::poll!(turn.as_mut());
        state.observe();
        let slot = match entered {
            task::Poll::Ready(slot) => slot,
            task::Poll::Pending => tokio::select! {
                slot = turn => slot,
                // The connection is closed when its client has gone.
                () = self.sender.closed() => None,
            },
        };
        state.observe();
        if slot.is_none() {
            return;
        }
        {
            let mut inner = self.state.lock();
            inner.started.push(self.completion.prompt.clone());
            let prompt = &self.completion.prompt;
            inner
                .cache
                .put(token_text::prefix_hash(prompt), Bytes::from(prompt.clone()));
        }
        self.stream().await;
        drop(slot);
        self.state.observe();
    }

    async fn stream(&mut self) {
        let (start, end) = (self.completion.offset, self.completion.max_tokens);
        let middle = start + end.saturating_sub(start) / 2;
        for offset in start..end {
            if self.is_cancelled() {
                return;
            }
            self.pause().await;
            let token = token_text::token(&self.completion.prompt, offset);
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
            // The client may have gone; nobody needs the end marker then.
            let _ = self.sender.send(end).await;
        }
    }

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

    fn is_cancelled(&mut self) -> bool {
        while let Ok(cancellation) = self.cancel.try_recv() {
            if cancellation.concerns(&self.request, &self.stage, &self.attempt) {
                self.state.lock().cancelled.insert(self.request.clone());
                return true;
            }
        }
        false
    }
}
