//! Histories of simulations, and the safety predicates that they have to satisfy.

use std::collections::BTreeMap;
use std::fmt;

use basilgrade_claims::decision::Decision;
use todc_utils::Action;
use todc_utils::History as Actions;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// One event of a request, which makes one attempt to claim its key.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller sent the request to a VM; `body` tells which of two bodies it has.
    Called {
        vm: usize,
        body: bool,
    },
    Decided {
        decision: Decision,
    },
    /// The upstream executed the call.
    Executed {
        body: bool,
    },
    /// The upstream answered that it did not execute the call.
    NotExecuted,
    /// The caller received its answer.
    Answered {
        verdict: &'static str,
    },
}

/// The events of a simulation in order of time: time, key, attempt and event.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) events: Vec<(u64, usize, u128, Event)>,
}

impl History {
    pub(crate) fn add(&mut self, now: u64, key: usize, attempt: u128, event: Event) {
        self.events.push((now, key, attempt, event));
    }

    /// Returns the first key whose events violate a predicate, and the predicate.
    pub(crate) fn violation(&self) -> Option<(usize, String)> {
        let mut keys: BTreeMap<usize, Vec<&(u64, usize, u128, Event)>> = BTreeMap::new();
        for event in &self.events {
            keys.entry(event.1).or_default().push(event);
        }
        keys.into_iter()
            .find_map(|(key, events)| Some((key, check_key(&events)?)))
    }

    /// Counts the requests by verdict.
    pub(crate) fn verdicts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for (.., event) in &self.events {
            if let Event::Answered { verdict } = event {
                *counts.entry(*verdict).or_insert(0) += 1;
            }
        }
        counts
    }

    pub(crate) fn for_key(&self, key: usize) -> Self {
        let events = self.events.iter().filter(|event| event.1 == key);
        Self {
            events: events.cloned().collect(),
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, key, attempt, event) in &self.events {
            writeln!(
                f,
                "{at:>8} key={key} attempt={:08x} {event:?}",
                attempt >> 96
            )?;
        }
        Ok(())
    }
}

/// Returns the predicate that the events of one key violate, if any.
fn check_key(events: &[&(u64, usize, u128, Event)]) -> Option<String> {
    let mut executed = Vec::new();
    let mut refused = Vec::new();
    let mut decided = Vec::new();
    for (_, _, attempt, event) in events {
        match event {
            Event::Executed { body } => {
                if !executed.is_empty() {
                    return Some("the key ran twice".into());
                }
                executed.push((*attempt, *body));
            }
            Event::Decided { .. } if decided.contains(attempt) => {
                return Some("an attempt was decided twice".into());
            }
            Event::Decided { decision } => {
                decided.push(*attempt);
                if let Decision::Answered(answer) = decision {
                    let ran: Vec<u128> = executed.iter().map(|(attempt, _)| *attempt).collect();
                    if !ran
                        .iter()
                        .any(|attempt| answer[..] == attempt.to_le_bytes())
                    {
                        return Some(
                            "a stored answer differs from the answer of the execution".into(),
                        );
                    }
                }
            }
            Event::Answered { verdict: "not-run" } => refused.push(*attempt),
            _ => {}
        }
    }
    if executed
        .iter()
        .any(|(attempt, _)| refused.contains(attempt))
    {
        return Some("a request answered `not run` was run".into());
    }
    (!is_linearizable(events)).then(|| "the key is not a linearizable register".into())
}

/// The effect of a request on its key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operation {
    Execute(u128),
    ReadAnswer(u128),
}

/// The sequential specification of a key: a register that can be written once.
struct KeyRegister;

impl Specification for KeyRegister {
    type State = Option<u128>;
    type Operation = Operation;

    fn init() -> Option<u128> {
        None
    }

    fn apply(operation: &Operation, state: &Option<u128>) -> (bool, Option<u128>) {
        match operation {
            Operation::Execute(attempt) => (state.is_none(), state.or(Some(*attempt))),
            Operation::ReadAnswer(attempt) => (*state == Some(*attempt), *state),
        }
    }
}

fn is_linearizable(events: &[&(u64, usize, u128, Event)]) -> bool {
    let mut attempts: Vec<u128> = Vec::new();
    let mut operations: BTreeMap<u128, Operation> = BTreeMap::new();
    for (_, _, attempt, event) in events {
        match event {
            Event::Called { .. } => attempts.push(*attempt),
            Event::Executed { .. } => {
                operations.insert(*attempt, Operation::Execute(*attempt));
            }
            Event::Decided {
                decision: Decision::Answered(answer),
            } => {
                let ran = u128::from_le_bytes(answer[..].try_into().expect("answer has 16 bytes"));
                operations.insert(*attempt, Operation::ReadAnswer(ran));
            }
            _ => {}
        }
    }
    let process_of = |attempt: &u128| attempts.iter().position(|known| known == attempt);
    let mut actions = Vec::new();
    let mut unanswered = operations.clone();
    for (_, _, attempt, event) in events {
        let (Some(process), Some(operation)) = (process_of(attempt), operations.get(attempt))
        else {
            continue;
        };
        match event {
            Event::Called { .. } => actions.push((process, Action::Call(*operation))),
            Event::Answered { .. } if unanswered.remove(attempt).is_some() => {
                actions.push((process, Action::Response(*operation)));
            }
            _ => {}
        }
    }
    for (attempt, operation) in unanswered {
        if let Some(process) = process_of(&attempt) {
            actions.push((process, Action::Response(operation)));
        }
    }
    actions.is_empty() || WGLChecker::<KeyRegister>::is_linearizable(Actions::from_actions(actions))
}
