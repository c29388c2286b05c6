//! Lost, delayed and duplicated messages.

mod support;

use basilgrade_membership::health;
use basilgrade_membership::wire_codec;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::rate;
use basilgrade_types::revision;
use support::Cluster;
use support::Network;
use support::membership_view;
use support::vm;

fn final_state(network: Network) -> Vec<String> {
    let customer: id::CustomerId = "customer-1".parse().unwrap();
    let upstream: id::UpstreamId = "engine-1".parse().unwrap();
    let mut cluster = Cluster::converged(5, 2, 6);
    cluster.network = network;
    let now = cluster.now;
    for (index, node) in cluster.nodes.values_mut().enumerate() {
        node.set_demand(&customer, rate::RequestRate(index as f64));
        node.set_progress(now, revision::Revision(3), offset::Offset(2));
    }
    cluster
        .node(&vm(0, 1))
        .set_health(now, &upstream, health::Health::Ejected);
    cluster.run(60_000);
    let now = cluster.now;
    cluster
        .nodes
        .values()
        .map(|node| {
            format!(
                "{:?} {:?} {:?}",
                membership_view(node, 2),
                node.demand(&customer),
                node.health(now, &upstream)
            )
        })
        .collect()
}

/// Guards against state that depends on which messages arrive, how often and when. With a tenth of
/// the messages lost and a third delivered again late, all nodes must reach the same final state as
/// with perfect delivery.
#[test]
fn lost_and_duplicated_messages_do_not_change_final_state() {
    let perfect = final_state(Network::default());

    let faulty = final_state(Network {
        loss: 0.1,
        duplication: 0.33,
    });

    assert_eq!(perfect, faulty);
    assert!(perfect.iter().all(|line| line.contains("Ejected")));
}

/// Guards against a duplicated message that changes the state on its second delivery.
#[test]
fn duplicated_message_has_no_further_effect() {
    let mut cluster = Cluster::converged(6, 1, 4);
    let now = cluster.now;
    for node in cluster.nodes.values_mut() {
        node.set_progress(now, revision::Revision(3), offset::Offset(2));
    }
    let mut pending: Vec<(id::VmId, id::VmId, Vec<u8>)> = Vec::new();
    let mut delivered = 0;
    for step in 1..=200 {
        let now = basilgrade_types::clock::Millis(cluster.now.0 + step * 20);
        for (from, to, bytes) in std::mem::take(&mut pending) {
            let message = wire_codec::decode(&bytes).unwrap();
            let node = cluster.node(&to);
            let out = node.receive(now, &from, message.clone());
            let once = format!("{node:?}");

            node.receive(now, &from, message);

            assert_eq!(once, format!("{node:?}"));
            delivered += 1;
            pending.extend(out.into_iter().map(|outgoing| {
                let bytes = wire_codec::encode(&outgoing.message).unwrap();
                (to.clone(), outgoing.vm, bytes)
            }));
        }
        for (vm, node) in &mut cluster.nodes {
            pending.extend(
                node.tick(now, &mut cluster.rng)
                    .into_iter()
                    .map(|outgoing| {
                        let bytes = wire_codec::encode(&outgoing.message).unwrap();
                        (vm.clone(), outgoing.vm, bytes)
                    }),
            );
        }
    }

    assert!(delivered > 50, "only {delivered} messages were delivered");
}
