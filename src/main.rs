//! The `chiveway` program.

use std::env;
use std::process::ExitCode;

use chiveway::cli;
use chiveway::output::{Tone, complain};
use chiveway::run::run;

#[global_allocator]
static ALLOC: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for a command line that cannot be understood.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(err) => {
            complain(Tone::Error, &err.to_string());
            return ExitCode::from(WRONG_USAGE);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            complain(Tone::Error, &err.to_string());
            ExitCode::FAILURE
        }
    }
}
