//! Publishing a configuration.

pub mod error;
pub mod published;

use std::time;

use basilgrade_config as config;
use basilgrade_config::limits;
use basilgrade_config::model::deployment;
use basilgrade_journal::config_record;
use basilgrade_journal::publication;
use basilgrade_journal::stream;
use basilgrade_platform::error as platform_error;
use basilgrade_platform::log_service;
use basilgrade_types::revision;

use crate::stream::Stream;

/// How long the outcome is awaited; longer than the 9 s within which a configuration
/// is in force everywhere.
pub const OUTCOME_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The time between two reads.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Publishes a configuration and waits until its outcome is in the log.
///
/// The record is appended once. If the answer to the append is lost, the outcome is read from the
/// log; nothing is appended again.
///
/// # Errors
///
/// If the configuration is not in force afterwards, or nobody knows.
pub async fn publish(
    log: &dyn log_service::LogService,
    deployment: &deployment::Deployment,
    base: Option<revision::Revision>,
) -> Result<published::Published, error::PublishError> {
    let text = canonical(deployment)?;
    let mut stream = Stream::default();
    stream
        .catch_up(log)
        .await
        .map_err(error::PublishError::Read)?;
    let revision = stream.revision();
    if base.is_some_and(|base| base != revision) {
        return Err(error::PublishError::Lost(revision));
    }
    check_name(&stream, deployment)?;
    if stream.text() == text {
        return Ok(published::Published::Unchanged(revision));
    }
    let id = uuid::Uuid::now_v7();
    let change = smaller(stream.text(), text);
    let (mut publication, body) = publication::Publication::new(id, revision, change);
    let appended = match log.append(stream::CONFIG, body).await {
        Ok(offset) => publication::AppendResult::Stored(offset),
        Err(platform_error::AppendError::NotAppended(reason)) => {
            return Err(error::PublishError::NotAppended(reason));
        }
        Err(platform_error::AppendError::Unknown(_)) => publication::AppendResult::Unknown,
    };
    publication.appended(appended);
    let resolved =
        tokio::time::timeout(OUTCOME_TIMEOUT, resolve(log, &mut stream, &publication)).await;
    match resolved {
        Ok(publication::Outcome::Accepted(revision)) => Ok(published::Published::InForce(revision)),
        Ok(publication::Outcome::Conflict(revision)) => Err(error::PublishError::Lost(revision)),
        Ok(publication::Outcome::Rejected(revision)) => {
            Err(error::PublishError::Rejected(revision))
        }
        // The time is up, or the stream has moved on too far.
        _ => Err(error::PublishError::Unknown(id, revision)),
    }
}

/// The text to publish, checked to say the same as the configuration.
///
/// # Errors
///
/// If the text is too long for the log, or does not say the same.
pub fn canonical(deployment: &deployment::Deployment) -> Result<String, error::PublishError> {
    let text = config::print(deployment);
    if text.len() > limits::PUBLISHED_BYTES {
        return Err(error::PublishError::TooLong(text.len()));
    }
    match config::parse(&text, "canonical text") {
        Ok(again) if again == *deployment => Ok(text),
        _ => Err(error::PublishError::Print),
    }
}

/// Refuses to replace one deployment's configuration by another's.
fn check_name(
    stream: &Stream,
    deployment: &deployment::Deployment,
) -> Result<(), error::PublishError> {
    // A text in force that cannot be read has to be replaceable.
    match config::parse(stream.text(), "") {
        Ok(old) if old.name != deployment.name => Err(error::PublishError::Name(
            old.name.to_string(),
            deployment.name.to_string(),
        )),
        _ => Ok(()),
    }
}

/// A delta, unless the whole text is smaller.
fn smaller(old: &str, new: String) -> config_record::Change {
    let delta = config::delta(old, &new);
    if delta.len() < new.len() {
        config_record::Change::Delta(delta)
    } else {
        config_record::Change::Text(new)
    }
}

/// Reads the log until the outcome is known.
async fn resolve(
    log: &dyn log_service::LogService,
    stream: &mut Stream,
    publication: &publication::Publication,
) -> publication::Outcome {
    loop {
        // A log that cannot be read now may be readable in time.
        let read = stream.catch_up(log).await;
        let outcome = stream.outcome(publication);
        if read.is_ok() && outcome != publication::Outcome::Pending {
            return outcome;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
