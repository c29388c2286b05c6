//! Checks a configuration of the platform.

use std::fmt::Write as _;
use std::fs;
use std::path;

use basilgrade_adapter::configuration;
use basilgrade_adapter::configuration::differences;
use basilgrade_adapter::configuration::ignored;
use basilgrade_adapter::error;
use basilgrade_fleet::check;
use basilgrade_fleet::check::finding;
use serde_json::json;

use crate::code;
use crate::options::platform_check::PlatformCheck;
use crate::report;

/// Checks the file at `path` and compares it with the one in force, if that is given.
pub(super) fn run(options: &PlatformCheck, path: &path::Path) -> report::Report {
    let against = options.against.as_deref();
    find(options, path).map_or_else(
        |report| report,
        |(findings, differences)| to_report(path, against, &findings, &differences),
    )
}

type Found = (Vec<finding::Finding>, Vec<differences::Difference>);

fn find(options: &PlatformCheck, path: &path::Path) -> Result<Found, report::Report> {
    let text = read(path)?;
    let unusable = |path: &path::Path, error: &error::DecodeError| {
        let message = format!("`{}`: {error}; correct the JSON", path.display());
        report::Report::failure(code::ExitCode::Unreadable, message)
    };
    let entries = configuration::decode_entries(&text).map_err(|error| unusable(path, &error))?;
    let mut findings = check::check(&entries, options.regions.as_deref());
    findings.extend(ignored::find(&text).map_err(|error| unusable(path, &error))?);
    let Some(against) = &options.against else {
        return Ok((findings, Vec::new()));
    };
    let old_text = read(against)?;
    let old =
        configuration::decode_entries(&old_text).map_err(|error| unusable(against, &error))?;
    let differences =
        differences::compare(&old_text, &text).map_err(|error| unusable(against, &error))?;
    if !differences.is_empty() {
        findings.extend(check::check_successor(&old, &entries));
    }
    Ok((findings, differences))
}

fn read(path: &path::Path) -> Result<Vec<u8>, report::Report> {
    fs::read(path).map_err(|error| {
        let message = format!("cannot read `{}`: {error}; check the path", path.display());
        report::Report::failure(code::ExitCode::Unreadable, message)
    })
}

fn to_report(
    path: &path::Path,
    against: Option<&path::Path>,
    findings: &[finding::Finding],
    differences: &[differences::Difference],
) -> report::Report {
    let path = path.display();
    // Writing to a string does not fail.
    let mut text = String::new();
    for finding in findings {
        let _ = writeln!(text, "`{path}`: {finding}");
    }
    if findings.is_empty() {
        let _ = writeln!(text, "`{path}` is valid");
    }
    if let Some(against) = against {
        let count = differences.len();
        let _ = writeln!(text, "{count} differences from `{}`", against.display());
    }
    for difference in differences {
        let _ = writeln!(text, "  {difference}");
    }
    let json = json!({"problems": findings, "differences": differences});
    if findings.is_empty() {
        return report::Report::success(text, json);
    }
    let code = code::ExitCode::Problem;
    let error = format!("`{path}` has {} problems; correct them", findings.len());
    report::Report {
        code,
        text,
        json: json!({"code": code.number(), "error": error, "problems": findings,
            "differences": differences}),
    }
}
