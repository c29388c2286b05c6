//! Waits on the way of a change from the store to every daemon.

use basilgrade_fleet::news_pace;
use basilgrade_types::clock;

fn chains(pace: news_pace::NewsPace) -> [clock::Millis; 4] {
    [
        pace.in_calm(),
        pace.after_start(),
        pace.after_unanswered_reader(),
        pace.after_silent_reader(),
    ]
}

/// Guards against a chain of waits that exceeds the bound on learning a change, whichever bound a
/// deployment has.
#[test]
fn every_chain_ends_within_the_bound() {
    for bound in (2500..10_000).step_by(50).map(clock::Millis) {
        let pace = news_pace::NewsPace::within(bound);

        for chain in chains(pace) {
            assert!(
                chain.plus(news_pace::MARGIN) <= bound,
                "{chain} of {bound} at {pace:?}"
            );
        }
    }
}

/// Guards against a pace that follows one deployment's bound, or that stops at a bound which no pace
/// can keep.
#[test]
fn pace_follows_the_bound_and_stays_usable() {
    let at = |bound| news_pace::NewsPace::within(clock::Millis(bound));

    assert!(at(2500).hold_time < at(4000).hold_time);
    assert!(at(2500).operator_wait < at(4000).operator_wait);
    for bound in [0, 1000, u64::MAX] {
        assert!(at(bound).hold_time >= clock::Millis(200));
        assert!(at(bound).hold_time <= clock::Millis(700));
        assert!(at(bound).operator_wait >= clock::Millis(300));
    }
}
