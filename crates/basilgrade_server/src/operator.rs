//! Implementation of the admin interface for operators.

use std::sync;

use basilgrade_admin::admin;
use basilgrade_admin::configuration;
use basilgrade_admin::status;
use basilgrade_admin::status::member;
use basilgrade_admin::status::phase;
use basilgrade_admin::status::slot as held_slot;
use basilgrade_config::settings::log::level;
use basilgrade_journal::node;
use basilgrade_journal::ownership;
use basilgrade_membership::status as membership;
use basilgrade_types::id;
use basilgrade_types::request;
use basilgrade_types::slot;
use futures::FutureExt;
use futures::future;
use tokio_util::sync::CancellationToken;

use crate::cluster;
use crate::core;
use crate::journal::streams;
use crate::ledger::slots;
use crate::logger;

/// Serves the admin interface from the state of the daemon.
pub struct Operator {
    /// State shared by all requests.
    pub core: sync::Arc<core::Core>,
    /// Membership of this daemon.
    pub cluster: cluster::Cluster,
    /// Claims on request keys.
    pub ledger: slots::SlotLedger,
    /// Replicas of both log streams.
    pub streams: sync::Arc<streams::Streams>,
    /// Cancelled to start the shutdown.
    pub stop: CancellationToken,
}

impl Operator {
    fn build_status(&self) -> status::Status {
        let record = self.cluster.own_record();
        let own_node = self.cluster.own_node();
        status::Status {
            vm: record.vm,
            domain: record.domain,
            incarnation: record.incarnation,
            revision: self.core.revision(),
            offset: self.streams.control.next(),
            phase: self.phase(),
            members: self.members(),
            leaving: self.leaving(),
            ejected: self.core.ejected(),
            slots: self.slots(&own_node),
            counters: self.core.components.metrics.counters(),
        }
    }

    fn phase(&self) -> phase::Phase {
        match self.core.phase() {
            core::Phase::Draining => phase::Phase::Draining,
            core::Phase::Serving if self.core.current.load().is_some() => phase::Phase::Ready,
            core::Phase::Synchronizing | core::Phase::Serving => phase::Phase::Starting,
        }
    }

    fn members(&self) -> Vec<member::Member> {
        let members = self.cluster.members();
        members
            .into_iter()
            .map(|(record, status)| member::Member {
                vm: record.vm,
                domain: record.domain,
                incarnation: record.incarnation,
                state: member_state(status),
            })
            .collect()
    }

    fn leaving(&self) -> Vec<id::UpstreamId> {
        let Some(view) = self.core.current.load_full() else {
            return Vec::new();
        };
        let now = self.core.now();
        view.entries
            .iter()
            .filter(|entry| entry.stats.is_leaving(now))
            .map(|entry| entry.id.clone())
            .collect()
    }

    fn slots(&self, own_node: &node::Node) -> Vec<held_slot::HeldSlot> {
        self.streams.control.with(|replayer| {
            replayer
                .state()
                .slots()
                .filter_map(|(slot, ownership)| own_slot(slot, ownership, own_node))
                .collect()
        })
    }
}

fn member_state(status: membership::Status) -> member::State {
    match status {
        membership::Status::Alive => member::State::Alive,
        membership::Status::Leaving => member::State::Leaving,
        membership::Status::Suspect => member::State::Suspect,
        membership::Status::Dead => member::State::Dead,
    }
}

fn own_slot(
    slot: slot::Slot,
    ownership: &ownership::Ownership,
    own_node: &node::Node,
) -> Option<held_slot::HeldSlot> {
    let grant = ownership.grant.as_ref()?;
    let role = if grant.primary == *own_node {
        held_slot::Role::Primary
    } else if grant.backup.as_ref() == Some(own_node) {
        held_slot::Role::Backup
    } else {
        return None;
    };
    Some(held_slot::HeldSlot {
        slot,
        role,
        epoch: ownership.epoch,
    })
}

impl admin::Admin for Operator {
    fn status(&self) -> future::BoxFuture<'_, status::Status> {
        future::ready(self.build_status()).boxed()
    }

    fn explain(&self, request: request::RequestId) -> future::BoxFuture<'_, Option<Vec<String>>> {
        let lines: Vec<_> = self
            .core
            .decisions
            .for_request(request)
            .iter()
            .map(ToString::to_string)
            .collect();
        future::ready((!lines.is_empty()).then_some(lines)).boxed()
    }

    fn drain(&self) -> future::BoxFuture<'_, ()> {
        self.stop.cancel();
        future::ready(()).boxed()
    }

    fn set_level(&self, level: level::Level) -> future::BoxFuture<'_, ()> {
        logger::set_level(level);
        log::info!("event=log-level level={level}");
        future::ready(()).boxed()
    }

    fn configuration(&self) -> future::BoxFuture<'_, Option<configuration::Configuration>> {
        let revision = self.core.revision();
        let configuration = self.streams.config.with(|replayer| {
            let state = replayer.state();
            (state.revision() == revision && revision.0 > 0).then(|| configuration::Configuration {
                revision,
                text: state.text().to_owned(),
            })
        });
        future::ready(configuration).boxed()
    }
}
