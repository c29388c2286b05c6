//! Copies of topics from other daemons, while the store does not answer this one.

use std::net;
use std::sync;

use basilgrade_types::clock;
use rand::seq::IndexedRandom as _;

use crate::core;
use crate::follow::state;
use crate::peers::links;

/// Time between two questions while the store is away.
const ASK_EVERY: clock::Millis = clock::Millis(500);

/// Time for an answer.
const ANSWER_LIMIT: clock::Millis = clock::Millis(800);

/// Asks other daemons while the store does not answer; never returns.
pub async fn run(
    core: sync::Arc<core::Core>,
    state: sync::Arc<state::State>,
    links: sync::Arc<links::Links>,
) {
    loop {
        tokio::time::sleep(ASK_EVERY.duration()).await;
        if state.is_reached() {
            continue;
        }
        let Some(address) = pick(&core, &state, &links) else {
            continue;
        };
        let positions = state.positions();
        let answer = links
            .call(address, ANSWER_LIMIT, |peer, context| async move {
                peer.newer(context, positions).await
            })
            .await;
        match answer {
            Ok(copies) => copies.into_iter().for_each(|copy| state.adopt(copy)),
            Err(reason) => {
                log::info!("event=copy-unavailable address={address} reason={reason:?}");
            }
        }
    }
}

/// A daemon that did not fail a moment ago.
fn pick(core: &core::Core, state: &state::State, links: &links::Links) -> Option<net::SocketAddr> {
    let settings = core.settings.load();
    let daemons = state.daemons();
    let known = daemons.iter().map(|daemon| daemon.address);
    let addresses: Vec<_> = known
        .chain(settings.seeds.iter().copied())
        .filter(|address| *address != settings.peers && !links.is_resting(*address))
        .collect();
    addresses.choose(&mut rand::rng()).copied()
}
