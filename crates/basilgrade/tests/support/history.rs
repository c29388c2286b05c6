//! What callers sent and received, and what must hold of it.

use std::fmt;

use basilgrade_standins::caller;

/// One call of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The request key.
    pub(crate) key: String,
    /// Position of the daemon that it was sent to.
    pub(crate) daemon: usize,
    /// The response, or why there is none.
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
            Err(reason) => write!(f, "key={} daemon={} {reason}", self.key, self.daemon),
        }
    }
}

/// Checks all calls with one key against the number of executions and returns what is wrong.
///
/// A key runs at most once; a key whose calls were all refused as not run did not run; a key with
/// an answer ran, and every answer is the expected one.
pub(crate) fn check(calls: &[Call], executions: usize, expected: &[u8]) -> Vec<String> {
    let mut wrong = Vec::new();
    if executions > 1 {
        wrong.push(format!("ran {executions} times"));
    }
    let verdict = |call: &Call| match &call.response {
        Ok(response) => response.verdict.clone(),
        Err(_) => "may-have-run".to_owned(),
    };
    if executions > 0 && calls.iter().all(|call| verdict(call) == "not-run") {
        wrong.push("ran although every call was refused as not run".to_owned());
    }
    for call in calls.iter().filter(|call| verdict(call) == "ran") {
        if executions == 0 {
            wrong.push("an answer although nothing ran".to_owned());
        }
        if let Ok(response) = &call.response
            && response.body != expected
        {
            wrong.push("the answer of another request".to_owned());
        }
    }
    if wrong.is_empty() {
        return wrong;
    }
    wrong.extend(calls.iter().map(ToString::to_string));
    wrong
}
