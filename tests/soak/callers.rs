//! Callers of a play: they send all the while, and note what came of each request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::check::{Kind, Seen};
use crate::standin::{LONG, SHORT};
use crate::world::{CALLERS, Door, HOSTS, World};
use crate::{LIMIT, http};

/// Renewals of a host's lease, four seconds apart, within which it must know what the store knows.
const RENEWALS: u32 = 2;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

impl World {
    /// Watches which configuration a host has in force, until the play is over.
    pub fn probe(&self, host: usize) {
        let mut count = 0;
        while !self.over.load(Ordering::SeqCst) {
            let newest = self.version.load(Ordering::SeqCst);
            let door = self.door(host);
            for version in (1..=newest).rev() {
                count += 1;
                let id = format!("probe-{host}-{count}");
                let path = format!("/v{version}/x");
                if send(&door, &path, &id, &[]).is_some_and(|answer| answer.status == 200) {
                    let mut known = self.known.lock().expect("no panic");
                    known.entry(door.name.clone()).or_default().push(version);
                    break;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
    }

    fn door(&self, host: usize) -> Door {
        self.doors.lock().expect("no panic")[host].clone()
    }

    /// Sends requests until the play is over.
    pub fn call(&self, seed: u64, number: u64) {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLERS) + number);
        let mut count = 0;
        while !self.over.load(Ordering::SeqCst) {
            count += 1;
            let door = self.door(rng.random_range(0..HOSTS));
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            self.request(&door, kind, &format!("c{number}-{count}"));
            thread::sleep(PAUSE);
        }
    }

    /// Sends a request and notes what came of it; returns whether it was served whole.
    fn request(&self, door: &Door, kind: Kind, id: &str) -> bool {
        let wild = |count: &AtomicU64| count.load(Ordering::SeqCst);
        let all = self.known.lock().expect("no panic");
        let knows = all.get(&door.name).and_then(|all| all.last()).copied();
        drop(all);
        let before = (wild(&self.wild.0), wild(&self.wild.1));
        let more: &[(&str, &str)] = match kind {
            Kind::Once | Kind::Again => &[],
            Kind::Long => &LONG,
            Kind::Short => &SHORT,
        };
        let answer = send(door, kind.path(), id, more);
        let after = (wild(&self.wild.0), wild(&self.wild.1));
        let header = |name: &str| Some(answer.as_ref()?.header(name)?.to_owned());
        let seen = Seen {
            id: id.to_owned(),
            kind,
            status: answer.as_ref().map(|answer| answer.status),
            echo: header("x-chiveway-attempt-id"),
            stamp: header("x-chiveway-server-stamp"),
            body: answer.as_ref().map_or(String::new(), http::Answer::text),
            whole: answer.as_ref().is_some_and(|answer| answer.complete),
            calm: before.0 == 0 && before == after,
        };
        let served = seen.status == Some(200) && seen.whole;
        self.seen
            .lock()
            .expect("no panic")
            .push((seen, knows.unwrap_or(0)));
        served
    }

    /// Returns the kinds of requests that a host does not serve again in time.
    pub fn served_within(&self, round: &str, host: usize, limit: Duration) -> Vec<String> {
        let start = Instant::now();
        let mut missing = Vec::new();
        for kind in Kind::ALL {
            let mut count = 0;
            loop {
                count += 1;
                let door = self.door(host);
                let id = format!("r{}-{kind:?}-{count}-{round}", door.name);
                if self.request(&door, kind, &id) {
                    break;
                }
                if start.elapsed() > limit {
                    let over = self.hosts[host]
                        .lock()
                        .expect("no panic")
                        .process
                        .has_exited();
                    let state = if over { "has ended" } else { "lives" };
                    missing.push(format!(
                        "{} {}, its process {state}",
                        door.name,
                        kind.path()
                    ));
                    break;
                }
                thread::sleep(PAUSE);
            }
        }
        missing
    }

    /// Returns what hosts do not serve, or do not know, once every fault has ended.
    pub fn unrecovered(&self) -> Vec<String> {
        let outdated = (0..HOSTS).filter_map(|host| self.outdated(host));
        let outdated: Vec<String> = outdated.collect();
        let unserved = (0..HOSTS).flat_map(|host| self.served_within("end", host, LIMIT));
        unserved.chain(outdated).collect()
    }

    /// Tells whether a host still does not know the newest configuration once the store has answered
    /// some renewals of its lease.
    fn outdated(&self, host: usize) -> Option<String> {
        let newest = self.version.load(Ordering::SeqCst);
        let key = format!("chiveway/hosts/host-{host}");
        let (start, end) = (Instant::now(), self.store.renewed(&key) + RENEWALS);
        let mut count = 0;
        while self.store.renewed(&key) < end && start.elapsed() < LIMIT {
            count += 1;
            let door = self.door(host);
            let id = format!("probe-{host}-newest-{count}");
            let answer = send(&door, &format!("/v{newest}/x"), &id, &[]);
            if answer.is_some_and(|answer| answer.status == 200) {
                return None;
            }
            thread::sleep(PAUSE);
        }
        Some(format!("host-{host} does not know version {newest}"))
    }
}

fn send(door: &Door, path: &str, id: &str, more: &[(&str, &str)]) -> Option<http::Answer> {
    let mut headers = vec![
        ("x-chiveway-attempt-id", id),
        ("x-chiveway-deadline-ms", "2500"),
    ];
    headers.extend(more);
    http::send(door.callers, "POST", path, &headers, id.as_bytes())
}
