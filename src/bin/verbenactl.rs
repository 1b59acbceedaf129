//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenaturn::ctl::run(std::env::args_os())
}
