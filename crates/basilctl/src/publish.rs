//! Publishes configurations through the log of the platform.

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

/// How long to wait for the outcome of a publication. It exceeds the 9 s within which a published
/// configuration is in force on all daemons.
pub const OUTCOME_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The time between two reads of the log while waiting for the outcome.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Publishes a configuration and waits until the log shows the outcome.
///
/// The record is appended only once. If the response to the append is lost, the log is read to
/// determine the outcome instead of appending the record again.
///
/// # Errors
///
/// If the configuration did not become the one in force, or the outcome is unknown.
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
    check_deployment_name(&stream, deployment)?;
    if stream.text() == text {
        return Ok(published::Published::Unchanged(revision));
    }
    let id = uuid::Uuid::now_v7();
    let change = smaller_change(stream.text(), text);
    let (mut publication, body) = publication::Publication::new(id, revision, change);
    let appended = match log.append(stream::CONFIG, body).await {
        Ok(offset) => publication::AppendResult::Stored(offset),
        Err(platform_error::AppendError::NotAppended(reason)) => {
            return Err(error::PublishError::NotAppended(reason));
        }
        Err(platform_error::AppendError::Unknown(_)) => publication::AppendResult::Unknown,
    };
    publication.appended(appended);
    let outcome_result = tokio::time::timeout(
        OUTCOME_TIMEOUT,
        wait_for_outcome(log, &mut stream, &publication),
    )
    .await;
    match outcome_result {
        Ok(publication::Outcome::Accepted(revision)) => Ok(published::Published::InForce(revision)),
        Ok(publication::Outcome::Conflict(revision)) => Err(error::PublishError::Lost(revision)),
        Ok(publication::Outcome::Rejected(revision)) => {
            Err(error::PublishError::Rejected(revision))
        }
        // The wait timed out, or the log does not show which publication created the revision.
        _ => Err(error::PublishError::Unknown(id, revision)),
    }
}

/// The canonical text of a configuration, verified to parse as an equal configuration.
///
/// # Errors
///
/// If the text is longer than [`limits::PUBLISHED_BYTES`], or does not parse as an equal
/// configuration.
pub fn canonical(deployment: &deployment::Deployment) -> Result<String, error::PublishError> {
    let text = config::print(deployment);
    if text.len() > limits::PUBLISHED_BYTES {
        return Err(error::PublishError::TooLong(text.len()));
    }
    match config::parse(&text, "canonical text") {
        Ok(parsed) if parsed == *deployment => Ok(text),
        _ => Err(error::PublishError::Print),
    }
}

/// Returns an error if the configuration in force is that of another deployment.
fn check_deployment_name(
    stream: &Stream,
    deployment: &deployment::Deployment,
) -> Result<(), error::PublishError> {
    // An invalid configuration in force passes the check, so that operators can replace it.
    match config::parse(stream.text(), "") {
        Ok(old) if old.name != deployment.name => Err(error::PublishError::Name(
            old.name.to_string(),
            deployment.name.to_string(),
        )),
        _ => Ok(()),
    }
}

/// The smaller of a delta and the whole new text.
fn smaller_change(old: &str, new: String) -> config_record::Change {
    let delta = config::delta(old, &new);
    if delta.len() < new.len() {
        config_record::Change::Delta(delta)
    } else {
        config_record::Change::Text(new)
    }
}

/// Reads the log until it shows the outcome of the publication.
async fn wait_for_outcome(
    log: &dyn log_service::LogService,
    stream: &mut Stream,
    publication: &publication::Publication,
) -> publication::Outcome {
    loop {
        // A failed read is repeated, because the log may be available again before the timeout.
        let read = stream.catch_up(log).await;
        let outcome = stream.outcome(publication);
        if read.is_ok() && outcome != publication::Outcome::Pending {
            return outcome;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
