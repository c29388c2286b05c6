//! Parses the command line and runs the command.

use std::process;

use bpaf::Args;

use crate::code;
use crate::command;
use crate::options;
use crate::options::format;
use crate::report;

/// The width of help texts in columns.
const HELP_WIDTH: usize = 100;

/// Parses the command line of this process, runs the command and prints its report.
pub fn main() -> process::ExitCode {
    let options = match options::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure.exit_code() {
                0 => code::ExitCode::Success.into(),
                _ => code::ExitCode::Usage.into(),
            };
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (format, report) = match runtime {
        // Clients of capnp-rpc are not `Send`, so their tasks need a local set.
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run(options.command)),
        Err(error) => {
            let report = report::Report::failure(
                code::ExitCode::Problem,
                format!("cannot start the async runtime: {error}; check the open-file limit"),
            );
            (format::Format::Plain, report)
        }
    };
    report.print(format);
    report.code.into()
}

async fn run(command: options::Command) -> (format::Format, report::Report) {
    match command {
        options::Command::Check {
            format,
            platform_check,
            file,
        } => (format, command::check::run(&platform_check, &file)),
        options::Command::Diff {
            format,
            platform,
            file,
        } => (format, command::diff::run(&platform, &file).await),
        options::Command::Drain { format, daemon } => (format, command::drain::run(&daemon).await),
        options::Command::Explain {
            format,
            daemon,
            request,
        } => (format, command::explain::run(&daemon, request).await),
        options::Command::LogLevel {
            format,
            daemon,
            level,
        } => (format, command::log_level::run(&daemon, level).await),
        options::Command::Publish {
            format,
            platform,
            base,
            file,
        } => (format, command::publish::run(&platform, base, &file).await),
        options::Command::Show { format, source } => {
            let report = match source {
                options::Source::Daemon(daemon) => command::show::from_daemon(&daemon).await,
                options::Source::Log(platform) => command::show::from_log(&platform).await,
            };
            (format, report)
        }
        options::Command::Status { format, daemon } => {
            (format, command::status::run(&daemon).await)
        }
    }
}
