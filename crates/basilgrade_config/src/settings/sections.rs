//! Reads the sections of a settings file.

use compact_str::CompactString;

use crate::reader;
use crate::section;
use crate::settings;
use crate::settings::claims;
use crate::settings::drain;
use crate::settings::log;
use crate::settings::peers;
use crate::settings::platform;
use crate::settings::process;
use crate::settings::request_limits;
use crate::source;

const KNOWN: [&str; 7] = [
    "claims", "drain", "limits", "log", "peers", "platform", "process",
];

/// Reads all sections; `None` if a required value is missing.
pub(super) fn read(source: &mut source::Source) -> Option<settings::Settings> {
    let sections = std::mem::take(&mut source.sections);
    for section in &sections {
        if !KNOWN.contains(&section.header.as_str()) {
            let expected = source.suggest(&section.header, KNOWN, "a known section");
            source.report(
                section.line,
                &section.header,
                "",
                "the section is not known",
                expected,
            );
        }
    }
    let process = take(&sections, source, "process", process::read);
    let platform = take(&sections, source, "platform", platform::read);
    let peers = take(&sections, source, "peers", peers::read);
    let limits = take(&sections, source, "limits", request_limits::read);
    let log = take(&sections, source, "log", log::read);
    let drain = take(&sections, source, "drain", drain::read);
    let claims = take(&sections, source, "claims", claims::read);
    Some(settings::Settings {
        process: process?,
        platform: platform?,
        peers: peers?,
        limits,
        log,
        drain,
        claims,
    })
}

/// Reads one section; a section that is missing counts as empty.
fn take<T>(
    sections: &[section::Section],
    source: &mut source::Source,
    name: &str,
    read: impl Fn(&mut reader::Reader<'_>) -> T,
) -> T {
    let absent = section::Section {
        header: CompactString::new(name),
        line: 1,
        entries: Vec::new(),
    };
    let section = sections
        .iter()
        .find(|section| section.header == name)
        .unwrap_or(&absent);
    let mut reader = reader::Reader::new(section, source);
    let value = read(&mut reader);
    reader.finish();
    value
}
