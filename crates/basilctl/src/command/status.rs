//! `basilctl status`

use std::fmt::Display;

use basilgrade_admin::status;
use serde_json::json;

use crate::code;
use crate::command::daemon;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon) -> report::Report {
    let client = match daemon::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.status().await {
        Ok(status) => report::Report::success(describe(&status), json!(status)),
        Err(error) => daemon::failure(&error, code::Code::Problem),
    }
}

fn describe(status: &status::Status) -> String {
    let mut lines = vec![
        line("vm", &status.vm),
        line("domain", &status.domain),
        line("phase", status.phase),
        line("revision", status.revision),
        line("control offset", status.offset),
        line("incarnation", status.incarnation),
        line("leaving", list(&status.leaving)),
        line("ejected", list(&status.ejected)),
    ];
    lines.extend(status.members.iter().map(|member| {
        let text = format!(
            "{} {} {} incarnation={}",
            member.vm, member.domain, member.state, member.incarnation
        );
        line("member", text)
    }));
    lines.extend(status.slots.iter().map(|held| {
        line(
            "slot",
            format!("{} {} epoch={}", held.slot, held.role, held.epoch),
        )
    }));
    let counters = status.counters.iter();
    lines.extend(counters.map(|(name, value)| line("counter", format!("{name} {value}"))));
    lines.join("\n")
}

fn line(name: &str, value: impl Display) -> String {
    format!("{name:<15} {value}")
}

fn list(items: &[impl Display]) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}
