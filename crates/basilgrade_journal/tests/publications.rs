//! Concurrent publications under lost answers, retention and restarts, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::config_record::Change;
use basilgrade_journal::config_state::ConfigState;
use basilgrade_journal::encode;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::merge::Merge;
use basilgrade_journal::merge::MergeError;
use basilgrade_journal::publication::AppendResult;
use basilgrade_journal::publication::Outcome;
use basilgrade_journal::publication::Publication;
use basilgrade_journal::replayer::Replayer;
use basilgrade_types::clock::Millis;
use basilgrade_types::offset::Offset;
use basilgrade_types::revision::Revision;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;
use uuid::Uuid;

const RETENTION: u64 = 9_000;

struct AppendMerge;

impl Merge for AppendMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, MergeError> {
        Ok(format!("{text}{delta}"))
    }
}

fn new_fold() -> Replayer<ConfigState> {
    let merger: Arc<dyn Merge> = Arc::new(AppendMerge);
    Replayer::new(merger)
}

/// A publication against `base` and how it ended.
#[derive(Clone, Copy, Debug)]
struct Publish {
    base: u64,
    won: bool,
}

/// The configuration as a register that is compared and set.
struct RevisionRegister;

impl Specification for RevisionRegister {
    type State = u64;
    type Operation = Publish;

    fn init() -> u64 {
        0
    }

    fn apply(publish: &Publish, revision: &u64) -> (bool, u64) {
        if publish.won {
            (*revision == publish.base, publish.base + 1)
        } else {
            (*revision != publish.base, *revision)
        }
    }
}

struct Process {
    fold: Replayer<ConfigState>,
    open: Option<(usize, Publication)>,
    highest: Revision,
}

struct Run {
    actions: Vec<(usize, Action<Publish>)>,
    texts: BTreeMap<u64, String>,
    fell: bool,
    disagreed: bool,
}

fn read(log: &[(u64, Bytes)], first: usize, from: Offset) -> Chunk {
    let start = (from.0 as usize).max(first).min(log.len());
    let end = (start + 8).min(log.len());
    let entry = |at: usize| Entry {
        offset: Offset(at as u64),
        body: log[at].1.clone(),
    };
    Chunk {
        from,
        first: Offset(first as u64),
        next: Offset(end as u64),
        entries: (start..end).map(entry).collect(),
    }
}

/// Four processes publish against what they believe to be in force, for one virtual minute.
#[expect(clippy::too_many_lines, reason = "one loop over time")]
fn run(seed: u64) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut log: Vec<(u64, Bytes)> = Vec::new();
    let mut late: Vec<(u64, (usize, usize), Bytes)> = Vec::new();
    let mut processes: Vec<_> = (0..4)
        .map(|_| Process {
            fold: new_fold(),
            open: None,
            highest: Revision(0),
        })
        .collect();
    let mut run = Run {
        actions: Vec::new(),
        texts: BTreeMap::new(),
        fell: false,
        disagreed: false,
    };
    let mut calls: BTreeMap<usize, Publish> = BTreeMap::new();
    let mut count = 0;
    for now in (0..60_000).step_by(50) {
        late.sort_by_key(|(at, ..)| *at);
        while late.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, (process, call), body) = late.remove(0);
            log.push((now, body));
            let answer = AppendResult::Stored(Offset(log.len() as u64 - 1));
            let lost = rng.random_bool(0.3);
            if let Some((open, publication)) = &mut processes[process].open
                && *open == call
            {
                publication.appended(if lost { AppendResult::Unknown } else { answer });
            }
        }
        let first = log
            .iter()
            .take_while(|(at, _)| at + RETENTION < now)
            .count();
        for number in 0..processes.len() {
            // A restarted process has no state and an open publication is never reported.
            if rng.random_bool(0.002) {
                processes[number].fold = new_fold();
                processes[number].open = None;
                processes[number].highest = Revision(0);
            }
            if rng.random_bool(0.6) {
                continue;
            }
            let export = processes[(number + 1) % 4].fold.export();
            let process = &mut processes[number];
            let chunk = read(&log, first, process.fold.read_offset());
            process.fold.replay_chunk(Millis(now), &chunk);
            if !process.fold.is_current()
                && let Some(export) = export
            {
                process.fold.import(Millis(now), export);
            }
            let (state, next) = (process.fold.state(), process.fold.next());
            run.fell |= state.revision() < process.highest;
            process.highest = state.revision();
            let text = run
                .texts
                .entry(state.revision().0)
                .or_insert_with(|| state.text().into());
            run.disagreed |= text != state.text();
            let (retention, jitter) = (Millis(RETENTION), Millis(100 * number as u64));
            if process
                .fold
                .schedule()
                .is_due(Millis(now), retention, jitter, next)
                && let Some(record) = process.fold.snapshot(Millis(now))
            {
                log.push((now, encode::json_line(&record)));
            }
            if let Some((call, publication)) = &process.open {
                let won = match publication.outcome(process.fold.state(), next) {
                    Outcome::Accepted(_) => true,
                    Outcome::Conflict(_) | Outcome::Rejected(_) => false,
                    Outcome::NotAppended | Outcome::Pending | Outcome::Undetermined => continue,
                };
                let publish = calls.get_mut(call).expect("called");
                publish.won = won;
                run.actions.push((*call, Action::Response(*publish)));
                process.open = None;
            } else if process.fold.is_current() && rng.random_bool(0.1) {
                let base = process.fold.state().revision();
                let change = Change::Delta(format!("{count};"));
                let id = Uuid::from_u128(rng.random());
                let (publication, body) = Publication::new(id, base, change);
                let publish = Publish {
                    base: base.0,
                    won: false,
                };
                calls.insert(count, publish);
                run.actions.push((count, Action::Call(publish)));
                process.open = Some((count, publication));
                late.push((now + rng.random_range(0..800), (number, count), body));
                count += 1;
            }
        }
    }
    let answered: Vec<usize> = run
        .actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(_)))
        .map(|(call, _)| *call)
        .collect();
    // The delta of call `n` is `n;`, so the last text tells which unanswered publications won.
    let last = run.texts.values().next_back().cloned().unwrap_or_default();
    let won: Vec<usize> = last
        .split_terminator(';')
        .map(|n| n.parse().expect("a number"))
        .collect();
    for (call, publish) in calls.iter().filter(|(call, _)| !answered.contains(call)) {
        if won.contains(call) {
            let publish = Publish {
                won: true,
                ..*publish
            };
            run.actions.push((*call, Action::Response(publish)));
        } else {
            run.actions.retain(|(other, _)| other != call);
        }
    }
    run
}

/// Guards against two winners per base, a false outcome after a lost answer, a revision that
/// falls, and processes that disagree on the text of a revision.
#[test]
fn publications_are_linearizable_and_revisions_never_fall() {
    let mut revisions = 0;
    for seed in 0..60 {
        let run = run(seed);

        let shown = format!("seed {seed}: {:#?}", run.actions);
        assert!(!run.fell, "a revision fell; {shown}");
        assert!(!run.disagreed, "two texts of one revision; {shown}");
        revisions += run.texts.len();
        let history = History::from_actions(run.actions);
        assert!(
            WGLChecker::<RevisionRegister>::is_linearizable(history),
            "{shown}"
        );
    }
    println!("{revisions} revisions");
    assert!(revisions > 0);
}
