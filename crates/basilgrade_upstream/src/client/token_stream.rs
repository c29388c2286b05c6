//! Stream of the tokens of one generation.

use std::collections;
use std::pin;
use std::sync;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::Stream;
use futures::future;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use tokio::time;

use crate::call_error;
use crate::client::cancel;
use crate::client::connection;
use crate::client::counters;
use crate::client::exchange;
use crate::client::shared_state;
use crate::client::sse;
use crate::client::whole_body;
use crate::token;

/// Time limit for the end of the body after the end marker. If the body does not end in time, the
/// connection is closed instead of pooled.
const TAIL_TIMEOUT: Duration = Duration::from_millis(100);

type TokenResult = Result<token::Token, call_error::CallError>;

enum State {
    Opening(future::BoxFuture<'static, Result<exchange::ResponseHead, call_error::CallError>>),
    Open(Open),
    Finished,
}

struct Open {
    body: body::Incoming,
    connection: connection::Connection,
    echoed: bool,
}

/// Delivers tokens as they arrive, without a task or channel between connection and consumer.
pub(super) struct TokenStream {
    state: State,
    guard: cancel::Guard,
    decoder: sse::Decoder,
    decoded: collections::VecDeque<token::Token>,
    /// Error to report after the tokens in `decoded`.
    pending_error: Option<call_error::CallError>,
    deadline: pin::Pin<Box<time::Sleep>>,
    address: std::net::SocketAddr,
    shared: sync::Arc<shared_state::SharedState>,
}

impl TokenStream {
    pub(super) fn new(
        shared: sync::Arc<shared_state::SharedState>,
        outgoing: exchange::Outgoing,
        guard: cancel::Guard,
        decoder: sse::Decoder,
    ) -> Self {
        let address = outgoing.address;
        let deadline = Box::pin(time::sleep_until(outgoing.deadline));
        let sender = sync::Arc::clone(&shared);
        let opening = async move { exchange::send(&sender, outgoing).await }.boxed();
        Self {
            state: State::Opening(opening),
            guard,
            decoder,
            decoded: collections::VecDeque::new(),
            pending_error: None,
            deadline,
            address,
            shared,
        }
    }

    /// Ends the stream with an error that is reported after the tokens already decoded.
    fn fail(&mut self, error: call_error::CallError) {
        if error.verdict() == basilgrade_types::verdict::Verdict::NotRun {
            self.guard.disarm();
        }
        self.state = State::Finished;
        self.pending_error = Some(error);
    }

    fn start(&mut self, head: exchange::ResponseHead) {
        let status = head.response.status();
        if !status.is_success() {
            self.guard.disarm();
            self.fail(call_error::CallError::Status(self.address, status.as_u16()));
            return;
        }
        self.state = State::Open(Open {
            body: head.response.into_body(),
            connection: head.connection,
            echoed: head.echoed,
        });
    }

    fn decode(&mut self, data: &Bytes) {
        let repeated = self.decoder.repeated;
        let progress = self.decoder.decode(data, &mut self.decoded);
        let repeated_now = self.decoder.repeated - repeated;
        if repeated_now > 0 {
            self.shared
                .counters
                .tokens_repeated
                .fetch_add(repeated_now, sync::atomic::Ordering::Relaxed);
        }
        match progress {
            Ok(sse::Progress::Open) => {}
            Ok(sse::Progress::Done) => self.finish(),
            Err(reason) => self.fail(call_error::CallError::Malformed(self.address, reason)),
        }
    }

    fn finish(&mut self) {
        self.guard.disarm();
        if let State::Open(mut open) = std::mem::replace(&mut self.state, State::Finished)
            && open.echoed
        {
            let shared = sync::Arc::clone(&self.shared);
            tokio::spawn(async move {
                // The end of the body may arrive after the end marker; a separate task awaits it,
                // so that the consumer does not wait.
                if let Ok(None) = time::timeout(TAIL_TIMEOUT, open.body.frame()).await {
                    shared.pool.put(open.connection);
                }
            });
        }
    }
}

impl Stream for TokenStream {
    type Item = TokenResult;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<TokenResult>> {
        let this = self.get_mut();
        loop {
            if let Some(token) = this.decoded.pop_front() {
                return task::Poll::Ready(Some(Ok(token)));
            }
            if let Some(error) = this.pending_error.take() {
                return task::Poll::Ready(Some(Err(error)));
            }
            match &mut this.state {
                State::Finished => return task::Poll::Ready(None),
                // `exchange::send` enforces the deadline itself, because only it knows the verdict.
                State::Opening(opening) => match task::ready!(opening.poll_unpin(context)) {
                    Ok(head) => this.start(head),
                    Err(error) => this.fail(error),
                },
                State::Open(open) => {
                    if this.deadline.as_mut().poll(context).is_ready() {
                        counters::increment(&this.shared.counters.timeouts);
                        this.fail(call_error::CallError::Timeout(this.address));
                        continue;
                    }
                    let frame = pin::Pin::new(&mut open.body).poll_frame(context);
                    match task::ready!(frame) {
                        Some(Ok(frame)) => {
                            if let Ok(data) = frame.into_data() {
                                this.decode(&data);
                            }
                        }
                        Some(Err(error)) => this.fail(whole_body::truncated(this.address, &error)),
                        None => this.fail(call_error::CallError::Malformed(
                            this.address,
                            "stream ended without `[DONE]`".to_owned(),
                        )),
                    }
                }
            }
        }
    }
}
