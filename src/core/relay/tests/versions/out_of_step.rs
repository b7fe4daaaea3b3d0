//! Streams that are taken up at a host that is out of step with the others while servers of a new version join.

use super::*;

/// How a host is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Datagrams between it and the other hosts are lost.
    CutFromHosts,
    /// It does not reach the store, and no host sends it changes.
    CutFromStore,
    /// Both.
    CutOff,
    /// It stands still, and handles the take-up first when it goes on.
    Frozen,
    /// It stands still, and is cut off when it goes on.
    FrozenThenCutOff,
}

impl Fault {
    pub fn begin(self, site: &mut Site, host: usize) {
        match self {
            Self::CutFromHosts => site.cut_from_hosts(host),
            Self::CutFromStore => {
                site.hosts.store.unreachable.insert(host);
            }
            Self::CutOff => site.hosts.cut_off(host),
            Self::Frozen | Self::FrozenThenCutOff => {
                site.hosts.frozen.insert(host);
            }
        }
    }

    /// Has a frozen host go on.
    pub fn wake(self, site: &mut Site, host: usize) {
        site.hosts.frozen.remove(&host);
        if self == Self::FrozenThenCutOff {
            site.hosts.cut_off(host);
        }
    }
}

/// Begins streams at servers of a version through all hosts but one, and breaks them off.
fn begin_elsewhere(site: &mut Site, except: usize, version: &str) -> Vec<Stream> {
    let hosts = (0..site.hosts.hosts.len()).filter(|host| *host != except);
    let hosts: Vec<usize> = hosts.collect();
    let streams = hosts.into_iter().map(|host| site.begin(host));
    let streams: Vec<Stream> = streams.collect();
    site.hosts.pass(20);
    let mut begun = Vec::new();
    for stream in streams {
        site.leave(&stream);
        if Site::version(&stream.server) == version {
            begun.push(stream);
        }
    }
    begun
}

/// Defines one test for each fault, arrangement of hosts, host out of step, and milliseconds for which it is when streams begin.
macro_rules! out_of_step {
    ($($name:ident: $fault:ident, $hosts:expr, $domains:expr;)*) => {$(
        /// Guards against a host that takes the only version that it knows for the only one in use, while servers of another have
        /// joined.
        #[test]
        fn $name() {
            let mut site = Site::new($hosts, $domains, "aaa");
            let mut versions = ["aaa", "bbb", "ccc", "ddd", "eee", "fff", "ggg"].windows(2);
            for (host, millis) in [(0, 600), (0, 1300), (1, 100), (1, 600), (1, 1300), (1, 4000)] {
                let pair = versions.next().expect("versions");
                let (old, new) = (&pair[0][..1], &pair[1][..1]);
                Fault::$fault.begin(&mut site, host);
                site.list(&(pair[0].to_owned() + pair[1]));
                site.hosts.pass(millis);
                let streams = begin_elsewhere(&mut site, host, new);
                Fault::$fault.wake(&mut site, host);
                for stream in streams {
                    let outcome = site.take_up(host, &stream.id);
                    if let Outcome::Sent(server) = outcome {
                        assert_ne!(Site::version(&server), old, "host {host}, {millis} ms");
                    }
                }
                site.hosts.reconnect();
                site.list(pair[1]);
                site.hosts.pass(RETENTION_MS + LISTING_MS);
            }
        }
    )*};
}

out_of_step! {
    a_host_cut_from_the_others_mixes_no_versions: CutFromHosts, 8, 3;
    a_host_cut_from_the_others_mixes_no_versions_in_a_domain: CutFromHosts, 4, 1;
    a_host_cut_from_the_store_mixes_no_versions: CutFromStore, 8, 3;
    a_host_that_is_cut_off_mixes_no_versions: CutOff, 8, 3;
    a_host_that_is_cut_off_mixes_no_versions_in_a_domain: CutOff, 4, 1;
    a_host_that_stood_still_mixes_no_versions: Frozen, 8, 3;
    a_host_that_stood_still_and_is_cut_off_mixes_no_versions: FrozenThenCutOff, 8, 3;
}

/// All hosts take streams up, two servers of their version serve, and no host has a record. Guards against hosts in touch that
/// refuse what they can prove.
#[test]
fn hosts_in_touch_go_on_with_streams_of_the_only_version() {
    for (hosts, domains) in [(2, 1), (8, 3), (9, 1)] {
        let mut site = Site::new(hosts, domains, "aa");
        for host in 0..hosts {
            let stream = site.begin((host + 1) % hosts);
            site.leave(&stream);
            let outcome = site.take_up(host, &stream.id);
            assert_version(&outcome, "a");
        }
    }
}

/// A host is out of step for a few seconds. Guards against a host that still refuses streams of the only version once it is in
/// touch again.
#[test]
fn a_host_in_touch_again_goes_on_with_streams() {
    for fault in [Fault::CutFromHosts, Fault::CutOff, Fault::Frozen] {
        let mut site = Site::new(8, 3, "aaa");
        fault.begin(&mut site, 1);
        site.hosts.pass(4000);
        fault.wake(&mut site, 1);
        site.hosts.reconnect();
        site.hosts.pass(3000);
        let stream = site.begin(4);
        site.leave(&stream);
        let outcome = site.take_up(1, &stream.id);
        assert_version(&outcome, "a");
    }
}

/// The store answers nobody. Guards against take-ups that go on by a list of before, against those that wait for long, and against
/// hosts that refuse the streams of which they know the version.
#[test]
fn streams_without_a_record_are_refused_while_the_store_is_down() {
    let mut site = Site::new(8, 3, "aaa");
    let before = site.begin(3);
    site.leave(&before);
    site.hosts.store.unresponsive = true;
    for host in [1, 2, 4, 5] {
        assert_eq!(site.take_up(host, &before.id), Outcome::Refused);
        site.hosts.pass(600);
    }
    let stream = site.begin(3);
    site.hosts.pass(20);
    site.leave(&stream);
    assert_version(&site.take_up(1, &stream.id), "a");
    site.hosts.store.unresponsive = false;
    site.hosts.pass(RETENTION_MS + LISTING_MS);
    let stream = site.begin(3);
    site.leave(&stream);
    assert_version(&site.take_up(1, &stream.id), "a");
}
