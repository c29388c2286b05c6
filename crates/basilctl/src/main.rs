//! Binary of `basilctl`, the command-line tool for operators of basilgrade.

use std::process;

fn main() -> process::ExitCode {
    basilctl::main()
}
