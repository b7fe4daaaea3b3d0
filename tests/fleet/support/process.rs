//! The real program as a child process that tests start, suspend, stop and kill.

use std::io::{BufRead, BufReader, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::wait_for;

/// A temporary directory, removed on drop unless the test failed.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("chiveway-test-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary directory can be created");
        Self(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        let mut file = std::fs::File::create(&path).expect("the file can be created");
        file.write_all(text.as_bytes())
            .expect("the file can be written");
        path
    }
}

impl TempDir {
    /// Returns the contents of a file so far.
    pub fn read(&self, name: &str) -> String {
        let bytes = std::fs::read(self.0.join(name)).expect("the file can be read");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.0.display());
            return;
        }
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// Returns the path of the program: the one that `CHIVEWAY_BIN` names, so that tests run with another build, or the built one.
fn program() -> String {
    let built = env!("CARGO_BIN_EXE_chiveway");
    std::env::var("CHIVEWAY_BIN").unwrap_or_else(|_unset| built.to_owned())
}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line of its standard output.
    pub first_line: String,
}

impl Process {
    /// Starts the program and waits for its first line, which gives its addresses. Standard error
    /// goes to the file `log` if there is one.
    pub fn start(args: &[&str], log: Option<&Path>) -> Self {
        let mut command = Command::new(program());
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        match log {
            Some(path) => {
                let file = std::fs::File::create(path).expect("the log file can be created");
                command.stderr(file);
            }
            None => {
                command.stderr(Stdio::null());
            }
        }
        let mut child = command.spawn().expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its addresses");
        Self {
            child,
            first_line: line,
        }
    }

    /// Starts the program with standard output to a file, and waits for its first line there.
    pub fn start_with_stdout(args: &[&str], log: &Path) -> Self {
        Self::start_command(Command::new(program()).args(args), log)
    }

    /// Does the same with a limit on the number of file descriptors.
    pub fn start_with_descriptors(args: &[&str], log: &Path, max: u64) -> Self {
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n \"$0\" && exec \"$@\"", &max.to_string()]);
        Self::start_command(command.arg(program()).args(args), log)
    }

    fn start_command(command: &mut Command, log: &Path) -> Self {
        let file = std::fs::File::create(log).expect("the log file can be created");
        let command = command.stdin(Stdio::null());
        let child = command.stdout(file).stderr(Stdio::null()).spawn();
        let mut process = Self {
            child: child.expect("the program starts"),
            first_line: String::new(),
        };
        wait_for("the program prints its addresses", || {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let line = text.split_inclusive('\n').next().unwrap_or_default();
            line.clone_into(&mut process.first_line);
            line.ends_with('\n')
        });
        process
    }

    /// Returns the address after `label` in the first line.
    pub fn addr(&self, label: &str) -> SocketAddr {
        let mut words = self
            .first_line
            .split_whitespace()
            .skip_while(|word| *word != label);
        let addr = words.nth(1).map(|addr| addr.trim_end_matches(','));
        addr.and_then(|addr| addr.parse().ok())
            .unwrap_or_else(|| panic!("no address after {label} in {:?}", self.first_line))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited or was killed.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("the process id fits an i32");
        let pid = Pid::from_raw(pid).expect("the process id is not zero");
        kill_process(pid, signal).expect("the process can be signalled");
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a planned stop with SIGTERM.
    pub fn term(&self) {
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings with SIGHUP.
    pub fn hup(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits until the process exits by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        let mut wait = ExitWait::new(self.id());
        wait_for("the process exits", || {
            wait.note_poll();
            status = self.child.try_wait().expect("the process can be polled");
            status.is_some()
        });
        status.expect("the process has exited")
    }
}

/// A wait for the end of a process; prints what its threads do, and for how long the test itself stood still, if it fails.
struct ExitWait {
    pid: u32,
    last_poll: Instant,
    longest_pause: Duration,
}

impl ExitWait {
    fn new(pid: u32) -> Self {
        Self {
            pid,
            last_poll: Instant::now(),
            longest_pause: Duration::ZERO,
        }
    }

    fn note_poll(&mut self) {
        self.longest_pause = self.longest_pause.max(self.last_poll.elapsed());
        self.last_poll = Instant::now();
    }
}

impl Drop for ExitWait {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let (pid, pause) = (self.pid, self.longest_pause);
        eprintln!("process {pid} has not exited; longest time between two polls: {pause:?}");
        let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
        for thread in threads.into_iter().flatten().flatten() {
            let read = |name| std::fs::read_to_string(thread.path().join(name)).unwrap_or_default();
            let status = read("status");
            let state = status.lines().find(|line| line.starts_with("State:"));
            let (state, wchan, call) = (state.unwrap_or_default(), read("wchan"), read("syscall"));
            eprintln!(
                "{}: {state}, in {wchan}, call {}",
                thread.path().display(),
                call.trim()
            );
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
