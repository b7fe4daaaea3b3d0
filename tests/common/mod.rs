//! Runs the real binary and checks what it prints, so that a test reads as a script.

pub mod operator_api;

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

/// One run of the program to come.
#[derive(Debug)]
pub struct Run {
    command: Command,
    stdin: String,
}

/// What a run left.
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
    /// Adds the arguments in `line`, with spaces between them.
    pub fn args(mut self, line: &str) -> Self {
        self.command.args(line.split_whitespace());
        self
    }

    /// Adds one argument as it is.
    pub fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    /// Sets the operators' key.
    pub fn key(mut self, key: &str) -> Self {
        self.command.env("CHIVEWAY_OPERATOR_KEY", key);
        self
    }

    /// Sets what the program reads from standard input.
    pub fn stdin(mut self, text: &str) -> Self {
        self.stdin = text.into();
        self
    }

    /// Runs to the end, which must be success.
    pub fn succeeds(self) -> RunOutput {
        self.exits_with(0)
    }

    /// Runs to the end, which must have this exit code.
    pub fn exits_with(mut self, code: i32) -> RunOutput {
        let mut child = self.command.spawn().expect("the program starts");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        // A program that reads nothing may have closed its end.
        let _ = stdin.write_all(self.stdin.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("the program ends");
        let done = RunOutput { output };
        assert_eq!(done.output.status.code(), Some(code), "{}", done.all());
        done
    }
}

impl RunOutput {
    /// Checks that standard output holds `text`.
    pub fn stdout_contains(self, text: &str) -> Self {
        assert!(
            self.stdout().contains(text),
            "no {text:?} in {}",
            self.all()
        );
        self
    }

    /// Checks that standard error holds `text`.
    pub fn stderr_contains(self, text: &str) -> Self {
        let stderr = String::from_utf8_lossy(&self.output.stderr);
        assert!(stderr.contains(text), "no {text:?} in {}", self.all());
        self
    }

    /// Returns standard output.
    pub fn stdout(&self) -> String {
        String::from_utf8_lossy(&self.output.stdout).into()
    }

    fn all(&self) -> String {
        let stderr = String::from_utf8_lossy(&self.output.stderr);
        format!("stdout:\n{}\nstderr:\n{stderr}", self.stdout())
    }
}
