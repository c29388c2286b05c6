//! The log client against the stand-in.

use basilgrade_platform::error;
use basilgrade_platform::http;
use basilgrade_platform::log_service::LogService;
use basilgrade_platform::stream_reader;
use basilgrade_standins::fault;
use basilgrade_standins::platform;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::size;
use futures::TryStreamExt;

/// Far more than any test needs, so that no test depends on the speed of the machine.
const LONG: clock::Millis = clock::Millis::from_secs(120);

async fn platform() -> platform::Platform {
    platform::start(platform::Options::default())
        .await
        .expect("free port")
}

fn settings() -> http::Settings {
    http::Settings {
        connect_timeout: LONG,
        call_timeout: LONG,
        ..http::Settings::default()
    }
}

fn log(platform: &platform::Platform) -> http::HttpLog {
    http::HttpLog::new(platform.server.address, settings())
}

/// Guards against records that are changed, lost or reordered between append and read.
#[tokio::test]
async fn records_are_read_as_appended() {
    let platform = platform().await;
    let log = log(&platform);
    let bodies = ["{\"a\":1}", "é\n\"", ""];

    for body in bodies {
        log.append("config", body.into()).await.expect("appended");
    }
    let batch = log.read("config", offset::Offset(0), 10).await;

    let batch = batch.expect("batch");
    let read: Vec<_> = batch
        .records
        .iter()
        .map(|record| &record.body[..])
        .collect();
    assert_eq!(read, bodies.map(str::as_bytes));
    assert_eq!(batch.next, offset::Offset(3));
}

/// Guards against an append that is reported as not done although the record is in the log, which
/// would make a publisher append it twice.
#[tokio::test]
async fn the_outcome_of_an_append_never_denies_a_record() {
    let truncated = fault::Fault::Truncated;
    let raw = |text: &'static str| fault::Fault::Raw(text.into());
    let faults = [
        (fault::Fault::Reset, "unknown"),
        (fault::Fault::RunReset, "unknown"),
        (truncated, "unknown"),
        (fault::Fault::Status(500), "unknown"),
        (fault::Fault::Dead, "unknown"),
        (
            raw("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"),
            "unknown",
        ),
        (raw("HTTP/1.1 200 OK\r\n\r\n{\"offset\":1}"), "unknown"),
        (raw("nonsense"), "unknown"),
        (fault::Fault::NotRun, "not appended"),
        (fault::Fault::None, "appended"),
    ];
    for (fault, expected) in faults {
        let platform = platform().await;
        let log = log(&platform);
        platform.log_faults.push(fault.clone());

        let result = log.append("control", "record".into()).await;

        let found = match result {
            Ok(_) => "appended",
            Err(error::AppendError::NotAppended(_)) => "not appended",
            Err(error::AppendError::Unknown(_)) => "unknown",
        };
        let records = platform.bodies("control").len();
        assert_eq!(found, expected, "{fault:?}");
        assert!(found != "not appended" || records == 0, "{fault:?}");
        assert!(found != "appended" || records == 1, "{fault:?}");
        assert!(records <= 1, "{fault:?}: the record was sent twice");
    }
}

/// Guards against an outage that leaves the outcome open although nothing was sent.
#[tokio::test]
async fn an_append_to_a_closed_port_is_not_done() {
    let platform = platform().await;
    let log = log(&platform);
    platform.server.set_fault(fault::Fault::Dead).await;

    let during = log.append("config", "a".into()).await;
    platform.server.set_fault(fault::Fault::None).await;
    let after = log.append("config", "b".into()).await;

    assert!(matches!(during, Err(error::AppendError::NotAppended(_))));
    assert_eq!(after, Ok(offset::Offset(0)));
}

/// Guards against a wait without end when the log accepts an append and never answers.
#[tokio::test]
async fn an_append_without_answer_ends_in_an_unknown_outcome() {
    let platform = platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            connect_timeout: LONG,
            call_timeout: clock::Millis(200),
            ..http::Settings::default()
        },
    );
    platform.log_faults.set(fault::Fault::Hang);

    let result = log.append("config", "a".into()).await;

    // On a very slow machine even the connection may take all of the time.
    assert!(result.is_err());
    assert!(platform.bodies("config").is_empty());
}

/// Guards against a late answer that is taken for a record that was not appended.
#[tokio::test]
async fn an_append_answered_late_has_an_unknown_outcome() {
    let platform = platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            connect_timeout: LONG,
            call_timeout: clock::Millis(200),
            ..http::Settings::default()
        },
    );
    platform.log_faults.set(fault::Fault::Late(LONG));

    let result = log.append("config", "a".into()).await;

    // On a very slow machine the time may end before the record was sent.
    match result {
        Err(error::AppendError::Unknown(_)) => {}
        Err(error::AppendError::NotAppended(_)) => assert!(platform.bodies("config").is_empty()),
        Ok(offset) => panic!("offset {offset} without an answer"),
    }
}

/// Guards against a rate limit that is taken for an open outcome.
#[tokio::test]
async fn an_append_over_the_rate_is_not_done() {
    let options = platform::Options {
        append_rate: 1,
        ..platform::Options::default()
    };
    let platform = platform::start(options).await.expect("free port");
    let log = log(&platform);
    let mut done = 0;
    let mut refused = 0;

    while refused == 0 && done < 1000 {
        match log.append("config", "a".into()).await {
            Ok(_) => done += 1,
            Err(error::AppendError::NotAppended(_)) => refused += 1,
            Err(error) => panic!("{error}"),
        }
    }

    assert_eq!(refused, 1);
    assert_eq!(platform.bodies("config").len(), done);
}

/// Guards against a record that the platform would refuse only after it was sent.
#[tokio::test]
async fn invalid_records_and_streams_are_not_sent() {
    let platform = platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            max_record: size::ByteCount(4),
            ..settings()
        },
    );

    let binary = log.append("config", vec![0xff].into()).await;
    let large = log.append("config", "12345".into()).await;
    let stream = log.append("a/b?c", "1".into()).await;

    for result in [binary, large, stream] {
        assert!(matches!(result, Err(error::AppendError::NotAppended(_))));
    }
    assert!(platform.server.executions.all().is_empty());
}

/// Guards against a reader that skips expired records without noticing.
#[tokio::test]
async fn a_read_past_retention_names_the_first_offset() {
    let platform = platform().await;
    let log = log(&platform);
    for number in 0..10 {
        platform.append("config", &number.to_string());
    }
    platform.expire("config", 4);

    let expired = log.read("config", offset::Offset(3), 10).await;
    let retained = log.read("config", offset::Offset(4), 10).await;

    assert_eq!(expired, Err(error::ReadError::Expired(offset::Offset(4))));
    assert_eq!(retained.expect("batch").records.len(), 6);
}

/// Guards against a long read that skips or repeats records at the border of batches.
#[tokio::test]
async fn a_long_read_returns_each_record_once() {
    let platform = platform().await;
    let log = log(&platform);
    for number in 0..257 {
        platform.append("config", &number.to_string());
    }

    let batches: Vec<_> = stream_reader::read_batches(&log, "config", offset::Offset(0), 50)
        .try_collect()
        .await
        .expect("batches");

    assert!(batches.iter().all(|batch| batch.records.len() <= 50));
    let offsets = batches.iter().flat_map(|batch| &batch.records);
    assert!(offsets.map(|record| record.offset.0).eq(0..257));
}

/// Guards against a reader that is stuck because a batch of large records exceeds the limit.
#[tokio::test]
async fn a_batch_over_the_limit_is_read_in_smaller_ones() {
    let platform = platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            max_body: size::ByteCount(1000),
            ..settings()
        },
    );
    for _ in 0..8 {
        platform.append("config", &"x".repeat(400));
    }
    platform.append("config", &"x".repeat(2000));

    let fitting = log.read("config", offset::Offset(0), 8).await;
    let too_large = log.read("config", offset::Offset(8), 8).await;

    assert_eq!(fitting.expect("batch").records.len(), 2);
    assert!(matches!(too_large, Err(error::ReadError::Malformed(_))));
}

/// Guards against a gap or a repeated record in an answer being taken for the log's content.
#[tokio::test]
async fn answers_with_wrong_offsets_are_malformed() {
    let record = |offset: &u64| format!("{{\"offset\":{offset},\"body\":\"b\"}}");
    let page = |first: u64, next: u64, offsets: &[u64]| {
        let records: Vec<_> = offsets.iter().map(record).collect();
        let body = format!(
            "{{\"first\":{first},\"next\":{next},\"records\":[{}]}}",
            records.join(",")
        );
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        fault::Fault::Raw((head + &body).into())
    };
    let platform = platform().await;
    let log = log(&platform);
    let pages = [
        page(0, 7, &[5, 7]),
        page(0, 7, &[5, 5]),
        page(0, 6, &[4, 5]),
        page(0, 9, &[5, 6]),
        page(0, 4, &[]),
        page(0, 8, &[5, 6, 7]),
        page(0, 0, &[u64::MAX]),
    ];
    for page in pages {
        platform.log_faults.push(page.clone());

        let result = log.read("config", offset::Offset(5), 2).await;

        let malformed = matches!(result, Err(error::ReadError::Malformed(_)));
        assert!(malformed, "{page:?}: {result:?}");
    }
}
