//! The stream of tokens of one generation.

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
use crate::client::shared;
use crate::client::sse;
use crate::client::whole;
use crate::token;

/// Time for the end of the body to follow the end marker; afterwards the connection is closed.
const TAIL: Duration = Duration::from_millis(100);

type Item = Result<token::Token, call_error::CallError>;

enum State {
    Opening(future::BoxFuture<'static, Result<exchange::Answer, call_error::CallError>>),
    Open(Open),
    Finished,
}

struct Open {
    body: body::Incoming,
    connection: connection::Connection,
    echoed: bool,
}

/// Delivers tokens as they arrive, without a task or channel between the connection and the reader.
pub(super) struct TokenStream {
    state: State,
    guard: cancel::Guard,
    decoder: sse::Decoder,
    ready: collections::VecDeque<token::Token>,
    /// Error to report after the tokens in `ready`.
    failure: Option<call_error::CallError>,
    deadline: pin::Pin<Box<time::Sleep>>,
    address: std::net::SocketAddr,
    shared: sync::Arc<shared::Shared>,
}

impl TokenStream {
    pub(super) fn new(
        shared: sync::Arc<shared::Shared>,
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
            ready: collections::VecDeque::new(),
            failure: None,
            deadline,
            address,
            shared,
        }
    }

    /// Ends the stream with an error, after the tokens already decoded.
    fn fail(&mut self, error: call_error::CallError) {
        if error.verdict() == basilgrade_types::verdict::Verdict::NotRun {
            self.guard.disarm();
        }
        self.state = State::Finished;
        self.failure = Some(error);
    }

    fn start(&mut self, answer: exchange::Answer) {
        let status = answer.response.status();
        if !status.is_success() {
            self.guard.disarm();
            self.fail(call_error::CallError::Status(self.address, status.as_u16()));
            return;
        }
        self.state = State::Open(Open {
            body: answer.response.into_body(),
            connection: answer.connection,
            echoed: answer.echoed,
        });
    }

    fn feed(&mut self, data: &Bytes) {
        let repeated = self.decoder.repeated;
        let progress = self.decoder.feed(data, &mut self.ready);
        let dropped = self.decoder.repeated - repeated;
        if dropped > 0 {
            self.shared
                .counting
                .tokens_repeated
                .fetch_add(dropped, sync::atomic::Ordering::Relaxed);
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
                // The reader does not wait for the end of the body, which may arrive later than
                // the end marker.
                if let Ok(None) = time::timeout(TAIL, open.body.frame()).await {
                    shared.pool.put(open.connection);
                }
            });
        }
    }
}

impl Stream for TokenStream {
    type Item = Item;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Item>> {
        let this = self.get_mut();
        loop {
            if let Some(token) = this.ready.pop_front() {
                return task::Poll::Ready(Some(Ok(token)));
            }
            if let Some(error) = this.failure.take() {
                return task::Poll::Ready(Some(Err(error)));
            }
            match &mut this.state {
                State::Finished => return task::Poll::Ready(None),
                // The deadline is enforced inside of this future, which knows the verdict.
                State::Opening(opening) => match task::ready!(opening.poll_unpin(context)) {
                    Ok(answer) => this.start(answer),
                    Err(error) => this.fail(error),
                },
                State::Open(open) => {
                    if this.deadline.as_mut().poll(context).is_ready() {
                        counters::increment(&this.shared.counting.timeouts);
                        this.fail(call_error::CallError::Timeout(this.address));
                        continue;
                    }
                    let frame = pin::Pin::new(&mut open.body).poll_frame(context);
                    match task::ready!(frame) {
                        Some(Ok(frame)) => {
                            if let Ok(data) = frame.into_data() {
                                this.feed(&data);
                            }
                        }
                        Some(Err(error)) => this.fail(whole::broken(this.address, &error)),
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
