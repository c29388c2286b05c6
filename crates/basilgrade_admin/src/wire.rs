//! Conversion between the types of this package and messages.

use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use basilgrade_types::slot;
use compact_str::CompactString;

use crate::admin_capnp;
use crate::status;
use crate::status::member;
use crate::status::phase;
use crate::status::slot as held;

/// Writes a status into a message.
pub(crate) fn write_status(status: &status::Status, mut out: admin_capnp::status::Builder<'_>) {
    out.set_vm(status.vm.as_str());
    out.set_domain(status.domain.as_str());
    out.set_incarnation(status.incarnation.0);
    out.set_revision(status.revision.0);
    out.set_offset(status.offset.0);
    out.set_phase(match status.phase {
        phase::Phase::Starting => admin_capnp::status::Phase::Starting,
        phase::Phase::Ready => admin_capnp::status::Phase::Ready,
        phase::Phase::Draining => admin_capnp::status::Phase::Draining,
    });
    let mut members = out.reborrow().init_members(status.members.len() as u32);
    for (index, member) in status.members.iter().enumerate() {
        write_member(member, members.reborrow().get(index as u32));
    }
    let leaving = out.reborrow().init_leaving(status.leaving.len() as u32);
    write_texts(status.leaving.iter().map(id::UpstreamId::as_str), leaving);
    let ejected = out.reborrow().init_ejected(status.ejected.len() as u32);
    write_texts(status.ejected.iter().map(id::UpstreamId::as_str), ejected);
    let mut slots = out.reborrow().init_slots(status.slots.len() as u32);
    for (index, slot) in status.slots.iter().enumerate() {
        let mut out = slots.reborrow().get(index as u32);
        out.set_number(slot.slot.number());
        out.set_role(match slot.role {
            held::Role::Primary => admin_capnp::slot::Role::Primary,
            held::Role::Backup => admin_capnp::slot::Role::Backup,
        });
        out.set_epoch(slot.epoch.0);
    }
    let mut counters = out.init_counters(status.counters.len() as u32);
    for (index, (name, value)) in status.counters.iter().enumerate() {
        let mut out = counters.reborrow().get(index as u32);
        out.set_name(name.as_str());
        out.set_value(*value);
    }
}

fn write_member(member: &member::Member, mut out: admin_capnp::member::Builder<'_>) {
    out.set_vm(member.vm.as_str());
    out.set_domain(member.domain.as_str());
    out.set_incarnation(member.incarnation.0);
    out.set_state(match member.state {
        member::State::Alive => admin_capnp::member::State::Alive,
        member::State::Suspect => admin_capnp::member::State::Suspect,
        member::State::Leaving => admin_capnp::member::State::Leaving,
        member::State::Dead => admin_capnp::member::State::Dead,
    });
}

/// Writes a list of texts into a message.
pub(crate) fn write_texts<'a>(
    texts: impl Iterator<Item = &'a str>,
    mut out: capnp::text_list::Builder<'_>,
) {
    for (index, text) in texts.enumerate() {
        out.set(index as u32, text);
    }
}

/// Reads a status from a message.
pub(crate) fn read_status(
    from: admin_capnp::status::Reader<'_>,
) -> Result<status::Status, capnp::Error> {
    let slots = from.get_slots()?.iter().map(read_slot);
    let counters = from.get_counters()?.iter().map(|counter| {
        let name = CompactString::new(counter.get_name()?.to_str()?);
        Ok((name, counter.get_value()))
    });
    Ok(status::Status {
        vm: read_id(from.get_vm()?)?,
        domain: read_id(from.get_domain()?)?,
        incarnation: incarnation::Incarnation(from.get_incarnation()),
        revision: revision::Revision(from.get_revision()),
        offset: offset::Offset(from.get_offset()),
        phase: match from.get_phase()? {
            admin_capnp::status::Phase::Starting => phase::Phase::Starting,
            admin_capnp::status::Phase::Ready => phase::Phase::Ready,
            admin_capnp::status::Phase::Draining => phase::Phase::Draining,
        },
        members: from
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
        leaving: read_ids(from.get_leaving()?)?,
        ejected: read_ids(from.get_ejected()?)?,
        slots: slots.collect::<Result<_, _>>()?,
        counters: counters.collect::<Result<_, capnp::Error>>()?,
    })
}

fn read_member(from: admin_capnp::member::Reader<'_>) -> Result<member::Member, capnp::Error> {
    Ok(member::Member {
        vm: read_id(from.get_vm()?)?,
        domain: read_id(from.get_domain()?)?,
        incarnation: incarnation::Incarnation(from.get_incarnation()),
        state: match from.get_state()? {
            admin_capnp::member::State::Alive => member::State::Alive,
            admin_capnp::member::State::Suspect => member::State::Suspect,
            admin_capnp::member::State::Leaving => member::State::Leaving,
            admin_capnp::member::State::Dead => member::State::Dead,
        },
    })
}

fn read_slot(from: admin_capnp::slot::Reader<'_>) -> Result<held::HeldSlot, capnp::Error> {
    let number = from.get_number();
    Ok(held::HeldSlot {
        slot: slot::Slot::new(number)
            .ok_or_else(|| capnp::Error::failed(format!("`{number}` is not a slot")))?,
        role: match from.get_role()? {
            admin_capnp::slot::Role::Primary => held::Role::Primary,
            admin_capnp::slot::Role::Backup => held::Role::Backup,
        },
        epoch: offset::Offset(from.get_epoch()),
    })
}

fn read_ids(from: capnp::text_list::Reader<'_>) -> Result<Vec<id::UpstreamId>, capnp::Error> {
    from.iter().map(|text| read_id(text?)).collect()
}

/// Reads a value that has a text form.
pub(crate) fn read_id<T>(text: capnp::text::Reader<'_>) -> Result<T, capnp::Error>
where
    T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>,
{
    text.to_str()?
        .parse()
        .map_err(|error: T::Err| capnp::Error::failed(error.to_string()))
}
