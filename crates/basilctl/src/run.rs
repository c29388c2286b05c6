//! Runs the command that the command line names.

use std::process;

use bpaf::Args;

use crate::code::Code;
use crate::command;
use crate::options;
use crate::options::Command;
use crate::options::Source;
use crate::options::format::Format;
use crate::report::Report;

/// The width of help texts.
const WIDTH: usize = 100;

/// Runs the command of this process and prints its report.
pub fn main() -> process::ExitCode {
    let options = match options::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(WIDTH);
            return match failure.exit_code() {
                0 => Code::Success.into(),
                _ => Code::Usage.into(),
            };
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (format, report) = match runtime {
        // Cap'n Proto RPC is single-threaded and needs a local set.
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run(options.command)),
        Err(error) => {
            let report = Report::failure(Code::Problem, format!("cannot start: {error}"));
            (Format::Plain, report)
        }
    };
    report.print(format);
    report.code.into()
}

async fn run(command: Command) -> (Format, Report) {
    match command {
        Command::Check { format, file } => (format, command::check::run(&file)),
        Command::Diff {
            format,
            platform,
            file,
        } => (format, command::diff::run(&platform, &file).await),
        Command::Drain { format, daemon } => (format, command::drain::run(&daemon).await),
        Command::Explain {
            format,
            daemon,
            request,
        } => (format, command::explain::run(&daemon, request).await),
        Command::LogLevel {
            format,
            daemon,
            level,
        } => (format, command::log_level::run(&daemon, level).await),
        Command::Publish {
            format,
            platform,
            base,
            file,
        } => (format, command::publish::run(&platform, base, &file).await),
        Command::Show { format, source } => {
            let report = match source {
                Source::Daemon(daemon) => command::show::from_daemon(&daemon).await,
                Source::Log(platform) => command::show::from_log(&platform).await,
            };
            (format, report)
        }
        Command::Status { format, daemon } => (format, command::status::run(&daemon).await),
    }
}
