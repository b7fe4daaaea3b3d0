//! Two hosts of one failure domain; the first is the watcher of the store for both.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::http;
use super::process::{Process, TempDir};
use super::standin::{Engine, SHORT_PROMPT, config, settings};
use super::{LOG_FILE, Site, is_listed_ready, wait_for};

/// Renewals of the second host's lease, one every four seconds, within which it must apply a change. The
/// first may follow at once.
const MAX_RENEWALS: u32 = 2;

/// Time between two changes, in which the second host reads one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// A second host at the store of a [`Site`].
pub struct SecondHost {
    _host: Process,
    pub callers: SocketAddr,
    pub folder: TempDir,
}

impl SecondHost {
    pub fn start(site: &Site) -> Self {
        Self::start_in("z", site.store.addr)
    }

    /// Starts it in a failure domain, with an address of the store of its own.
    pub fn start_in(domain: &str, store: SocketAddr) -> Self {
        let folder = TempDir::new();
        let settings = settings("host-2", store);
        let settings = settings.replace("domain = z", &format!("domain = {domain}"));
        let config = folder.write("host.ini", &settings);
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG_FILE, "");
        let host = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&host.first_line).expect("a JSON line");
        let callers = line["callers"].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: callers.expect("the callers' listener"),
            _host: host,
            folder,
        }
    }

    /// Waits until both hosts have all engines listed and know each other.
    pub fn wait_joined(&self, site: &Site, engines: &[Engine]) {
        let logs = || [site.log(), self.folder.read(LOG_FILE)];
        wait_for("every engine at both hosts", || {
            let logs = logs();
            let listed = |engine: &Engine| logs.iter().all(|log| is_listed_ready(log, &engine.id));
            engines.iter().all(listed)
        });
        wait_for("the hosts to know each other", || {
            let joined = |log: &str, host: &str| {
                let mut lines = log.lines();
                lines.any(|line| line.contains("host.joined") && line.contains(host))
            };
            let [first, second] = logs();
            joined(&first, "host-2") && joined(&second, "host-1")
        });
    }

    /// Returns whether the log names the first host as the source of the view.
    fn uses_first_host(&self) -> bool {
        let log = self.folder.read(LOG_FILE);
        let events = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut sources = events.filter(|event| event["event"] == "view.source");
        sources.any(|event| event["source"] == "host-1")
    }

    /// Returns whether a request on a path is served.
    fn serves(&self, path: &str) -> bool {
        let mut headers = vec![
            ("x-chiveway-attempt-id", "id"),
            ("x-chiveway-deadline-ms", "8000"),
        ];
        headers.extend(SHORT_PROMPT);
        let answer = http::send(self.callers, "POST", path, &headers, b"body");
        answer.is_some_and(|answer| answer.status == 200)
    }
}

/// Waits until the second host gets changes from the first, then runs `stop` on the first and changes the
/// configuration.
fn change_config_after(stop: impl FnOnce(&mut Process)) {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let mut site = Site::ready(&[&plain, &decode]);
    let second = SecondHost::start(&site);
    let mut version = 1;
    wait_for("a view from the first host", || {
        version += 1;
        site.store.put("op/config", &config(version, "/short/"));
        std::thread::sleep(CHANGE_INTERVAL);
        second.uses_first_host()
    });
    assert!(!second.serves("/new/x"));
    stop(&mut site.host);
    site.store.put("op/config", &config(version + 1, "/new/"));
    let end = site.store.renewals("chiveway/hosts/host-2") + MAX_RENEWALS;
    let mut applied = false;
    wait_for("the lease renewals", || {
        applied = second.serves("/new/x");
        applied || site.store.renewals("chiveway/hosts/host-2") >= end
    });
    assert!(applied, "{}", second.folder.read(LOG_FILE));
}

macro_rules! changes {
    ($($(#[$doc:meta])* $name:ident: $stop:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { change_config_after($stop); })*
    };
}

changes! {
    /// The watcher is killed. Guards against the other host waiting for changes that no host sends.
    a_change_after_the_watcher_crashes_is_applied: Process::kill;
    /// The watcher is frozen and its watch with it. Guards against the other host waiting for its changes.
    a_change_while_the_watcher_is_frozen_is_applied: |host: &mut Process| host.freeze();
}
