//! Two hosts of one failure domain, of which the first follows the store for both.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::http;
use super::process::{Process, TempDir};
use super::standin::{Engine, SHORT, config, settings};
use super::{LOG, Site, wait_for};

/// Renewals of the second host's lease, each four seconds, before which it must know a change. The
/// first may come at any moment.
const RENEWALS: u32 = 2;

/// Time between two changes, in which a host learns of one.
const BETWEEN: Duration = Duration::from_millis(300);

/// A second host beside a site's first.
pub struct Second {
    _host: Process,
    pub callers: SocketAddr,
    pub folder: TempDir,
}

impl Second {
    pub fn start(site: &Site) -> Self {
        let folder = TempDir::new();
        let config = folder.write("host.ini", &settings("host-2", site.store.addr));
        let config = config.to_str().expect("a path").to_owned();
        let log = folder.write(LOG, "");
        let host = Process::start_with_stdout(&["host", "-c", &config], &log);
        let line: Value = serde_json::from_str(&host.first_line).expect("a JSON line");
        let callers = line["callers"].as_str().and_then(|addr| addr.parse().ok());
        Self {
            callers: callers.expect("the callers' listener"),
            _host: host,
            folder,
        }
    }

    /// Tells whether the log names the first host as where the view comes from.
    fn is_told(&self) -> bool {
        let log = self.folder.read(LOG);
        let events = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut sources = events.filter(|event| event["event"] == "view.source");
        sources.any(|event| event["source"] == "host-1")
    }

    /// Tells whether a path is served.
    fn serves(&self, path: &str) -> bool {
        let mut headers = vec![
            ("x-chiveway-attempt-id", "id"),
            ("x-chiveway-deadline-ms", "8000"),
        ];
        headers.extend(SHORT);
        let answer = http::send(self.callers, "POST", path, &headers, b"body");
        answer.is_some_and(|answer| answer.status == 200)
    }
}

/// Has the second host learn of changes by the first, then stops that one as given and changes the
/// configuration.
fn change_after(stop: impl FnOnce(&mut Process)) {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let mut site = Site::ready(&[&plain, &decode]);
    let second = Second::start(&site);
    let mut version = 1;
    wait_for("a change by way of the first host", || {
        version += 1;
        site.store.put("op/config", &config(version, "/short/"));
        std::thread::sleep(BETWEEN);
        second.is_told()
    });
    assert!(!second.serves("/new/x"));
    stop(&mut site.host);
    site.store.put("op/config", &config(version + 1, "/new/"));
    let end = site.store.renewed("chiveway/hosts/host-2") + RENEWALS;
    let mut known = false;
    wait_for("the renewals", || {
        known = second.serves("/new/x");
        known || site.store.renewed("chiveway/hosts/host-2") >= end
    });
    assert!(known, "{}", second.folder.read(LOG));
}

macro_rules! changes {
    ($($(#[$doc:meta])* $name:ident: $stop:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { change_after($stop); })*
    };
}

changes! {
    /// The host that follows the store is killed, and nobody tells the other what changes next.
    a_change_after_the_followers_death_is_known: Process::kill;
    /// The host that follows the store stands still, and its watch with it.
    a_change_while_the_follower_stands_still_is_known: |host: &mut Process| host.freeze();
}
