//! Conversion between the types of this package and Cap'n Proto messages.

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
use crate::status::slot as held_slot;

/// Writes `status` into a Cap'n Proto message.
pub(crate) fn write_status(status: &status::Status, mut builder: admin_capnp::status::Builder<'_>) {
    builder.set_vm(status.vm.as_str());
    builder.set_domain(status.domain.as_str());
    builder.set_incarnation(status.incarnation.0);
    builder.set_revision(status.revision.0);
    builder.set_offset(status.offset.0);
    builder.set_phase(match status.phase {
        phase::Phase::Starting => admin_capnp::status::Phase::Starting,
        phase::Phase::Ready => admin_capnp::status::Phase::Ready,
        phase::Phase::Draining => admin_capnp::status::Phase::Draining,
    });
    let mut members = builder.reborrow().init_members(status.members.len() as u32);
    for (index, member) in status.members.iter().enumerate() {
        write_member(member, members.reborrow().get(index as u32));
    }
    let leaving = builder.reborrow().init_leaving(status.leaving.len() as u32);
    write_texts(status.leaving.iter().map(id::UpstreamId::as_str), leaving);
    let ejected = builder.reborrow().init_ejected(status.ejected.len() as u32);
    write_texts(status.ejected.iter().map(id::UpstreamId::as_str), ejected);
    let mut slots = builder.reborrow().init_slots(status.slots.len() as u32);
    for (index, slot) in status.slots.iter().enumerate() {
        let mut builder = slots.reborrow().get(index as u32);
        builder.set_number(slot.slot.number());
        builder.set_role(match slot.role {
            held_slot::Role::Primary => admin_capnp::slot::Role::Primary,
            held_slot::Role::Backup => admin_capnp::slot::Role::Backup,
        });
        builder.set_epoch(slot.epoch.0);
    }
    let mut counters = builder.init_counters(status.counters.len() as u32);
    for (index, (name, value)) in status.counters.iter().enumerate() {
        let mut builder = counters.reborrow().get(index as u32);
        builder.set_name(name.as_str());
        builder.set_value(*value);
    }
}

fn write_member(member: &member::Member, mut builder: admin_capnp::member::Builder<'_>) {
    builder.set_vm(member.vm.as_str());
    builder.set_domain(member.domain.as_str());
    builder.set_incarnation(member.incarnation.0);
    builder.set_state(match member.state {
        member::State::Alive => admin_capnp::member::State::Alive,
        member::State::Suspect => admin_capnp::member::State::Suspect,
        member::State::Leaving => admin_capnp::member::State::Leaving,
        member::State::Dead => admin_capnp::member::State::Dead,
    });
}

/// Writes `texts` into a list of a Cap'n Proto message; the list must have room for all of them.
pub(crate) fn write_texts<'a>(
    texts: impl Iterator<Item = &'a str>,
    mut builder: capnp::text_list::Builder<'_>,
) {
    for (index, text) in texts.enumerate() {
        builder.set(index as u32, text);
    }
}

/// Reads a status from a Cap'n Proto message.
pub(crate) fn read_status(
    reader: admin_capnp::status::Reader<'_>,
) -> Result<status::Status, capnp::Error> {
    let slots = reader.get_slots()?.iter().map(read_slot);
    let counters = reader.get_counters()?.iter().map(|counter| {
        let name = CompactString::new(counter.get_name()?.to_str()?);
        Ok((name, counter.get_value()))
    });
    Ok(status::Status {
        vm: parse_text(reader.get_vm()?)?,
        domain: parse_text(reader.get_domain()?)?,
        incarnation: incarnation::Incarnation(reader.get_incarnation()),
        revision: revision::Revision(reader.get_revision()),
        offset: offset::Offset(reader.get_offset()),
        phase: match reader.get_phase()? {
            admin_capnp::status::Phase::Starting => phase::Phase::Starting,
            admin_capnp::status::Phase::Ready => phase::Phase::Ready,
            admin_capnp::status::Phase::Draining => phase::Phase::Draining,
        },
        members: reader
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
        leaving: read_ids(reader.get_leaving()?)?,
        ejected: read_ids(reader.get_ejected()?)?,
        slots: slots.collect::<Result<_, _>>()?,
        counters: counters.collect::<Result<_, capnp::Error>>()?,
    })
}

fn read_member(reader: admin_capnp::member::Reader<'_>) -> Result<member::Member, capnp::Error> {
    Ok(member::Member {
        vm: parse_text(reader.get_vm()?)?,
        domain: parse_text(reader.get_domain()?)?,
        incarnation: incarnation::Incarnation(reader.get_incarnation()),
        state: match reader.get_state()? {
            admin_capnp::member::State::Alive => member::State::Alive,
            admin_capnp::member::State::Suspect => member::State::Suspect,
            admin_capnp::member::State::Leaving => member::State::Leaving,
            admin_capnp::member::State::Dead => member::State::Dead,
        },
    })
}

fn read_slot(reader: admin_capnp::slot::Reader<'_>) -> Result<held_slot::HeldSlot, capnp::Error> {
    let number = reader.get_number();
    Ok(held_slot::HeldSlot {
        slot: slot::Slot::new(number).ok_or_else(|| {
            capnp::Error::failed(format!(
                "slot `{number}` is invalid; expected a slot from 0 to 63"
            ))
        })?,
        role: match reader.get_role()? {
            admin_capnp::slot::Role::Primary => held_slot::Role::Primary,
            admin_capnp::slot::Role::Backup => held_slot::Role::Backup,
        },
        epoch: offset::Offset(reader.get_epoch()),
    })
}

fn read_ids(reader: capnp::text_list::Reader<'_>) -> Result<Vec<id::UpstreamId>, capnp::Error> {
    reader.iter().map(|text| parse_text(text?)).collect()
}

/// Parses a value that a Cap'n Proto message has as text.
pub(crate) fn parse_text<T>(text: capnp::text::Reader<'_>) -> Result<T, capnp::Error>
where
    T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>,
{
    text.to_str()?
        .parse()
        .map_err(|error: T::Err| capnp::Error::failed(error.to_string()))
}
