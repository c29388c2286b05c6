//! History of calls with idempotency keys, and the check that each key ran at most once.

use std::fmt;

use basilgrade_standins::caller;

/// One request that a caller sent with an idempotency key, and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The idempotency key.
    pub(crate) key: String,
    /// Index of the daemon that received the request.
    pub(crate) daemon: usize,
    /// The response, or the error that the caller saw instead.
    pub(crate) response: Result<caller::Response, String>,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.response {
            Ok(response) => write!(
                f,
                "key={} daemon={} status={} verdict={}",
                self.key, self.daemon, response.status, response.verdict
            ),
            Err(error) => write!(f, "key={} daemon={} error={error}", self.key, self.daemon),
        }
    }
}

/// Checks all calls with one idempotency key against the number of executions of that key and
/// returns the violations, followed by the calls.
///
/// A key must run at most once. A key whose calls all got the verdict `not-run` must not have run.
/// A key with a call whose verdict is `ran` must have run, and the body of each such answer must be
/// `expected`.
pub(crate) fn find_violations(calls: &[Call], executions: usize, expected: &[u8]) -> Vec<String> {
    let mut violations = Vec::new();
    if executions > 1 {
        violations.push(format!("the key ran {executions} times"));
    }
    let verdict = |call: &Call| match &call.response {
        Ok(response) => response.verdict.clone(),
        Err(_) => "may-have-run".to_owned(),
    };
    if executions > 0 && calls.iter().all(|call| verdict(call) == "not-run") {
        violations.push("the key ran although every call got the verdict `not-run`".to_owned());
    }
    for call in calls.iter().filter(|call| verdict(call) == "ran") {
        if executions == 0 {
            violations.push("a call got the verdict `ran` although the key did not run".to_owned());
        }
        if let Ok(response) = &call.response
            && response.body != expected
        {
            violations.push("a call got the answer of another request".to_owned());
        }
    }
    if violations.is_empty() {
        return violations;
    }
    violations.extend(calls.iter().map(ToString::to_string));
    violations
}
