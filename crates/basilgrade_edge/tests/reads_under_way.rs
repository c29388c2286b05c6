//! Tests of reads of the store by a daemon that is behind, and by one for which another one begins to
//! read.

mod common;

use std::sync;
use std::sync::atomic;
use std::time;

use basilgrade_adapter::store;
use basilgrade_edge::core;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::follow::reader;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

/// Size of the padding of a large configuration, in bytes.
const LARGE: usize = 120 << 10;

/// Limit on the size of an answer if the request names none, in KiB.
const DEFAULT_MAX_SIZE: usize = 1024;

/// Store with configurations in the operators' topic.
struct Log {
    values: sync::Mutex<Vec<String>>,
    /// Total size of the configurations that were sent.
    sent: sync::Mutex<usize>,
    /// Time that the store takes for an answer, as for a large configuration on a slow link.
    answer_time: time::Duration,
    /// Time that the link takes for each byte of an answer with appended records.
    byte_time: time::Duration,
    /// Whether connections are closed without an answer.
    closes: atomic::AtomicBool,
}

impl Log {
    fn append(&self, values: impl IntoIterator<Item = String>) {
        let mut log = self.values.lock().expect("no holder panics");
        log.extend(values);
    }

    fn len(&self) -> usize {
        self.values.lock().expect("no holder panics").len()
    }

    /// Waits up to `wait` for the record at `from`, or until connections are closed.
    async fn wait_for_record(&self, from: usize, wait: time::Duration) {
        let end = time::Instant::now() + wait;
        while self.len() <= from
            && time::Instant::now() < end
            && !self.closes.load(atomic::Ordering::Relaxed)
        {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    fn count_sent(&self, values: &[String]) {
        let size: usize = values.iter().map(String::len).sum();
        *self.sent.lock().expect("no holder panics") += size;
    }

    /// Answer with the newest record.
    fn newest(&self) -> Vec<u8> {
        let values = self.values.lock().expect("no holder panics");
        let newest = &values[values.len() - 1..];
        self.count_sent(newest);
        let value = newest[0].replace('"', "\\\"");
        let page = format!(
            r#"{{"items":[{{"key":"config","value":"{value}","offset":0}}],"has-more":false,"end-offset":{}}}"#,
            values.len()
        );
        message("application/json", page.as_bytes())
    }

    /// Answer with the records from `from` on that fit into `max_size` KiB, which may be none.
    fn appended(&self, from: usize, max_size: usize) -> Vec<u8> {
        let values = self.values.lock().expect("no holder panics");
        let mut size = 0;
        let fits = |value: &&String| {
            size += value.len();
            size <= max_size << 10
        };
        let count = values[from..].iter().take_while(fits).count();
        let sent = &values[from..from + count];
        self.count_sent(sent);
        let mut body = [(values.len() as u64).to_be_bytes(), 0_u64.to_be_bytes()].concat();
        for value in sent {
            let content = [&[6], b"config".as_slice(), value.as_bytes()].concat();
            body.extend_from_slice(&(content.len() as u32).to_be_bytes());
            body.extend_from_slice(&content);
        }
        message("application/octet-stream", &body)
    }

    async fn serve(&self, mut stream: net::TcpStream) {
        let mut request = vec![0; 4096];
        while let Ok(size) = stream.read(&mut request).await
            && size > 0
        {
            if self.closes.load(atomic::Ordering::Relaxed) {
                return;
            }
            let text = String::from_utf8_lossy(&request[..size]).into_owned();
            let answer = if text.contains("/log-newest") {
                self.newest()
            } else {
                tokio::time::sleep(self.answer_time).await;
                let from = parameter(&text, "from=").unwrap_or(0);
                let wait = parameter(&text, "wait-ms=").unwrap_or(0);
                self.wait_for_record(from, time::Duration::from_millis(wait as u64))
                    .await;
                if self.closes.load(atomic::Ordering::Relaxed) {
                    return;
                }
                let max_size = parameter(&text, "max-size=").unwrap_or(DEFAULT_MAX_SIZE);
                let answer = self.appended(from, max_size);
                // The head arrives before the body.
                let (head, body) = answer.split_at(head_size(&answer));
                if stream.write_all(head).await.is_err() {
                    return;
                }
                tokio::time::sleep(self.byte_time * answer.len() as u32).await;
                body.to_vec()
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}

fn message(content_type: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn head_size(answer: &[u8]) -> usize {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n");
    end.expect("an answer has a head") + 4
}

/// Number that follows `name` in a request.
fn parameter(request: &str, name: &str) -> Option<usize> {
    let (_, rest) = request.split_once(name)?;
    let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn configuration(version: usize) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[]}}"#)
}

fn padded(value: &str) -> String {
    [value, &" ".repeat(LARGE)].concat()
}

fn large_configuration(version: usize) -> String {
    padded(&configuration(version))
}

/// Daemon that reads a topic of a store, and has loaded the only configuration.
struct Reader {
    log: sync::Arc<Log>,
    mirrors: sync::Arc<mirrors::Mirrors>,
    core: sync::Arc<core::Core>,
    topic: store::Topic,
}

impl Reader {
    async fn start(answer_time: time::Duration) -> Self {
        Self::start_at(store::Topic::Operators, answer_time, time::Duration::ZERO).await
    }

    async fn start_at(
        topic: store::Topic,
        answer_time: time::Duration,
        byte_time: time::Duration,
    ) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let log = sync::Arc::new(Log {
            values: sync::Mutex::new(vec![configuration(1)]),
            sent: sync::Mutex::default(),
            answer_time,
            byte_time,
            closes: atomic::AtomicBool::new(false),
        });
        let served = sync::Arc::clone(&log);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let log = sync::Arc::clone(&served);
                tokio::spawn(async move { log.serve(stream).await });
            }
        });
        let (mirrors, core) = common::new_mirrors_and_core();
        let mut settings = basilgrade_edge::settings::Settings::clone(&core.settings.load());
        settings.store = address;
        core.reload(settings);
        let mirrors = sync::Arc::new(mirrors);
        let reader =
            reader::TopicReader::new(sync::Arc::clone(&core), sync::Arc::clone(&mirrors), topic);
        tokio::spawn(reader.run());
        let daemon = Self {
            log,
            mirrors,
            core,
            topic,
        };
        daemon.reach_end().await;
        daemon
    }

    fn version(&self) -> Option<u64> {
        let view = self.core.view.load();
        view.configuration.as_ref().map(|known| known.version)
    }

    /// Waits until the whole log has been read.
    async fn reach_end(&self) {
        let end = self.log.len() as u64;
        let is_behind = || {
            let position = self.mirrors.position(self.topic);
            position.is_none_or(|position| position.offset < end)
        };
        wait_while(is_behind).await;
    }

    /// Waits until the whole log has been read and `version` is in force.
    async fn reach(&self, version: u64) {
        self.reach_end().await;
        wait_while(|| self.version() != Some(version)).await;
    }
}

async fn wait_while(is_waiting: impl Fn() -> bool) {
    let waiting = async {
        while is_waiting() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let limit = time::Duration::from_secs(10);
    let outcome = tokio::time::timeout(limit, waiting).await;
    outcome.expect("what is waited for happens in time");
}

/// Guards against a configuration that arrives seconds late, as a daemon gives up its read of the store
/// when another one that is behind begins to read for it.
#[tokio::test(flavor = "multi_thread")]
async fn read_under_way_is_completed_when_another_daemon_begins_to_read() {
    let answer_time = time::Duration::from_millis(400);
    let daemon = Reader::start(answer_time).await;
    wait_while(|| daemon.version() != Some(1)).await;
    daemon.log.append([configuration(2)]);
    // The first read after the load waits until the daemon has had time to find its reader.
    tokio::time::sleep(time::Duration::from_millis(1700)).await;
    assert_eq!(
        daemon.version(),
        Some(1),
        "the read has ended too early for this test"
    );

    daemon
        .mirrors
        .set_reader(false, "another daemon reads the store");
    tokio::time::sleep(answer_time * 2).await;

    assert_eq!(daemon.version(), Some(2));
}

/// Guards against a daemon that reads each configuration of a storm before the one in force.
#[tokio::test(flavor = "multi_thread")]
async fn newest_configuration_is_read_without_those_it_replaces() {
    let daemon = Reader::start(time::Duration::ZERO).await;

    daemon.log.append((2..=20).map(large_configuration));
    daemon.reach(20).await;

    let sent = *daemon.log.sent.lock().expect("no holder panics");
    assert!(sent < 3 * LARGE, "{sent} bytes were read");
}

/// Guards against an unreadable configuration that hides a newer one than that in force.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_before_unreadable_ones_is_applied() {
    let daemon = Reader::start(time::Duration::ZERO).await;

    daemon.log.append((2..=9).map(large_configuration));
    daemon.log.append((0..9).map(|_| padded("?")));

    daemon.reach(9).await;
}

/// Guards against a daemon that reads for others although no configuration reaches it, as its reads of
/// small registrations succeed.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_configurations_does_not_read_for_others() {
    let daemon = Reader::start(time::Duration::ZERO).await;
    assert!(daemon.mirrors.is_every_topic_readable());

    daemon.log.closes.store(true, atomic::Ordering::Relaxed);
    wait_while(|| daemon.mirrors.is_store_reachable()).await;
    daemon.mirrors.record_store_answer(store::Topic::Upstreams);

    assert!(daemon.mirrors.is_store_reachable());
    assert!(!daemon.mirrors.is_every_topic_readable());
}

/// Guards against a daemon that does not read for others until the long poll of a topic ends that has
/// failed before.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_reads_for_others_soon_after_a_failed_read() {
    let topic = store::Topic::Daemons;
    let none = time::Duration::ZERO;
    let daemon = Reader::start_at(topic, none, none).await;

    daemon.log.closes.store(true, atomic::Ordering::Relaxed);
    wait_while(|| daemon.mirrors.is_store_reachable()).await;
    daemon.log.closes.store(false, atomic::Ordering::Relaxed);
    let failed_at = time::Instant::now();
    wait_while(|| !daemon.mirrors.is_every_topic_readable()).await;

    let span = failed_at.elapsed();
    assert!(span < time::Duration::from_secs(5), "{span:?}");
}

/// Guards against followers that wait for a configuration while its transfer to their reader takes
/// longer than a read may that fails.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_does_not_read_for_others_during_a_slow_transfer() {
    let topic = store::Topic::Operators;
    let byte_time = time::Duration::from_micros(28);
    let daemon = Reader::start_at(topic, time::Duration::ZERO, byte_time).await;
    wait_while(|| daemon.version() != Some(1)).await;

    // The store sends no record that is larger than the limit.
    let value = [configuration(2), " ".repeat(50 << 10)].concat();
    daemon.log.append([value]);
    wait_while(|| daemon.mirrors.is_every_topic_readable()).await;
    let version = daemon.version();
    wait_while(|| !daemon.mirrors.is_every_topic_readable()).await;

    assert_eq!(version, Some(1));
    assert_eq!(daemon.version(), Some(2));
}

/// Guards against a daemon that never catches up on registrations, as an answer with all that its link
/// takes a second for exceeds the time-out, and the read starts anew.
#[tokio::test(flavor = "multi_thread")]
async fn many_missed_registrations_are_read_over_a_busy_link() {
    let byte_time = time::Duration::from_micros(1);
    let topic = store::Topic::Upstreams;
    let daemon = Reader::start_at(topic, time::Duration::ZERO, byte_time).await;

    daemon.log.append((2..=20).map(large_configuration));

    daemon.reach_end().await;
}
