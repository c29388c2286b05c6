//! What happened in a run, and the predicates that it has to satisfy.

use std::collections::BTreeMap;
use std::fmt;

use basilgrade_claims::decision::Decision;
use todc_utils::Action;
use todc_utils::History as Actions;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// One event of a request; a request is one attempt.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Called { vm: usize, body: bool },
    Decided { decision: Decision },
    Executed { body: bool },
    NotExecuted,
    Answered { verdict: &'static str },
}

/// Events in order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) events: Vec<(u64, usize, u128, Event)>,
}

impl History {
    pub(crate) fn add(&mut self, now: u64, key: usize, attempt: u128, event: Event) {
        self.events.push((now, key, attempt, event));
    }

    /// The first violated predicate and the key concerned.
    pub(crate) fn violation(&self) -> Option<(usize, String)> {
        let mut keys: BTreeMap<usize, Vec<&(u64, usize, u128, Event)>> = BTreeMap::new();
        for event in &self.events {
            keys.entry(event.1).or_default().push(event);
        }
        keys.into_iter()
            .find_map(|(key, events)| Some((key, check(&events)?)))
    }

    /// How many requests ended with each verdict.
    pub(crate) fn verdicts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for (.., event) in &self.events {
            if let Event::Answered { verdict } = event {
                *counts.entry(*verdict).or_insert(0) += 1;
            }
        }
        counts
    }

    pub(crate) fn of_key(&self, key: usize) -> Self {
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

fn check(events: &[&(u64, usize, u128, Event)]) -> Option<String> {
    let mut executed = Vec::new();
    let mut refused = Vec::new();
    let mut decided = Vec::new();
    for (_, _, attempt, event) in events {
        match event {
            Event::Executed { body } => {
                if !executed.is_empty() {
                    return Some("a key ran twice".into());
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
                        return Some("a stored answer is not that of the execution".into());
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

/// What a request did to its key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operation {
    Execute(u128),
    ReadAnswer(u128),
}

/// A key as a register that is written once.
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
                let ran = u128::from_le_bytes(answer[..].try_into().expect("16 bytes"));
                operations.insert(*attempt, Operation::ReadAnswer(ran));
            }
            _ => {}
        }
    }
    let process = |attempt: &u128| attempts.iter().position(|known| known == attempt);
    let mut actions = Vec::new();
    let mut open = operations.clone();
    for (_, _, attempt, event) in events {
        let (Some(process), Some(operation)) = (process(attempt), operations.get(attempt)) else {
            continue;
        };
        match event {
            Event::Called { .. } => actions.push((process, Action::Call(*operation))),
            Event::Answered { .. } if open.remove(attempt).is_some() => {
                actions.push((process, Action::Response(*operation)));
            }
            _ => {}
        }
    }
    for (attempt, operation) in open {
        if let Some(process) = process(&attempt) {
            actions.push((process, Action::Response(operation)));
        }
    }
    actions.is_empty() || WGLChecker::<KeyRegister>::is_linearizable(Actions::from_actions(actions))
}
