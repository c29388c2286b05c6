//! Publishing against a log that fails, in virtual time.

use basilctl::code::Code;
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

use common::Append;

const FIRST: revision::Revision = revision::Revision(1);
const SECOND: revision::Revision = revision::Revision(2);

/// A log with the example as revision 1.
async fn log_with_example() -> common::MemoryLog {
    let log = common::MemoryLog::default();
    let published = publish(&log, &common::example("birrete"), None).await;
    assert_eq!(published, Ok(Published::InForce(FIRST)));
    log
}

async fn text_in_force(log: &common::MemoryLog) -> String {
    let mut stream = Stream::default();
    stream.catch_up(log).await.expect("the log is readable");
    stream.text().to_owned()
}

/// Guards against a change that sends the whole text, or gives another text than the file.
#[tokio::test(start_paused = true)]
async fn a_change_is_published_as_delta() {
    let log = log_with_example().await;
    let new = common::changed("birrete", 81);

    let published = publish(&log, &new, Some(FIRST)).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(text_in_force(&log).await, config::print(&new));
    assert!(log.last().len() < 600, "{:?}", log.last());
}

/// Guards against revisions that change nothing.
#[tokio::test(start_paused = true)]
async fn the_same_configuration_is_not_published_again() {
    let log = log_with_example().await;

    let published = publish(&log, &common::example("birrete"), None).await;

    assert_eq!(published, Ok(Published::Unchanged(FIRST)));
    assert_eq!(log.appends(), 1);
}

/// Guards against a second append after the answer to the first was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back() {
    let log = log_with_example().await;
    log.fail_append(Append::AnswerLost);

    let published = publish(&log, &common::changed("birrete", 81), None).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(log.appends(), 2);
}

/// Guards against an append in vain that is reported as success or as certain failure.
#[tokio::test(start_paused = true)]
async fn an_outcome_that_does_not_show_is_unknown() {
    let log = log_with_example().await;
    log.fail_append(Append::Lost);

    let error = publish(&log, &common::changed("birrete", 81), None)
        .await
        .expect_err("the record is not in the log");

    assert!(matches!(error, PublishError::Unknown(_, FIRST)), "{error}");
    assert_eq!(error.code(), Code::Unknown);
    assert_eq!(log.appends(), 2);
}

/// Guards against two publishers who both believe that they have won.
#[tokio::test(start_paused = true)]
async fn the_second_of_two_publishers_is_told() {
    let log = log_with_example().await;
    let competing = config::print(&common::changed("birrete", 99));
    let change = config_record::Change::Text(competing.clone());
    let (_, body) = publication::Publication::new(uuid::Uuid::now_v7(), FIRST, change);
    log.set_competing(body);
    log.fail_append(Append::Second);

    let error = publish(&log, &common::changed("birrete", 81), None).await;

    assert_eq!(error, Err(PublishError::Lost(SECOND)));
    assert_eq!(text_in_force(&log).await, competing);
}

/// Guards against an outcome that is given up because the log is down for a while after the append.
#[tokio::test(start_paused = true)]
async fn an_outage_after_the_append_is_waited_out() {
    let log = log_with_example().await;
    let new = common::changed("birrete", 81);
    log.fail_append(Append::BeforeOutage);

    let published = publish(&log, &new, None).await;

    assert_eq!(published, Ok(Published::InForce(SECOND)));
    assert_eq!(log.appends(), 2);
    assert_eq!(text_in_force(&log).await, config::print(&new));
}

/// Guards against appends on a base that the operator did not mean, or without knowing the base.
#[tokio::test(start_paused = true)]
async fn nothing_is_appended_without_the_right_base() {
    let log = log_with_example().await;
    let new = common::changed("birrete", 81);

    let other = publish(&log, &new, Some(SECOND)).await;
    log.fail_reads(1);
    let unread = publish(&log, &new, None).await;
    let name = publish(&log, &common::example("adwenkor"), None).await;

    assert_eq!(other, Err(PublishError::Lost(FIRST)));
    assert_eq!(unread.map_err(|error| error.code()), Err(Code::Unreachable));
    assert_eq!(name.map_err(|error| error.code()), Err(Code::Problem));
    assert_eq!(log.appends(), 1);
}

/// Guards against a refused append that is waited for.
#[tokio::test(start_paused = true)]
async fn a_refused_append_is_reported_at_once() {
    let log = log_with_example().await;
    log.fail_append(Append::Refused);

    let error = publish(&log, &common::changed("birrete", 81), None).await;

    assert_eq!(error.map_err(|error| error.code()), Err(Code::Unreachable));
}

/// Guards against a text that is accepted and later fits no snapshot.
#[tokio::test(start_paused = true)]
async fn a_text_that_fits_no_snapshot_is_refused() {
    let log = log_with_example().await;
    let mut large = common::example("birrete");
    let customer = large.customers[0].clone();
    for number in 0..20_000 {
        let mut more = customer.clone();
        more.id = format!("organiser-{number}")
            .parse()
            .expect("the name is valid");
        large.customers.insert(more.id.clone(), more);
    }

    let error = publish(&log, &large, None).await;

    assert!(matches!(error, Err(PublishError::TooLong(_))), "{error:?}");
    assert_eq!(log.appends(), 1);
}

/// Guards against a bound on texts whose snapshot is larger than the platform's client sends.
#[test]
fn the_longest_text_fits_a_record() {
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
