//! `basilctl status`: shows the status of a daemon.

use std::fmt::Display;

use basilgrade_admin::status;
use serde_json::json;

use crate::code;
use crate::command::daemon_client;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon) -> report::Report {
    let client = match daemon_client::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.status().await {
        Ok(status) => report::Report::success(format_status(&status), json!(status)),
        Err(error) => daemon_client::failure(&error, code::ExitCode::Problem),
    }
}

fn format_status(status: &status::Status) -> String {
    let mut lines = vec![
        format_line("vm", &status.vm),
        format_line("domain", &status.domain),
        format_line("phase", status.phase),
        format_line("revision", status.revision),
        format_line("control offset", status.offset),
        format_line("incarnation", status.incarnation),
        format_line("leaving", format_list(&status.leaving)),
        format_line("ejected", format_list(&status.ejected)),
    ];
    lines.extend(status.members.iter().map(|member| {
        let text = format!(
            "{} {} {} incarnation={}",
            member.vm, member.domain, member.state, member.incarnation
        );
        format_line("member", text)
    }));
    lines.extend(status.slots.iter().map(|held| {
        format_line(
            "slot",
            format!("{} {} epoch={}", held.slot, held.role, held.epoch),
        )
    }));
    let counters = status.counters.iter();
    lines.extend(counters.map(|(name, value)| format_line("counter", format!("{name} {value}"))));
    lines.join("\n")
}

fn format_line(name: &str, value: impl Display) -> String {
    format!("{name:<15} {value}")
}

fn format_list(items: &[impl Display]) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}
