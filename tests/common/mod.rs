//! Runs the real binary and checks its exit code and output.

pub mod operator_api;

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

/// A run of the program, being prepared.
#[derive(Debug)]
pub struct Run {
    command: Command,
    stdin: String,
}

/// The output of a run.
#[derive(Debug)]
pub struct RunOutput {
    output: Output,
}

/// Prepares a run of the program.
pub fn chiveway() -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chiveway"));
    command
        .env_remove("CHIVEWAY_OPERATOR_KEY")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    Run {
        command,
        stdin: String::new(),
    }
}

impl Run {
    /// Adds the arguments in `line`, separated by whitespace.
    pub fn args(mut self, line: &str) -> Self {
        self.command.args(line.split_whitespace());
        self
    }

    /// Adds one argument unchanged.
    pub fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    /// Sets the operator key.
    pub fn key(mut self, key: &str) -> Self {
        self.command.env("CHIVEWAY_OPERATOR_KEY", key);
        self
    }

    /// Sets the program's standard input.
    pub fn stdin(mut self, text: &str) -> Self {
        self.stdin = text.into();
        self
    }

    /// Runs the program and checks that it succeeds.
    pub fn succeeds(self) -> RunOutput {
        self.exits_with(0)
    }

    /// Runs the program and checks its exit code.
    pub fn exits_with(mut self, code: i32) -> RunOutput {
        let mut child = self.command.spawn().expect("the program starts");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        // Fails if the program exited without reading its input.
        let _ = stdin.write_all(self.stdin.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("the program exits");
        let run = RunOutput { output };
        assert_eq!(run.output.status.code(), Some(code), "{}", run.all());
        run
    }
}

impl RunOutput {
    /// Checks that standard output contains `text`.
    pub fn stdout_contains(self, text: &str) -> Self {
        assert!(
            self.stdout().contains(text),
            "no {text:?} in {}",
            self.all()
        );
        self
    }

    /// Checks that standard error contains `text`.
    pub fn stderr_contains(self, text: &str) -> Self {
        let stderr = String::from_utf8_lossy(&self.output.stderr);
        assert!(stderr.contains(text), "no {text:?} in {}", self.all());
        self
    }

    /// Returns standard output as text.
    pub fn stdout(&self) -> String {
        String::from_utf8_lossy(&self.output.stdout).into()
    }

    fn all(&self) -> String {
        let stderr = String::from_utf8_lossy(&self.output.stderr);
        format!("stdout:\n{}\nstderr:\n{stderr}", self.stdout())
    }
}
