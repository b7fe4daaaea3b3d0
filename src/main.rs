//! The `chiveway` program.

use std::env;
use std::process::ExitCode;

use chiveway::cli;
use chiveway::output::{Severity, print_message};
use chiveway::run::run;

#[global_allocator]
static ALLOC: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(err) => {
            print_message(Severity::Error, &err.to_string());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            print_message(Severity::Error, &err.to_string());
            ExitCode::FAILURE
        }
    }
}
