//! Tests of the HTTP client of the log service against the stand-in of the platform.

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

/// Time limit or delay far above the duration of any test, so that no test depends on the speed of
/// the machine.
const LONG_DURATION: clock::Millis = clock::Millis::from_secs(120);

async fn start_platform() -> platform::Platform {
    platform::start(platform::Options::default())
        .await
        .expect("expected a free port")
}

fn settings() -> http::Settings {
    http::Settings {
        connect_timeout: LONG_DURATION,
        call_timeout: LONG_DURATION,
        ..http::Settings::default()
    }
}

fn log_client(platform: &platform::Platform) -> http::HttpLog {
    http::HttpLog::new(platform.server.address, settings())
}

/// Guards against records that are altered, lost or reordered between append and read.
#[tokio::test]
async fn records_are_read_as_appended() {
    let platform = start_platform().await;
    let log = log_client(&platform);
    let bodies = ["{\"a\":1}", "é\n\"", ""];

    for body in bodies {
        log.append("config", body.into())
            .await
            .expect("expected the record to be appended");
    }
    let batch = log.read("config", offset::Offset(0), 10).await;

    let batch = batch.expect("expected a batch of records");
    let read: Vec<_> = batch
        .records
        .iter()
        .map(|record| &record.body[..])
        .collect();
    assert_eq!(read, bodies.map(str::as_bytes));
    assert_eq!(batch.next, offset::Offset(3));
}

/// Guards against an append that is reported as not appended although the record is in the log, as
/// a publisher would then append the record twice.
#[tokio::test]
async fn append_is_never_reported_as_not_appended_if_it_was() {
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
        let platform = start_platform().await;
        let log = log_client(&platform);
        platform.log_faults.push(fault.clone());

        let result = log.append("control", "record".into()).await;

        let outcome = match result {
            Ok(_) => "appended",
            Err(error::AppendError::NotAppended(_)) => "not appended",
            Err(error::AppendError::Unknown(_)) => "unknown",
        };
        let records = platform.bodies("control").len();
        assert_eq!(outcome, expected, "{fault:?}");
        assert!(outcome != "not appended" || records == 0, "{fault:?}");
        assert!(outcome != "appended" || records == 1, "{fault:?}");
        assert!(records <= 1, "{fault:?}: the record was appended twice");
    }
}

/// Guards against an unknown outcome of an append although the connection was refused and no byte
/// was sent.
#[tokio::test]
async fn append_to_closed_port_is_not_appended() {
    let platform = start_platform().await;
    let log = log_client(&platform);
    platform.server.set_fault(fault::Fault::Dead).await;

    let during = log.append("config", "a".into()).await;
    platform.server.set_fault(fault::Fault::None).await;
    let after = log.append("config", "b".into()).await;

    assert!(matches!(during, Err(error::AppendError::NotAppended(_))));
    assert_eq!(after, Ok(offset::Offset(0)));
}

/// Guards against an append that never returns when the log service sends no response.
#[tokio::test]
async fn append_without_response_times_out() {
    let platform = start_platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            connect_timeout: LONG_DURATION,
            call_timeout: clock::Millis(200),
            ..http::Settings::default()
        },
    );
    platform.log_faults.set(fault::Fault::Hang);

    let result = log.append("config", "a".into()).await;

    // On a very slow machine, establishing the connection may use up the time limit, which gives
    // `NotAppended` instead of `Unknown`.
    assert!(result.is_err());
    assert!(platform.bodies("config").is_empty());
}

/// Guards against an append that is reported as not appended because its response is late.
#[tokio::test]
async fn append_with_late_response_has_unknown_outcome() {
    let platform = start_platform().await;
    let log = http::HttpLog::new(
        platform.server.address,
        http::Settings {
            connect_timeout: LONG_DURATION,
            call_timeout: clock::Millis(200),
            ..http::Settings::default()
        },
    );
    platform.log_faults.set(fault::Fault::Late(LONG_DURATION));

    let result = log.append("config", "a".into()).await;

    // On a very slow machine, the time limit may expire before the record is sent.
    match result {
        Err(error::AppendError::Unknown(_)) => {}
        Err(error::AppendError::NotAppended(_)) => assert!(platform.bodies("config").is_empty()),
        Ok(offset) => panic!("got offset `{offset}` although the response is late"),
    }
}

/// Guards against an append over the rate limit that is reported with an unknown outcome.
#[tokio::test]
async fn append_over_rate_limit_is_not_appended() {
    let options = platform::Options {
        append_rate: 1,
        ..platform::Options::default()
    };
    let platform = platform::start(options)
        .await
        .expect("expected a free port");
    let log = log_client(&platform);
    let mut appended = 0;
    let mut refused = 0;

    while refused == 0 && appended < 1000 {
        match log.append("config", "a".into()).await {
            Ok(_) => appended += 1,
            Err(error::AppendError::NotAppended(_)) => refused += 1,
            Err(error) => panic!("expected `NotAppended`: {error}"),
        }
    }

    assert_eq!(refused, 1);
    assert_eq!(platform.bodies("config").len(), appended);
}

/// Guards against sending a record or a stream name that the platform would refuse.
#[tokio::test]
async fn invalid_records_and_stream_names_are_not_sent() {
    let platform = start_platform().await;
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

/// Guards against a read that skips expired records without an error.
#[tokio::test]
async fn read_past_retention_returns_first_retained_offset() {
    let platform = start_platform().await;
    let log = log_client(&platform);
    for number in 0..10 {
        platform.append("config", &number.to_string());
    }
    platform.expire("config", 4);

    let expired = log.read("config", offset::Offset(3), 10).await;
    let retained = log.read("config", offset::Offset(4), 10).await;

    assert_eq!(expired, Err(error::ReadError::Expired(offset::Offset(4))));
    assert_eq!(
        retained.expect("expected a batch of records").records.len(),
        6
    );
}

/// Guards against records that are skipped or repeated between two batches.
#[tokio::test]
async fn batches_contain_each_record_once() {
    let platform = start_platform().await;
    let log = log_client(&platform);
    for number in 0..257 {
        platform.append("config", &number.to_string());
    }

    let batches: Vec<_> = stream_reader::read_batches(&log, "config", offset::Offset(0), 50)
        .try_collect()
        .await
        .expect("expected all batches of the stream");

    assert!(batches.iter().all(|batch| batch.records.len() <= 50));
    let offsets = batches.iter().flat_map(|batch| &batch.records);
    assert!(offsets.map(|record| record.offset.0).eq(0..257));
}

/// Guards against a reader that makes no progress because a batch exceeds the response limit.
#[tokio::test]
async fn oversized_batch_is_read_in_smaller_batches() {
    let platform = start_platform().await;
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

    let reduced = log.read("config", offset::Offset(0), 8).await;
    let too_large = log.read("config", offset::Offset(8), 8).await;

    assert_eq!(
        reduced
            .expect("expected a smaller batch of records")
            .records
            .len(),
        2
    );
    assert!(matches!(too_large, Err(error::ReadError::Malformed(_))));
}

/// Guards against accepting a response with missing, repeated or unrequested records.
#[tokio::test]
async fn responses_with_wrong_offsets_are_malformed() {
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
    let platform = start_platform().await;
    let log = log_client(&platform);
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
