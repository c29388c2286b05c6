//! Parses the sections of a settings file.

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

const SECTION_NAMES: [&str; 7] = [
    "claims", "drain", "limits", "log", "peers", "platform", "process",
];

/// Parses all sections; `None` if a required value is missing or invalid.
///
/// Problems are recorded in `source`.
pub(super) fn read(source: &mut source::Source) -> Option<settings::Settings> {
    let sections = std::mem::take(&mut source.sections);
    for section in &sections {
        if !SECTION_NAMES.contains(&section.header.as_str()) {
            let expected = source.suggest(&section.header, SECTION_NAMES, "a known section");
            source.report(
                section.line,
                &section.header,
                "",
                "the section is not known",
                expected,
            );
        }
    }
    let process = read_section(&sections, source, "process", process::read);
    let platform = read_section(&sections, source, "platform", platform::read);
    let peers = read_section(&sections, source, "peers", peers::read);
    let limits = read_section(&sections, source, "limits", request_limits::read);
    let log = read_section(&sections, source, "log", log::read);
    let drain = read_section(&sections, source, "drain", drain::read);
    let claims = read_section(&sections, source, "claims", claims::read);
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

/// Parses the section `name`; a missing section is treated as empty, at line 1.
fn read_section<T>(
    sections: &[section::Section],
    source: &mut source::Source,
    name: &str,
    read: impl Fn(&mut reader::SectionReader<'_>) -> T,
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
    let mut reader = reader::SectionReader::new(section, source);
    let value = read(&mut reader);
    reader.finish();
    value
}
