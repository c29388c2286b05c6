//! Publishing of configurations to an in-memory log with faults, in virtual time.

use basilctl::code::ExitCode;
use basilctl::publish::error::PublishError;
use basilctl::publish::publish;
use basilctl::publish::published::Published;
use basilctl::stream::Stream;
use basilgrade_config as config;
use basilgrade_config::limits;
use basilgrade_journal::config_record;
use basilgrade_journal::encode;
use basilgrade_journal::publication;
use basilgrade_platform::http;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;

mod common;

use common::Fault;

const FIRST: revision::Revision = revision::Revision(1);
const SECOND: revision::Revision = revision::Revision(2);

/// A log with example configuration `birrete` as revision 1.
async fn log_with_example() -> common::MemoryLog {
    let log = common::MemoryLog::default();
    let published = publish(&log, &common::example("birrete"), None).await;
    assert_eq!(published, Ok(Published::InForce(FIRST)));
    log
}

async fn text_in_force(log: &common::MemoryLog) -> String {
    let mut stream = Stream::default();
    stream.catch_up(log).await.expect("the log can be read");
    stream.text().to_owned()
}

/// Guards against a small change that is published as the whole text, and against a delta that
/// results in another text than that of the file.
#[tokio::test(start_paused = true)]
async fn small_change_is_published_as_delta() {
    let log = log_with_example().await;
    let new = common::example_with_burst("birrete", 81);

    let published = publish(&log, &new, Some(FIRST)).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(text_in_force(&log).await, config::print(&new));
    assert!(log.last().len() < 600, "{:?}", log.last());
}

/// Guards against a new revision that is equal to the one in force.
#[tokio::test(start_paused = true)]
async fn configuration_in_force_is_not_published_again() {
    let log = log_with_example().await;

    let published = publish(&log, &common::example("birrete"), None).await;

    assert_eq!(published, Ok(Published::Unchanged(FIRST)));
    assert_eq!(log.appends(), 1);
}

/// Guards against a record that is appended again because the response to the append was lost.
#[tokio::test(start_paused = true)]
async fn outcome_is_read_from_log_after_lost_response() {
    let log = log_with_example().await;
    log.fail_append(Fault::ResponseLost);

    let published = publish(&log, &common::example_with_burst("birrete", 81), None).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(log.appends(), 2);
}

/// Guards against an append with an unknown outcome that is reported as success or as failure.
#[tokio::test(start_paused = true)]
async fn outcome_is_unknown_after_lost_request() {
    let log = log_with_example().await;
    log.fail_append(Fault::RequestLost);

    let error = publish(&log, &common::example_with_burst("birrete", 81), None)
        .await
        .expect_err("the record was not stored");

    assert!(matches!(error, PublishError::Unknown(_, FIRST)), "{error}");
    assert_eq!(error.exit_code(), ExitCode::Unknown);
    assert_eq!(log.appends(), 2);
}

/// Guards against two publications on the same base that are both reported as successful.
#[tokio::test(start_paused = true)]
async fn second_of_two_publications_is_a_conflict() {
    let log = log_with_example().await;
    let competing = config::print(&common::example_with_burst("birrete", 99));
    let change = config_record::Change::Text(competing.clone());
    let (_, body) = publication::Publication::new(uuid::Uuid::now_v7(), FIRST, change);
    log.set_competing(body);
    log.fail_append(Fault::AfterCompeting);

    let error = publish(&log, &common::example_with_burst("birrete", 81), None).await;

    assert_eq!(error, Err(PublishError::Lost(SECOND)));
    assert_eq!(text_in_force(&log).await, competing);
}

/// Guards against an outcome that is reported as unknown because some reads after the append fail.
#[tokio::test(start_paused = true)]
async fn reads_are_retried_after_append() {
    let log = log_with_example().await;
    let new = common::example_with_burst("birrete", 81);
    log.fail_append(Fault::StoredBeforeOutage);

    let published = publish(&log, &new, None).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(log.appends(), 2);
    assert_eq!(text_in_force(&log).await, config::print(&new));
}

/// Guards against an append although the base is not in force, the log could not be read, or the
/// configuration in force is that of another deployment.
#[tokio::test(start_paused = true)]
async fn nothing_is_appended_on_wrong_or_unknown_base() {
    let log = log_with_example().await;
    let new = common::example_with_burst("birrete", 81);

    let wrong_base = publish(&log, &new, Some(SECOND)).await;
    log.fail_reads(1);
    let unavailable_log = publish(&log, &new, None).await;
    let wrong_deployment = publish(&log, &common::example("adwenkor"), None).await;

    assert_eq!(wrong_base, Err(PublishError::Lost(FIRST)));
    assert_eq!(
        unavailable_log.map_err(|error| error.exit_code()),
        Err(ExitCode::Unreachable)
    );
    assert_eq!(
        wrong_deployment.map_err(|error| error.exit_code()),
        Err(ExitCode::Problem)
    );
    assert_eq!(log.appends(), 1);
}

/// Guards against waiting for the outcome of an append that the log refused.
#[tokio::test(start_paused = true)]
async fn refused_append_is_reported_immediately() {
    let log = log_with_example().await;
    log.fail_append(Fault::Refused);

    let error = publish(&log, &common::example_with_burst("birrete", 81), None).await;

    assert_eq!(
        error.map_err(|error| error.exit_code()),
        Err(ExitCode::Unreachable)
    );
}

/// Guards against a published text that is too long for a snapshot.
#[tokio::test(start_paused = true)]
async fn text_too_long_for_snapshot_is_rejected() {
    let log = log_with_example().await;
    let mut large = common::example("birrete");
    let customer = large.customers[0].clone();
    for number in 0..20_000 {
        let mut additional = customer.clone();
        additional.id = format!("organiser-{number}")
            .parse()
            .expect("the name is valid");
        large.customers.insert(additional.id.clone(), additional);
    }

    let error = publish(&log, &large, None).await;

    assert!(matches!(error, Err(PublishError::TooLong(_))), "{error:?}");
    assert_eq!(log.appends(), 1);
}

/// Guards against a limit on texts that permits a snapshot larger than the largest record that
/// the client of the platform appends.
#[test]
fn snapshot_of_longest_text_fits_in_record() {
    let section = "[customer a]\nrate = 1/s\nburst = 1\n\n";
    let change = config_record::ConfigRecord::Snapshot {
        revision: FIRST,
        through: offset::Offset(u64::MAX),
        at: clock::Millis::MAX,
        text: section.repeat(limits::PUBLISHED_BYTES / section.len()),
        recent: vec![(FIRST, uuid::Uuid::max()); 64],
    };

    let record = encode::json_line(&change);

    assert!(
        record.len() as u64 <= http::Settings::default().max_record.0,
        "{}",
        record.len()
    );
}
