//! The operators' command line of basilgrade.

use std::process;

fn main() -> process::ExitCode {
    basilctl::main()
}
