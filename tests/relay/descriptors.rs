//! Hosts that run out of file descriptors.

use std::io::{BufReader, Read as _, Write as _};
use std::net::TcpStream;

use rustix::process::{Pid, Resource, Rlimit, prlimit};

use super::{Engine, Site, http};

/// Requests sent while no descriptor is left; links count as lost after fewer failures.
const REQUEST_COUNT: usize = 6;
/// Highest number of a descriptor, below those in use, so that no new one can be opened.
const NO_MORE: u64 = 8;

/// Lets a host open no more descriptors, or as many as before.
fn limit_descriptors(site: &Site, max: Option<u64>) -> Option<u64> {
    let pid = i32::try_from(site.host.id()).ok().and_then(Pid::from_raw);
    let hard = rustix::process::getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: max,
        maximum: hard,
    };
    let old = prlimit(pid, Resource::Nofile, limit).expect("the limit can be set");
    old.current
}

/// Sends a request on an open connection; returns the status and the body of the answer.
fn send(stream: &mut TcpStream, path: &str) -> (u16, String) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-chiveway-attempt-id: id-1\r\n\
         x-chiveway-deadline-ms: 8000\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut reader = BufReader::new(stream);
    let (mut status, mut length) = (0, 0);
    while let Some(line) = http::read_line(&mut reader).filter(|line| !line.is_empty()) {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a number");
        } else if let Some(rest) = lower.strip_prefix("http/1.1 ") {
            status = rest[..3].parse().expect("a status");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    (status, String::from_utf8_lossy(&body).into())
}

/// Callers' connections take all descriptors. Guards against a host that takes its own want of descriptors for servers
/// that crashed, or for lost links, and refuses requests after it has some again.
#[test]
fn a_host_without_descriptors_blames_no_server() {
    let servers = [
        Engine::plain("s-1"),
        Engine::plain("s-2"),
        Engine::plain("s-3"),
    ];
    let site = Site::ready(&servers.each_ref());
    let mut streams: Vec<TcpStream> = (0..REQUEST_COUNT)
        .map(|_| TcpStream::connect(site.callers).expect("the host listens"))
        .collect();
    for stream in &mut streams {
        assert_eq!(
            send(stream, "/no-route/x").0,
            404,
            "the connection is accepted"
        );
    }
    let old = limit_descriptors(&site, Some(NO_MORE));
    for stream in &mut streams {
        let (status, answer) = send(stream, "/once/x");
        assert_eq!(status, 503, "{answer}");
        assert!(answer.contains("no file descriptor"), "{answer}");
    }
    limit_descriptors(&site, old);
    let answer = site.send("/once/x", "id-2", &[]).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    let log = site.log();
    for event in ["links.lost", "backend.avoided"] {
        assert!(!log.contains(event), "{event}");
    }
}
