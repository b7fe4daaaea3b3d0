//! A part of prompts that crashes the engines which begin to write answers on it, sent to several hosts by a caller none of
//! whose requests are alike, beside callers of sound requests.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::process::{Process, TempDir};
use super::standin::{Engine, Store, config, settings};
use super::{LOG_FILE, http, is_listed_ready, wait_for};

/// Number of hosts, in two failure domains.
const HOST_COUNT: usize = 4;
/// Crashes after which no host sends requests with the part on.
const CRASHES_TO_REFUSE: usize = 5;
/// Time after the last of these crashes from which requests with the part count as late, and time after its start from which
/// a host counts as in touch.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Late requests that are allowed, from all hosts together.
const MAX_LATE_SENDS: usize = 3;
/// Time after the last of these crashes from which sound requests must be answered.
const RECOVERED_AFTER: Duration = Duration::from_secs(6);
/// Time for which sound requests are counted, before and after.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Sound requests that a comparison needs.
const MIN_SOUND: usize = 20;
/// Time after which a crashed engine is back.
const BACK_AFTER: Duration = Duration::from_millis(1500);
/// Delay of an answer, or of an event of a stream.
const ENGINE_DELAY: Duration = Duration::from_millis(10);
/// Time between two requests with the part.
const BAD_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two requests of a caller of sound ones.
const SOUND_INTERVAL: Duration = Duration::from_millis(30);
/// Callers of sound requests.
const SOUND_CALLERS: usize = 3;

/// First part of all sound prompts.
const FIRST_PART: &str = "aa";
/// Part that crashes engines.
const BAD_PART: &str = "bad";

/// How the prompts of a case look, and where they run.
#[derive(Debug, Clone, Copy)]
struct Prompts {
    path: &'static str,
    /// Parts before the last one of a request that crashes engines.
    bad: &'static [&'static str],
    /// Tokens of each part.
    tokens: usize,
    /// Number of engines that decode, and of those that prefill for them.
    engines: (usize, usize),
    /// How the id of an engine's next process follows from its last one.
    next_id: fn(&str) -> String,
}

impl Prompts {
    /// Returns the headers of a prompt of these parts and a last one of its own.
    fn headers(self, parts: &[&str], last: &str) -> [(&'static str, String); 2] {
        let mut text = String::new();
        for part in parts {
            // Writing to a string does not fail.
            let _ = write!(text, "{part}:{},", self.tokens);
        }
        let _ = write!(text, "{last}:{}", self.tokens);
        let total = self.tokens * (parts.len() + 1);
        [
            ("x-chiveway-token-usage", format!("{total},8")),
            ("x-chiveway-prompt-prefix", text),
        ]
    }
}

/// The process of a host.
struct Host {
    process: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
    started: Instant,
}

/// A sound request: when it was sent, and whether its answer began.
type Sound = (Instant, bool);

/// Hosts before engines that a part of prompts crashes.
struct Site {
    prompts: Prompts,
    store: Store,
    folder: TempDir,
    hosts: Mutex<Vec<Host>>,
    /// Processes of each engine, the current one last.
    engines: Mutex<Vec<Vec<Engine>>>,
    /// When the host had started to which each request with the part was sent.
    senders: Mutex<BTreeMap<String, Instant>>,
    sound: Mutex<Vec<Sound>>,
    count: AtomicUsize,
    is_bad: AtomicBool,
    finished: AtomicBool,
}

/// Sets a flag when dropped.
struct FinishOnDrop<'a>(&'a AtomicBool);

impl Drop for FinishOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

impl Site {
    fn start(prompts: Prompts) -> Self {
        let (decoding, prefilling) = prompts.engines;
        let decode = (0..decoding).map(|number| Engine::model(&format!("d-{number}"), "decode"));
        let prefill =
            (0..prefilling).map(|number| Engine::model(&format!("p-{number}"), "prefill"));
        let engines: Vec<Engine> = decode.chain(prefill).collect();
        let store = Store::start();
        store.put("op/config", &config(1, "/short/"));
        for engine in &engines {
            engine.set_delay(ENGINE_DELAY);
            engine.crash_on_part(BAD_PART);
            store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
        }
        let site = Self {
            prompts,
            store,
            folder: TempDir::new(),
            hosts: Mutex::default(),
            engines: Mutex::new(engines.into_iter().map(|engine| vec![engine]).collect()),
            senders: Mutex::default(),
            sound: Mutex::default(),
            count: AtomicUsize::new(0),
            is_bad: AtomicBool::new(false),
            finished: AtomicBool::new(false),
        };
        site.start_hosts();
        site
    }

    /// Starts all hosts, and waits until they serve and know each other and every engine.
    fn start_hosts(&self) {
        let hosts = (0..HOST_COUNT).map(|number| self.start_host(number));
        *self.hosts.lock().expect("the hosts") = hosts.collect();
        wait_for("every host to be ready", || {
            let hosts = self.hosts.lock().expect("the hosts");
            hosts.iter().all(|host| {
                let answer = http::send(host.readiness, "GET", "/v1/readyz", &[], b"");
                answer.is_some_and(|answer| answer.status == 200)
            })
        });
        wait_for("every host and engine at each host", || {
            (0..HOST_COUNT).all(|number| {
                let log = self.folder.read(&format!("{number}-{LOG_FILE}"));
                let joined = log.lines().filter(|line| line.contains("host.joined"));
                let engines = self.engines.lock().expect("the engines");
                let mut current = engines.iter().filter_map(|processes| processes.last());
                joined.count() >= HOST_COUNT - 1
                    && current.all(|engine| is_listed_ready(&log, &engine.id))
            })
        });
    }

    fn start_host(&self, number: usize) -> Host {
        let domain = number % 2;
        let settings = settings(&format!("host-{number}"), self.store.addr)
            .replace("domain = z", &format!("domain = z{domain}"));
        let config = self.folder.write(&format!("{number}.ini"), &settings);
        let config = config.to_str().expect("a path").to_owned();
        let log = self.folder.write(&format!("{number}-{LOG_FILE}"), "");
        let process = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Host {
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            process,
            started: Instant::now(),
        }
    }

    /// Kills all hosts at once and starts them again.
    fn restart_hosts(&self) {
        for host in &mut *self.hosts.lock().expect("the hosts") {
            host.process.kill();
        }
        self.start_hosts();
    }

    /// Sends a request with these parts to the next host; returns its answer and when that host had started.
    fn send(&self, id: &str, parts: &[&str], last: &str) -> (Option<http::Answer>, Instant) {
        let number = self.count.fetch_add(1, Ordering::SeqCst) % HOST_COUNT;
        let (callers, started) = {
            let hosts = self.hosts.lock().expect("the hosts");
            (hosts[number].callers, hosts[number].started)
        };
        self.senders
            .lock()
            .expect("the senders")
            .insert(id.to_owned(), started);
        let prompt = self.prompts.headers(parts, last);
        let mut headers = vec![
            ("x-chiveway-attempt-id", id),
            ("x-chiveway-deadline-ms", "2000"),
        ];
        headers.extend(prompt.iter().map(|(name, value)| (*name, value.as_str())));
        let answer = http::send(callers, "POST", self.prompts.path, &headers, id.as_bytes());
        (answer, started)
    }

    fn send_bad(&self) {
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            thread::sleep(BAD_INTERVAL);
            if self.is_bad.load(Ordering::SeqCst) {
                count += 1;
                self.send(
                    &format!("bad-{count}"),
                    self.prompts.bad,
                    &format!("e{count:x}"),
                );
            }
        }
    }

    fn send_sound(&self, caller: usize) {
        let mut count = 0;
        while !self.finished.load(Ordering::SeqCst) {
            thread::sleep(SOUND_INTERVAL);
            count += 1;
            let sent = Instant::now();
            let second = format!("b{}", count % 4);
            let id = format!("sound-{caller}-{count}");
            let (answer, _) =
                self.send(&id, &[FIRST_PART, &second], &format!("c{caller}{count:x}"));
            let began =
                answer.is_some_and(|answer| answer.status == 200 && !answer.body.is_empty());
            self.sound.lock().expect("the record").push((sent, began));
        }
    }

    /// Starts crashed engines again, until the test is over.
    fn restart_engines(&self) {
        while !self.finished.load(Ordering::SeqCst) {
            thread::sleep(ENGINE_DELAY);
            for processes in &mut *self.engines.lock().expect("the engines") {
                let Some(last) = processes.last() else {
                    continue;
                };
                if last.part_crash().is_none_or(|at| at.elapsed() < BACK_AFTER) {
                    continue;
                }
                let next = last.restart(&(self.prompts.next_id)(&last.id));
                if next.id != last.id {
                    self.store.remove(&format!("servers/{}", last.id));
                }
                self.store
                    .put(&format!("servers/{}", next.id), &next.entry("ready"));
                processes.push(next);
            }
        }
    }

    /// Returns what `read` returns for each process of each engine.
    fn of_processes<T>(&self, read: impl Fn(&Engine) -> Vec<T>) -> Vec<T> {
        let engines = self.engines.lock().expect("the engines");
        engines.iter().flatten().flat_map(read).collect()
    }

    /// Returns when engines crashed, in order.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes = self.of_processes(|engine| engine.part_crash().into_iter().collect());
        crashes.sort();
        crashes
    }

    /// Returns the requests with the part that hosts in touch sent late: when they arrived, and their ids.
    fn late_sends(&self) -> Vec<(Instant, String)> {
        let Some(last) = self.crashes().get(CRASHES_TO_REFUSE - 1).copied() else {
            return Vec::new();
        };
        let senders = self.senders.lock().expect("the senders");
        let mut late = self.of_processes(Engine::part_requests);
        late.retain(|(at, id)| *at > last + LATE_AFTER && *at > senders[id] + LATE_AFTER);
        late
    }

    /// Returns how many sound requests were sent from `from` on, and how many of them were answered.
    fn count_sound(&self, from: Instant) -> (usize, usize) {
        thread::sleep((from + COUNT_TIME).saturating_duration_since(Instant::now()));
        let record = self.sound.lock().expect("the record");
        let sent = record
            .iter()
            .filter(|(at, _)| (from..from + COUNT_TIME).contains(at));
        let began = sent.clone().filter(|(_, began)| *began);
        (sent.count(), began.count())
    }

    /// Checks that sound requests sent from `from` on are answered at least half as often as `before`, and that few requests
    /// with the part were sent late.
    fn check(&self, before: (usize, usize), from: Instant) {
        let after = self.count_sound(from);
        assert!(
            before.0 >= MIN_SOUND && after.0 >= MIN_SOUND,
            "{before:?}, {after:?}"
        );
        let late = self.late_sends();
        let are_answered = after.1 * 2 * before.0 >= before.1 * after.0;
        assert!(
            are_answered && late.len() <= MAX_LATE_SENDS,
            "{} of {} sound requests were answered, {} of {} before; {} requests with the part were sent late; {} engines crashed",
            after.1,
            after.0,
            before.1,
            before.0,
            late.len(),
            self.crashes().len(),
        );
        let (_, prefilling) = self.prompts.engines;
        let prefills = self.of_processes(|engine| {
            let requests = engine.part_requests().into_iter();
            requests.filter(|_| engine.id.starts_with('p')).collect()
        });
        assert!(
            prefilling == 0 || !prefills.is_empty(),
            "no prompt was prefilled elsewhere"
        );
    }

    /// Waits until enough engines have crashed, or none crashes any more; returns the last crash that counts.
    fn wait_crashes(&self) -> Instant {
        wait_for("the crashes", || {
            let crashes = self.crashes();
            let last = crashes.last();
            crashes.len() >= CRASHES_TO_REFUSE || last.is_some_and(|at| at.elapsed() > LATE_AFTER)
        });
        let crashes = self.crashes();
        crashes[crashes.len().min(CRASHES_TO_REFUSE) - 1]
    }
}

/// Runs `check` beside the callers.
fn run(prompts: Prompts, check: impl FnOnce(&Site)) {
    let site = &Site::start(prompts);
    thread::scope(|scope| {
        let _finish = FinishOnDrop(&site.finished);
        scope.spawn(|| site.send_bad());
        for caller in 0..SOUND_CALLERS {
            scope.spawn(move || site.send_sound(caller));
        }
        scope.spawn(|| site.restart_engines());
        check(site);
    });
}

/// Counts sound requests, begins with the others, and checks both once they should be refused.
fn check_refused(site: &Site) {
    let before = site.count_sound(Instant::now());
    site.is_bad.store(true, Ordering::SeqCst);
    let last = site.wait_crashes();
    site.check(before, last + RECOVERED_AFTER);
}

/// Kills all hosts once they refuse the requests, and checks the hosts started after them.
fn check_restarted(site: &Site) {
    let before = site.count_sound(Instant::now());
    site.is_bad.store(true, Ordering::SeqCst);
    let last = site.wait_crashes();
    thread::sleep((last + LATE_AFTER).saturating_duration_since(Instant::now()));
    site.restart_hosts();
    site.check(before, Instant::now() + LATE_AFTER);
}

/// Tests of which KNOWN-RED.txt can name all at once.
mod at_several_hosts {
    use super::*;

    /// Defines one test for each kind of prompt.
    macro_rules! refused {
        ($($(#[$doc:meta])* $name:ident: $prompts:expr, $check:expr;)*) => {$(
            $(#[$doc])*
            #[test]
            fn $name() {
                run($prompts, $check);
            }
        )*};
    }

    /// The second part of short prompts; engines keep their ids.
    const SHORT: Prompts = Prompts {
        path: "/short/x",
        bad: &[FIRST_PART, BAD_PART],
        tokens: 100,
        engines: (8, 0),
        next_id: str::to_owned,
    };

    refused! {
        /// Guards against hosts that send such requests on for ever, since no two are alike, or refuse the sound ones too.
        a_part_in_the_middle_is_refused: SHORT, check_refused;
        /// Guards against hosts that look for the fault behind the first part only, and count an id that starts again once.
        a_first_part_is_refused: Prompts {
            bad: &[BAD_PART],
            next_id: |id| format!("{id}i"),
            ..SHORT
        }, check_refused;
        /// Guards against hosts that take the sound prefill of such a prompt for a proof that the part is sound.
        a_part_that_is_prefilled_elsewhere_is_refused: Prompts {
            path: "/long/x",
            tokens: 5000,
            engines: (8, 3),
            ..SHORT
        }, check_refused;
        /// Guards against hosts that learn of the part anew, by more crashes, after all of them were killed.
        a_part_is_refused_by_hosts_that_are_started_later: SHORT, check_restarted;
    }
}
