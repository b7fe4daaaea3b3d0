//! Streams whose route leads, or has led, to several services, each of which has servers of one version.

use super::*;

/// Has the route of streams lead to these services at all hosts.
pub fn lead_to(site: &mut Site, version: u64, services: &[&str]) {
    let mut catalog = catalog(version);
    for route in &mut catalog.routes {
        let services = services.iter();
        route.split = services.map(|service| ((*service).into(), 1)).collect();
        route.timeout = Duration::from_mins(1);
    }
    let other = catalog.services["plain"].clone();
    catalog.services.insert("other".into(), other);
    for host in 0..site.hosts.hosts.len() {
        site.host(host).configure(catalog.clone());
        site.hosts.send_effects(host);
    }
}

/// Returns a site with servers of version `a` in one service and of version `b` in another.
fn with_two_services() -> Site {
    let mut site = Site::new(4, 1, "a");
    let entries = ["a0", "a1", "a2", "b3", "b4", "b5"].map(|id| BackendEntry {
        service: if id.starts_with('a') {
            "plain"
        } else {
            "other"
        }
        .into(),
        version: Some(id[..1].into()),
        revision: site.hosts.store.revision + 1,
        ..plain_entry(id)
    });
    site.hosts.store.list(entries.to_vec());
    site.hosts.pass(RETENTION_MS + LISTING_MS);
    site
}

/// Takes each stream up at two hosts; asserts that none goes on at another version, and returns how often one goes on.
fn take_up_all(site: &mut Site, streams: &[Stream]) -> usize {
    let mut went_on = 0;
    for stream in streams {
        for host in [2, 3] {
            let outcome = site.take_up(host, &stream.id);
            if outcome != Outcome::Refused {
                assert_version(&outcome, Site::version(&stream.server));
                went_on += 1;
            }
        }
    }
    went_on
}

fn begin_and_leave(site: &mut Site, count: usize) -> Vec<Stream> {
    let streams = (0..count).map(|number| site.begin(number % 2));
    let streams: Vec<Stream> = streams.collect();
    site.hosts.pass(20);
    for stream in &streams {
        site.leave(stream);
    }
    streams
}

/// The configuration moves the route to another service between the break of a stream and its take-up. Guards against a host that
/// goes by the only version of the service that the route leads to now.
#[test]
fn a_stream_of_a_moved_route_goes_on_at_no_other_version() {
    let mut site = with_two_services();
    lead_to(&mut site, 1000, &["plain"]);
    let streams = begin_and_leave(&mut site, 4);
    lead_to(&mut site, 1001, &["other"]);
    assert_eq!(take_up_all(&mut site, &streams), 0);
    // Long after the move only streams of the new service come.
    site.hosts.pass(RETENTION_MS + LISTING_MS);
    let streams = begin_and_leave(&mut site, 4);
    assert_eq!(take_up_all(&mut site, &streams), 8);
}

/// The route is split between two services. Guards against a host that goes by the only version of the one that it draws, and against
/// hosts that refuse all such streams.
#[test]
fn a_stream_of_a_split_route_goes_on_at_its_version() {
    let mut site = with_two_services();
    lead_to(&mut site, 1000, &["plain", "other"]);
    let streams = begin_and_leave(&mut site, 8);
    assert!(take_up_all(&mut site, &streams) >= 12);
}

/// A stream is under way when its route becomes split. Guards against hosts that refuse it since nobody has its record.
#[test]
fn a_stream_that_began_before_its_route_was_split_is_taken_up() {
    let mut site = with_two_services();
    lead_to(&mut site, 1000, &["plain"]);
    let stream = site.begin(0);
    lead_to(&mut site, 1001, &["plain", "other"]);
    site.hosts.pass(20);
    site.leave(&stream);
    assert_eq!(take_up_all(&mut site, &[stream]), 2);
}
