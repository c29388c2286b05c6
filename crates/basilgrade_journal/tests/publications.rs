//! Concurrent publications under lost append responses, log retention and process restarts, in
//! virtual time.

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

/// How long the simulated log retains a record.
const RETENTION_MS: u64 = 9_000;

struct AppendMerge;

impl Merge for AppendMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, MergeError> {
        Ok(format!("{text}{delta}"))
    }
}

fn new_replayer() -> Replayer<ConfigState> {
    let merger: Arc<dyn Merge> = Arc::new(AppendMerge);
    Replayer::new(merger)
}

/// A publication against the revision `base`, and whether it was accepted.
#[derive(Clone, Copy, Debug)]
struct Publish {
    base: u64,
    accepted: bool,
}

/// Model of the configuration as a compare-and-set register that holds the revision.
struct RevisionRegister;

impl Specification for RevisionRegister {
    type State = u64;
    type Operation = Publish;

    fn init() -> u64 {
        0
    }

    fn apply(publish: &Publish, revision: &u64) -> (bool, u64) {
        if publish.accepted {
            (*revision == publish.base, publish.base + 1)
        } else {
            (*revision != publish.base, *revision)
        }
    }
}

/// A simulated process that reads the log and publishes.
struct Process {
    replayer: Replayer<ConfigState>,
    /// The publication without a known outcome, and the number of its call.
    pending: Option<(usize, Publication)>,
    last_revision: Revision,
}

/// The result of one simulation.
struct Run {
    /// Calls and responses with the number of the call, for the linearizability check.
    actions: Vec<(usize, Action<Publish>)>,
    /// The text of each revision, as first seen by any process.
    texts: BTreeMap<u64, String>,
    /// Whether a process has seen the revision decrease.
    decreased: bool,
    /// Whether two processes have seen different texts of one revision.
    texts_differ: bool,
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

/// Simulates one minute in which four processes publish against the revision that each has read.
#[expect(
    clippy::too_many_lines,
    reason = "the simulation is a single loop over virtual time"
)]
fn simulate(seed: u64) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut log: Vec<(u64, Bytes)> = Vec::new();
    let mut pending_appends: Vec<(u64, (usize, usize), Bytes)> = Vec::new();
    let mut processes: Vec<_> = (0..4)
        .map(|_| Process {
            replayer: new_replayer(),
            pending: None,
            last_revision: Revision(0),
        })
        .collect();
    let mut run = Run {
        actions: Vec::new(),
        texts: BTreeMap::new(),
        decreased: false,
        texts_differ: false,
    };
    let mut calls: BTreeMap<usize, Publish> = BTreeMap::new();
    let mut count = 0;
    for now in (0..60_000).step_by(50) {
        pending_appends.sort_by_key(|(at, ..)| *at);
        while pending_appends.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, (process, call), body) = pending_appends.remove(0);
            log.push((now, body));
            let stored = AppendResult::Stored(Offset(log.len() as u64 - 1));
            let lost = rng.random_bool(0.3);
            if let Some((pending, publication)) = &mut processes[process].pending
                && *pending == call
            {
                publication.appended(if lost { AppendResult::Unknown } else { stored });
            }
        }
        let first = log
            .iter()
            .take_while(|(at, _)| at + RETENTION_MS < now)
            .count();
        for number in 0..processes.len() {
            // A restarted process loses its state, and never reports its pending publication.
            if rng.random_bool(0.002) {
                processes[number].replayer = new_replayer();
                processes[number].pending = None;
                processes[number].last_revision = Revision(0);
            }
            if rng.random_bool(0.6) {
                continue;
            }
            let export = processes[(number + 1) % 4].replayer.export();
            let process = &mut processes[number];
            let chunk = read(&log, first, process.replayer.read_offset());
            process.replayer.replay_chunk(Millis(now), &chunk);
            if !process.replayer.is_current()
                && let Some(export) = export
            {
                process.replayer.import(Millis(now), export);
            }
            let (state, next) = (process.replayer.state(), process.replayer.next());
            run.decreased |= state.revision() < process.last_revision;
            process.last_revision = state.revision();
            let text = run
                .texts
                .entry(state.revision().0)
                .or_insert_with(|| state.text().into());
            run.texts_differ |= text != state.text();
            let (retention, jitter) = (Millis(RETENTION_MS), Millis(100 * number as u64));
            if process
                .replayer
                .schedule()
                .is_due(Millis(now), retention, jitter, next)
                && let Some(record) = process.replayer.snapshot(Millis(now))
            {
                log.push((now, encode::json_line(&record)));
            }
            if let Some((call, publication)) = &process.pending {
                let accepted = match publication.outcome(process.replayer.state(), next) {
                    Outcome::Accepted(_) => true,
                    Outcome::Conflict(_) | Outcome::Rejected(_) => false,
                    Outcome::NotAppended | Outcome::Pending | Outcome::Undetermined => continue,
                };
                let publish = calls
                    .get_mut(call)
                    .expect("expected the call of the publication to be recorded");
                publish.accepted = accepted;
                run.actions.push((*call, Action::Response(*publish)));
                process.pending = None;
            } else if process.replayer.is_current() && rng.random_bool(0.1) {
                let base = process.replayer.state().revision();
                let change = Change::Delta(format!("{count};"));
                let id = Uuid::from_u128(rng.random());
                let (publication, body) = Publication::new(id, base, change);
                let publish = Publish {
                    base: base.0,
                    accepted: false,
                };
                calls.insert(count, publish);
                run.actions.push((count, Action::Call(publish)));
                process.pending = Some((count, publication));
                pending_appends.push((now + rng.random_range(0..800), (number, count), body));
                count += 1;
            }
        }
    }
    let completed: Vec<usize> = run
        .actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(_)))
        .map(|(call, _)| *call)
        .collect();
    // The delta of call `n` is `n;`, so the last text shows which publications without a response
    // were accepted.
    let last = run.texts.values().next_back().cloned().unwrap_or_default();
    let accepted: Vec<usize> = last
        .split_terminator(';')
        .map(|n| n.parse().expect("expected each delta to be a number"))
        .collect();
    for (call, publish) in calls.iter().filter(|(call, _)| !completed.contains(call)) {
        if accepted.contains(call) {
            let publish = Publish {
                accepted: true,
                ..*publish
            };
            run.actions.push((*call, Action::Response(publish)));
        } else {
            run.actions.retain(|(other, _)| other != call);
        }
    }
    run
}

/// Guards against two accepted publications per base, a wrong outcome after a lost append response,
/// a revision that decreases, and processes with different texts of the same revision.
#[test]
fn publications_are_linearizable_and_revisions_never_decrease() {
    let mut revisions = 0;
    for seed in 0..60 {
        let run = simulate(seed);

        let details = format!("seed {seed}: {:#?}", run.actions);
        assert!(!run.decreased, "a revision decreased; {details}");
        assert!(
            !run.texts_differ,
            "two processes have different texts of one revision; {details}"
        );
        revisions += run.texts.len();
        let history = History::from_actions(run.actions);
        assert!(
            WGLChecker::<RevisionRegister>::is_linearizable(history),
            "{details}"
        );
    }
    println!("{revisions} revisions observed");
    assert!(revisions > 0);
}
