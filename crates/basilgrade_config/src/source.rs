//! INI text split into sections with positions.
//!
//! `rust-ini` keeps no positions and stops at the first fault. It is therefore given one line at a
//! time, so that each entry has its line and every faulty line is reported.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::limits;
use crate::nearest;
use crate::problem;
use crate::section;

const FORM: &str = "`[section]`, `key = value` or a comment after `#` or `;`";

/// A text on its way to a model, with the faults found so far.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) file: CompactString,
    pub(crate) sections: Vec<section::Section>,
    pub(crate) problems: problem::Problems,
}

impl Source {
    /// Splits `text`; faulty lines become problems and are left out.
    pub(crate) fn scan(text: &str, file: &str) -> Self {
        let mut source = Self {
            file: CompactString::new(file),
            sections: Vec::new(),
            problems: problem::Problems::default(),
        };
        if text.len() > limits::TEXT {
            let found = format!("the text has {} bytes", text.len());
            source.report(1, "", "", found, format!("at most {}", limits::TEXT));
            return source;
        }
        // Some editors put a byte-order mark in front; it carries nothing.
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let lines = text.lines().count();
        if lines > limits::LINES {
            let found = format!("the text has {lines} lines");
            source.report(1, "", "", found, format!("at most {}", limits::LINES));
            return source;
        }
        for (index, line) in text.lines().enumerate() {
            source.take(line.trim(), index + 1);
        }
        source.report_repeats();
        source
    }

    /// Records a problem.
    pub(crate) fn report(
        &mut self,
        line: usize,
        section: &str,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.problems.push(problem::Problem {
            file: self.file.clone(),
            line,
            section: excerpt(section),
            key: excerpt(key),
            found: found.into(),
            expected: expected.into(),
        });
    }

    /// What to write instead of `name`: the nearest known name, or `otherwise` if none is known.
    ///
    /// Once the report is full, no names are compared: a text of 5 MB with 300,000 unknown names
    /// took 5 minutes.
    pub(crate) fn suggest<'a>(
        &self,
        name: &str,
        known: impl IntoIterator<Item = &'a str>,
        otherwise: &str,
    ) -> String {
        if self.problems.is_full() {
            return otherwise.to_owned();
        }
        match nearest::nearest(name, known) {
            Some(found) => format!("{otherwise}, the nearest being `{found}`"),
            None => otherwise.to_owned(),
        }
    }

    fn take(&mut self, line: &str, number: usize) {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return;
        }
        let section = self
            .sections
            .last()
            .map(|last| last.header.clone())
            .unwrap_or_default();
        if line.len() > limits::LINE_BYTES {
            let found = format!("the line has {} bytes", line.len());
            self.report(
                number,
                &section,
                "",
                found,
                format!("at most {}", limits::LINE_BYTES),
            );
            return;
        }
        // A carriage return inside the line would end the line for `rust-ini`.
        if line.chars().any(|c| c.is_control() && c != '\t') {
            self.report(
                number,
                &section,
                "",
                "a control character",
                "printable text",
            );
            return;
        }
        match read_line(line) {
            Some(Line::Header(header)) => self.sections.push(section::Section {
                header,
                line: number,
                entries: Vec::new(),
            }),
            Some(Line::Entry(key, value)) => match self.sections.last_mut() {
                Some(last) => last.entries.push(section::Entry {
                    key,
                    value,
                    line: number,
                }),
                None => self.report(number, "", &key, "a key before any section", "`[section]`"),
            },
            // The line is not quoted, because it may hold a secret.
            None => self.report(number, &section, "", "the line has no known form", FORM),
        }
    }

    /// Reports sections and keys that occur twice, and keeps the first of each.
    fn report_repeats(&mut self) {
        let mut sections: HashMap<CompactString, usize> = HashMap::new();
        let mut kept = Vec::with_capacity(self.sections.len());
        for mut section in std::mem::take(&mut self.sections) {
            if let Some(first) = sections.get(&section.header) {
                let found = format!("the section is already on line {first}");
                self.report(
                    section.line,
                    &section.header,
                    "",
                    found,
                    "each section once",
                );
                continue;
            }
            sections.insert(section.header.clone(), section.line);
            let mut keys: HashMap<CompactString, usize> = HashMap::new();
            for entry in std::mem::take(&mut section.entries) {
                if let Some(first) = keys.get(&entry.key) {
                    let found = format!("the key is already on line {first}");
                    self.report(
                        entry.line,
                        &section.header,
                        &entry.key,
                        found,
                        "each key once",
                    );
                    continue;
                }
                keys.insert(entry.key.clone(), entry.line);
                section.entries.push(entry);
            }
            kept.push(section);
        }
        self.sections = kept;
    }
}

enum Line {
    Entry(CompactString, CompactString),
    Header(CompactString),
}

/// Reads one line that is neither empty nor a comment.
fn read_line(line: &str) -> Option<Line> {
    let option = ini::ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ini::ParseOption::default()
    };
    let parsed = ini::Ini::load_from_str_opt(line, option).ok()?;
    let mut parts = parsed
        .iter()
        .filter(|(name, properties)| name.is_some() || !properties.is_empty());
    let (name, properties) = parts.next()?;
    if parts.next().is_some() {
        return None;
    }
    let Some(name) = name else {
        let (key, value) = properties.iter().next()?;
        return Some(Line::Entry(
            CompactString::new(key),
            CompactString::new(value),
        ));
    };
    let words: Vec<&str> = name.split_whitespace().collect();
    if words.is_empty() || !properties.is_empty() || !line.ends_with(']') {
        return None;
    }
    Some(Line::Header(CompactString::new(words.join(" "))))
}

/// The start of a text, so that an error never repeats a whole file.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(80).collect()
}
