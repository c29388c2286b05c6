//! Reads a topic from the store: first the newest record of each key, then appended records.

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::configuration;
use basilgrade_adapter::record;
use basilgrade_adapter::store;
use basilgrade_fleet::news_pace;
use basilgrade_types::clock;
use basilgrade_types::size;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::core;
use crate::follow::mirror;
use crate::follow::mirrors;
use crate::follow::position;
use crate::http::pool;

/// Long-poll time of a read of the topic of daemons; no limit applies to noticing its changes.
const DAEMON_WAIT: clock::Millis = clock::Millis(10_000);

/// Interval between reads of the topic of daemons. Each read is billed, and the interval collects
/// the registrations of daemons that start at the same time.
const DAEMON_READ_INTERVAL: clock::Millis = clock::Millis(800);

/// Pause after the first load if that names no other daemon, as in the first start of a deployment:
/// until this daemon knows others, none keeps copies of its streams.
const FIRST_DAEMON_READ_INTERVAL: clock::Millis = clock::Millis(200);

/// Time-out for connecting to the store.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(600);

/// Time beyond its long-poll time after which a read counts as slow in the log; a read that takes
/// longer than [`news_pace::STORE_TIMEOUT`] fails.
const SLOW_READ: clock::Millis = news_pace::SLOW_STORE;

/// Maximum number of calls of one read to the end of a topic.
const MAX_READ_CALLS: usize = 64;

/// Wait after the first failed store call; doubles with each consecutive failure.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(200);

/// Maximum wait between consecutive failed store calls.
///
/// Refused calls are billed, but the end of a store outage should be noticed well within the
/// strictest limit on applying a configuration, 2.5 s.
const MAX_BACKOFF: clock::Millis = clock::Millis(1000);

/// How far a read of appended records got.
enum Progress {
    /// To the end of the topic.
    Complete,
    /// To a record before the end, as an answer is limited in size.
    Partial,
    /// Nowhere: the store has expired some records that were not yet read, or was restored from a
    /// copy.
    Expired,
}

/// Reads one topic from the store into its mirror.
pub struct TopicReader {
    core: sync::Arc<core::Core>,
    mirrors: sync::Arc<mirrors::Mirrors>,
    topic: store::Topic,
    /// Time from which on the topic is read again after its first load.
    settled_at: clock::Millis,
    /// Number of malformed records among the newest ones at the last load.
    malformed: atomic::AtomicUsize,
}

impl TopicReader {
    pub fn new(
        core: sync::Arc<core::Core>,
        mirrors: sync::Arc<mirrors::Mirrors>,
        topic: store::Topic,
    ) -> Self {
        Self {
            settled_at: core.now().plus(news_pace::SETTLE_TIME),
            core,
            mirrors,
            topic,
            malformed: atomic::AtomicUsize::new(0),
        }
    }

    /// Reads the topic whenever this daemon reads the store itself; never returns.
    pub async fn run(self) {
        let mut reader_changes = self.mirrors.subscribe_reader();
        let mut failures = 0;
        loop {
            if reader_changes
                .wait_for(|is_reader| *is_reader)
                .await
                .is_err()
            {
                return;
            }
            if self.mirrors.position(self.topic).is_none() {
                if let Err(reason) = self.load_newest().await {
                    self.back_off(&reason, &mut failures).await;
                    continue;
                }
                if self.topic == store::Topic::Daemons {
                    let is_first = self.core.view.load().daemons <= 1;
                    let interval = if is_first {
                        FIRST_DAEMON_READ_INTERVAL
                    } else {
                        DAEMON_READ_INTERVAL
                    };
                    tokio::time::sleep(interval.duration()).await;
                }
            }
            failures = 0;
            self.follow(&mut reader_changes).await;
        }
    }

    /// Reads all records that were in the topic when the call began.
    pub(super) async fn read_to_end(&self) -> Result<(), String> {
        if self.mirrors.position(self.topic).is_none() {
            return self.load_newest().await;
        }
        for _ in 0..MAX_READ_CALLS {
            match self.read_appended(clock::Millis::ZERO).await? {
                Progress::Complete => return Ok(()),
                Progress::Partial => {}
                Progress::Expired => return self.load_newest().await,
            }
        }
        Err(format!(
            "the topic `{}` grows faster than it is read",
            self.topic.as_str()
        ))
    }

    /// Records a failed store call and waits; `failures` counts the consecutive failures before it.
    ///
    /// During a store outage, only the reader of the topic of upstreams retries; the readers of the
    /// other topics wait until the store has answered.
    async fn back_off(&self, reason: &str, failures: &mut u32) {
        self.mirrors.record_store_failure(self.topic, reason);
        let pause = clock::Millis(INITIAL_BACKOFF.0 << (*failures).min(4)).min(MAX_BACKOFF);
        *failures += 1;
        tokio::time::sleep(pause.duration()).await;
        if self.topic != store::Topic::Upstreams {
            let mut regained = self.mirrors.subscribe_regained();
            let is_reachable = regained.wait_for(|_| self.mirrors.is_store_reachable());
            // The time-out lets this reader retry if only reads of the topic of upstreams fail.
            let _ = tokio::time::timeout(MAX_BACKOFF.duration() * 3, is_reachable).await;
        }
    }

    /// Makes one call to the store, and logs it if it fails or takes long.
    async fn call(
        &self,
        message: Request<Full<Bytes>>,
        wait: clock::Millis,
    ) -> Result<pool::BufferedAnswer, String> {
        let began_at = self.core.now();
        let position = self.mirrors.position(self.topic).unwrap_or_default();
        let has_head = tokio::sync::Notify::new();
        let call = call_noting_head(&self.core, message, wait, || has_head.notify_one());
        let overdue = async {
            has_head.notified().await;
            tokio::time::sleep(news_pace::STORE_TIMEOUT.duration()).await;
        };
        tokio::pin!(call);
        let outcome = tokio::select! {
            biased;
            outcome = &mut call => outcome,
            () = overdue => {
                self.mirrors.record_slow_answer(self.topic);
                call.await
            }
        };
        let topic = self.topic.as_str();
        let span = self.core.now().since(began_at);
        match &outcome {
            Ok(answer) if span > wait.plus(SLOW_READ) => log::info!(
                "event=store-read-slow topic={topic} position={position} bytes={} span={span} \
                 wait={wait}",
                answer.body.len()
            ),
            Ok(_) => {}
            Err(reason) => log::info!(
                "event=store-read-failed topic={topic} position={position} span={span} \
                 wait={wait} reads_store={} reason={reason:?}",
                self.mirrors.is_reader()
            ),
        }
        outcome
    }

    /// Loads the newest record of each key.
    async fn load_newest(&self) -> Result<(), String> {
        let update = self.fetch_newest().await?;
        self.mirrors.apply_from_store(update);
        Ok(())
    }

    /// Goes on after a read from `from` that ended before the end of the topic.
    ///
    /// All configurations of a storm take a link seconds, so only the newest one is loaded. If that is
    /// unreadable, one before it may be newer than that in force.
    async fn catch_up(&self, from: Option<position::Position>) -> Result<(), String> {
        if self.topic == store::Topic::Operators {
            let update = self.fetch_newest().await?;
            let is_readable = update
                .changes
                .records()
                .filter(|(key, _)| store::is_configuration_key(key))
                .all(|(_, value)| configuration::decode(value).is_ok());
            if is_readable {
                self.mirrors.apply_from_store(update);
                return Ok(());
            }
        }
        if self.mirrors.position(self.topic) == from {
            // The next record alone is larger than the limit of the last read.
            self.read_up_to(None, clock::Millis::ZERO).await?;
            if self.mirrors.position(self.topic) == from {
                return Err("the store sends no record, but the log goes on".to_owned());
            }
        }
        Ok(())
    }

    /// Reads the newest record of each key, page by page.
    async fn fetch_newest(&self) -> Result<mirror::Update, String> {
        let address = self.core.settings.load().store;
        let mut records = Vec::new();
        let mut malformed = 0;
        let mut after = None;
        let mut position: Option<position::Position> = None;
        loop {
            let message = store::newest_request(address, self.topic, after.as_deref())
                .map_err(|reason| reason.to_string())?;
            let answer = self.call(message, clock::Millis::ZERO).await?;
            let page = store::decode_newest_answer(answer.status, &answer.body)
                .map_err(|reason| reason.to_string())?;
            // Reading continues at the end offset of the first page, so that records appended while
            // the later pages are loaded are not missed.
            let era = store::era(&answer.headers);
            let first = *position.get_or_insert(position::Position {
                era,
                offset: page.end_offset,
            });
            if era != first.era {
                return Err("the store was restored from a copy during the load".to_owned());
            }
            records.extend(
                page.records
                    .into_iter()
                    .filter_map(|record| Some((record.key, record.value?))),
            );
            malformed += page.unreadable;
            if after.is_some() && page.resume_key == after {
                return Err("the store sends the same page of newest records again".to_owned());
            }
            after = page.resume_key;
            if after.is_none() {
                break;
            }
        }
        self.mirrors.record_store_answer(self.topic);
        let known = self.malformed.swap(malformed, atomic::Ordering::Relaxed);
        self.report_malformed(malformed.saturating_sub(known));
        let position = position.unwrap_or_default();
        log::info!(
            "event=topic-loaded topic={} records={} position={position}",
            self.topic.as_str(),
            records.len()
        );
        Ok(mirror::Update {
            topic: self.topic,
            position,
            changes: mirror::Changes::All(records),
        })
    }

    /// Reads appended records repeatedly until another daemon reads for this one; reloads the newest
    /// records if the store has expired some.
    ///
    /// A read that has begun is completed: the other daemon may be behind, and a large configuration
    /// would have to be read anew.
    async fn follow(&self, reader_changes: &mut tokio::sync::watch::Receiver<bool>) {
        let wait = match self.topic {
            store::Topic::Operators => self.core.settings.load().news_pace().operator_wait,
            store::Topic::Upstreams => clock::Millis::ZERO,
            store::Topic::Daemons => DAEMON_WAIT,
        };
        let is_waiting = wait > clock::Millis::ZERO;
        let mut regained = self.mirrors.subscribe_regained();
        let mut failures = 0;
        loop {
            self.settle(reader_changes).await;
            if !*reader_changes.borrow_and_update() {
                return;
            }
            regained.mark_unchanged();
            let from = self.mirrors.position(self.topic);
            // After a failure, an answer at once shows that the topic can be read again.
            let wait = if failures == 0 {
                wait
            } else {
                clock::Millis::ZERO
            };
            let read = self.read_appended(wait);
            let outcome = tokio::select! {
                outcome = read => outcome,
                _ = regained.changed(), if is_waiting => continue,
            };
            let mut is_partial = false;
            let outcome = match outcome {
                Ok(Progress::Partial) => {
                    is_partial = true;
                    self.catch_up(from).await
                }
                Ok(Progress::Complete) => Ok(()),
                Ok(Progress::Expired) => self.reload().await,
                Err(reason) => Err(reason),
            };
            if !self.mirrors.is_reader() && outcome.is_err() {
                // The answer of the other daemon tells whether the store is reachable.
                return;
            }
            if let Err(reason) = outcome {
                let is_other = reader_changes.wait_for(|is_reader| !is_reader);
                tokio::select! {
                    () = self.back_off(&reason, &mut failures) => continue,
                    _ = is_other => return,
                }
            }
            failures = 0;
            self.mirrors.record_store_answer(self.topic);
            if is_partial {
                continue;
            }
            if !is_waiting {
                if !self.mirrors.is_uncertain() {
                    self.mirrors.expire_missing();
                }
                let pause = self.mirrors.read_pause(news_pace::READ_INTERVAL);
                pause_as_reader(reader_changes, pause).await;
            } else if self.topic == store::Topic::Daemons {
                pause_as_reader(reader_changes, DAEMON_READ_INTERVAL).await;
            }
        }
    }

    /// Waits, after the first load, until this daemon has had time to find the daemon that reads the
    /// store for it.
    async fn settle(&self, reader_changes: &mut tokio::sync::watch::Receiver<bool>) {
        let pause = match self.topic {
            store::Topic::Daemons => return,
            store::Topic::Operators if self.core.view.load().configuration.is_none() => return,
            store::Topic::Operators | store::Topic::Upstreams => self.settled_at - self.core.now(),
        };
        pause_as_reader(reader_changes, pause).await;
    }

    /// Loads the newest records again, because the position of the mirror is not in the store.
    async fn reload(&self) -> Result<(), String> {
        let known = self.mirrors.position(self.topic);
        self.load_newest().await?;
        if self.mirrors.position(self.topic) == known {
            // The store holds less than before although its era is the same.
            tokio::time::sleep(INITIAL_BACKOFF.duration()).await;
        }
        Ok(())
    }

    /// Counts and logs malformed records of one answer of the store.
    fn report_malformed(&self, count: usize) {
        if count > 0 {
            self.core.metrics.unreadable_records.add(count as u64);
            log::warn!(
                "event=records-unreadable topic={} records={count}",
                self.topic.as_str()
            );
        }
    }

    /// Reads appended records once.
    async fn read_appended(&self, wait: clock::Millis) -> Result<Progress, String> {
        let limit = self.mirrors.read_limit(self.topic);
        self.read_up_to(Some(limit), wait).await
    }

    /// Reads appended records of up to `limit`, or as many as the store sends in one answer.
    async fn read_up_to(
        &self,
        limit: Option<size::ByteCount>,
        wait: clock::Millis,
    ) -> Result<Progress, String> {
        let from = self.mirrors.position(self.topic).unwrap_or_default();
        let address = self.core.settings.load().store;
        let message = store::read_request(address, self.topic, from.offset, wait, limit)
            .map_err(|reason| reason.to_string())?;
        let answer = self.call(message, wait).await?;
        let era = store::era(&answer.headers);
        let end = store::log_bounds(answer.status, &answer.body).map(|(end, _)| end);
        let tail = store::decode_read_answer(answer.status, answer.body, from.offset)
            .map_err(|reason| reason.to_string())?;
        let (records, next) = match tail {
            // In another era, the records at these offsets may be others than those read before.
            store::ReadOutcome::Records { records, next } if era == from.era => (records, next),
            _ => {
                log::info!(
                    "event=records-expired topic={} position={from} era={era}",
                    self.topic.as_str()
                );
                return Ok(Progress::Expired);
            }
        };
        if !records.is_empty() {
            let unreadable = records.iter().filter(|record| record.is_none()).count();
            self.report_malformed(unreadable);
            let records = records
                .into_iter()
                .flatten()
                .map(|record| (record.key, record.value))
                .collect();
            self.mirrors.apply_from_store(mirror::Update {
                topic: self.topic,
                position: position::Position { era, offset: next },
                changes: mirror::Changes::Some(records),
            });
        }
        Ok(if end.is_some_and(|end| next < end) {
            Progress::Partial
        } else {
            Progress::Complete
        })
    }
}

/// Waits for `pause`, or until another daemon reads the store for this one.
async fn pause_as_reader(
    reader_changes: &mut tokio::sync::watch::Receiver<bool>,
    pause: clock::Millis,
) {
    let is_other = reader_changes.wait_for(|is_reader| !is_reader);
    // The result is ignored: the caller looks at what the receiver has.
    let _ = tokio::time::timeout(pause.duration(), is_other).await;
}

/// Makes one call to the store with the time-out [`news_pace::STORE_TIMEOUT`], extended by the
/// long-poll time `wait`.
pub(super) async fn call(
    core: &core::Core,
    message: Request<Full<Bytes>>,
    wait: clock::Millis,
) -> Result<pool::BufferedAnswer, String> {
    call_noting_head(core, message, wait, || ()).await
}

/// Like [`call`], and calls `on_head` when the head of the answer has arrived.
async fn call_noting_head(
    core: &core::Core,
    message: Request<Full<Bytes>>,
    wait: clock::Millis,
    on_head: impl Fn(),
) -> Result<pool::BufferedAnswer, String> {
    core.metrics.store_calls.inc();
    let address = core.settings.load().store;
    let connections = &core.connections;
    let call = connections.call_noting_head(address, message, CONNECT_TIMEOUT, on_head);
    tokio::time::timeout(wait.plus(news_pace::STORE_TIMEOUT).duration(), call)
        .await
        .map_err(|_| "no answer from the store within the time-out".to_owned())?
        .map_err(|failure| failure.to_string())
}

/// Appends records to `topic`, all or none.
///
/// # Errors
///
/// A message for the log; the records may have been appended nevertheless.
pub(super) async fn append(
    core: &core::Core,
    topic: store::Topic,
    records: &[record::Record],
) -> Result<(), String> {
    let address = core.settings.load().store;
    let message =
        store::append_request(address, topic, records).map_err(|reason| reason.to_string())?;
    let answer = call(core, message, clock::Millis::ZERO).await?;
    store::check_append_answer(answer.status).map_err(|reason| reason.to_string())
}
