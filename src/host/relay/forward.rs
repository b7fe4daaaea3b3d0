//! Requests forwarded between hosts, by HTTP.
//!
//! A host sends its caller's request to the address at which the other takes gossip, with headers of its own that
//! bear a MAC under the secret that the hosts share. The other answers as it would answer the caller; a
//! refusal of its own is marked, since it may be sent to a third host.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::backends::{
    CONNECT_TIMEOUT, FailedAttempt, MISDIRECTED, Source, as_bytes, drain_and_release, read_reply,
    run_until,
};
use super::{Prepared, apply, identity};
use crate::backend::pool::Call;
use crate::core::effect::Refusal;
use crate::core::relay::event::{
    DepartureReport, Departures, ForwardRefusal, Forwarded, Reader, RelayEvent, Spent,
};
use crate::core::relay::versions::Version;
use crate::error::{Kind, Ran};
use crate::host::node::Node;
use crate::platform::header::{self, Header};

/// Start of the names of all headers between hosts.
const PREFIX: &str = "chiveway-forward-";
/// Name of the host that forwards.
const FROM: &str = "chiveway-forward-from";
/// Milliseconds until the request's deadline.
const DEADLINE_MS: &str = "chiveway-forward-deadline-ms";
/// Number of the last event that the caller received.
const RESUME: &str = "chiveway-forward-resume";
/// Version at which the stream began, as a number.
const VERSION: &str = "chiveway-forward-version";
/// What the request has used up: runs, arrivals and prefills.
const SPENT: &str = "chiveway-forward-spent";
/// MAC of the other headers and of the request.
const MAC: &str = "chiveway-forward-mac";
/// Servers that left: the era, then instance, start and revision of each.
const DEPARTURES: &str = "chiveway-forward-departures";
/// MAC of the departures and of the request's MAC. Hosts of earlier versions ignore both.
const DEPARTURES_MAC: &str = "chiveway-forward-departures-mac";
/// Marks a refusal by the other host: code and whether the request ran.
const REFUSED: &str = "chiveway-forward-refused";
/// Idle connections kept to another host.
const MAX_IDLE: usize = 16;
/// Time for which an idle connection to another host is kept, shorter than the time for which that host keeps it.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// What a host states of a request that it forwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Name of the host.
    pub from: Box<str>,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Number of the last event that the caller received.
    pub resume: Option<u64>,
    /// Version at which its stream began, once that is known.
    pub version: Option<Version>,
    /// What the request has used up there.
    pub spent: Spent,
    /// Servers that left.
    pub departures: Departures,
}

impl Origin {
    fn encode(&self) -> Vec<(&'static str, String)> {
        let Spent {
            runs,
            arrivals,
            prefills,
        } = self.spent;
        let mut headers = vec![
            (FROM, self.from.to_string()),
            (DEADLINE_MS, self.remaining.as_millis().to_string()),
            (SPENT, format!("{runs},{arrivals},{prefills}")),
        ];
        headers.extend(self.resume.map(|last| (RESUME, last.to_string())));
        headers.extend(self.version.map(|began| (VERSION, began.0.to_string())));
        headers
    }

    /// Decodes the headers of a forwarded request, given with lower-case names.
    fn decode(headers: &[(&str, &[u8])]) -> Option<Self> {
        let find = |name: &str| {
            let (_, value) = headers.iter().find(|(other, _)| *other == name)?;
            std::str::from_utf8(value).ok()
        };
        let mut spent = find(SPENT)?.split(',').map(str::parse);
        let mut count = || spent.next()?.ok();
        Some(Self {
            from: find(FROM)?.into(),
            remaining: Duration::from_millis(find(DEADLINE_MS)?.parse().ok()?),
            resume: match find(RESUME) {
                Some(last) => Some(last.parse().ok()?),
                None => None,
            },
            version: match find(VERSION) {
                Some(began) => Some(Version(began.parse().ok()?)),
                None => None,
            },
            spent: Spent {
                runs: count()?,
                arrivals: count()?,
                prefills: count()?,
            },
            departures: match find(DEPARTURES) {
                Some(text) => decode_departures(text)?,
                None => Departures::default(),
            },
        })
    }
}

fn encode_departures(departures: &Departures) -> String {
    let reports = departures.reports.iter().map(|report| {
        let revision = report.revision.map(|revision| revision.to_string());
        let (instance, started) = (report.instance, report.started_ms);
        format!(",{instance}:{started}:{}", revision.unwrap_or_default())
    });
    format!("{}{}", departures.era, reports.collect::<String>())
}

fn decode_departures(text: &str) -> Option<Departures> {
    let mut parts = text.split(',');
    let era = parts.next()?.parse().ok()?;
    let reports = parts.map(|part| {
        let (instance, rest) = part.split_once(':')?;
        let (started, revision) = rest.split_once(':')?;
        Some(DepartureReport {
            instance: instance.parse().ok()?,
            started_ms: started.parse().ok()?,
            revision: match revision {
                "" => None,
                revision => Some(revision.parse().ok()?),
            },
        })
    });
    let reports = reports.collect::<Option<Vec<_>>>()?;
    Some(Departures { era, reports })
}

/// Returns the MAC of a forwarded request.
fn mac(secret: &[u8; 32], origin: &Origin, target: &str, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    for (name, value) in origin.encode() {
        hasher.update(format!("{name}: {value}\n").as_bytes());
    }
    hasher.update(target.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    hasher.finalize()
}

/// Returns the MAC of the departures that go along with the request of a MAC.
fn departures_mac(
    secret: &[u8; 32],
    departures: &Departures,
    request: &blake3::Hash,
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(request.as_bytes());
    hasher.update(encode_departures(departures).as_bytes());
    hasher.finalize()
}

/// Returns the headers by which a host states what it knows of a request, with their MACs.
pub(super) fn seal(
    secret: &[u8; 32],
    origin: &Origin,
    target: &str,
    body: &[u8],
) -> Vec<(&'static str, String)> {
    let mac = mac(secret, origin, target, body);
    let mut headers = origin.encode();
    headers.push((MAC, mac.to_hex().to_string()));
    if !origin.departures.reports.is_empty() {
        let departures = &origin.departures;
        let own = departures_mac(secret, departures, &mac);
        headers.push((DEPARTURES, encode_departures(departures)));
        headers.push((DEPARTURES_MAC, own.to_hex().to_string()));
    }
    headers
}

/// Runs one attempt at another host until it ends or is cancelled.
pub async fn run(node: Rc<Node>, out: Forwarded, ended: oneshot::Receiver<()>) {
    let result = exchange(&node, &out);
    run_until(&node, out.attempt, result, ended).await;
}

fn build_call(prepared: &Prepared, out: &Forwarded, secret: &[u8; 32]) -> Call {
    let origin = Origin {
        from: out.from.clone(),
        remaining: out.remaining,
        resume: out.resume,
        version: out.version,
        spent: out.spent,
        departures: out.departures.clone(),
    };
    let all = prepared.headers.iter().chain(&prepared.credentials);
    let sent = all.filter(|(name, _)| !name.starts_with(PREFIX));
    let mut headers: Vec<Header> = sent.cloned().collect();
    // A server that has the host's address by now must not run the request.
    let (name, value) = header::expect_instance(&out.to);
    headers.push((name.into(), value.into_bytes().into()));
    let own = seal(secret, &origin, &prepared.path, &prepared.body).into_iter();
    headers.extend(own.map(|(name, value)| (name.into(), value.into_bytes().into())));
    Call {
        addr: out.addr,
        method: prepared.method.clone(),
        path: prepared.path.clone(),
        id: identity::request_id(prepared),
        may_repeat: false,
        headers,
        body: prepared.body.clone(),
    }
}

async fn exchange(node: &Rc<Node>, out: &Forwarded) -> Result<(), FailedAttempt> {
    let Some(prepared) = node.relay.prepared(out.call) else {
        return Ok(());
    };
    let Some(evidence) = node.relay.evidence(out.call) else {
        return Ok(());
    };
    let Some(secret) = node.relay.secret.get() else {
        let detail = "the secret of the hosts is not known";
        return Err(FailedAttempt::unsent(detail));
    };
    let source = Source {
        call: out.call,
        attempt: out.attempt,
        max_idle: MAX_IDLE,
        pool: &node.relay.hosts,
    };
    let call = build_call(&prepared, out, &secret);
    let sends = &evidence.sends;
    let answer = source
        .pool
        .send_counted(&call, CONNECT_TIMEOUT, sends)
        .await?;
    let status = answer.response.status().as_u16();
    let headers = as_bytes(answer.response.headers());
    let mut reply = header::decode_answer(status, &headers);
    reply.keep_alive = Some(IDLE_TIME);
    let refusal = decode_refusal(&headers);
    // Hosts of earlier builds name no request in their refusals.
    let may_be_unnamed = refusal.is_some() || status == MISDIRECTED && answer.is_first();
    let is_unnamed = reply.attempt_id.is_none() && may_be_unnamed;
    if !is_unnamed && !identity::names(&reply, &prepared) || identity::is_merged(&answer) {
        let expected = identity::request_id(&prepared);
        let foreign = identity::report(node, Reader::Host, &out.to, expected, &reply, status);
        return Err(foreign.into());
    }
    if let Some(refusal) = refusal {
        if refusal.ran == Ran::No {
            evidence.not_run();
        }
        // A late copy of a refusal without an id would be believed as that of the next request.
        if !is_unnamed {
            drain_and_release(answer, source, reply.keep_alive);
        }
        let attempt = out.attempt;
        apply(node, RelayEvent::ForwardRefused { attempt, refusal });
        return Ok(());
    }
    if status == MISDIRECTED {
        evidence.not_run();
        drain_and_release(answer, source, reply.keep_alive);
        let detail = format!("another server has the address of host {}", out.to);
        return Err(FailedAttempt::unsent(&detail));
    }
    read_reply(node, source, answer, reply, out.streaming).await
}

/// Decodes the mark of a refusal by the other host.
fn decode_refusal(headers: &[(&str, &[u8])]) -> Option<ForwardRefusal> {
    let find = |name: &str| {
        let (_, value) = headers.iter().find(|(other, _)| *other == name)?;
        std::str::from_utf8(value).ok()
    };
    let (code, ran) = find(REFUSED)?.split_once(',')?;
    let retry = find("retry-after").and_then(|value| value.parse().ok());
    Some(ForwardRefusal {
        kind: Kind::from_code(code).unwrap_or(Kind::Internal),
        ran: Ran::from_name(ran).unwrap_or(Ran::Unknown),
        retry_after: retry.and_then(|secs| Duration::try_from_secs_f64(secs).ok()),
    })
}

/// Returns the header that marks a refusal by this host.
pub(super) fn refusal_header(refusal: &Refusal) -> (&'static str, String) {
    let code = refusal.kind.answer().code;
    (REFUSED, format!("{code},{}", refusal.ran.name()))
}

/// Whether a header is one between hosts, which neither callers nor servers set.
pub(super) fn is_internal(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Returns what the host that forwarded a request states, if its MAC is right.
pub(super) fn verify(
    secret: Option<[u8; 32]>,
    headers: &[(&str, &[u8])],
    target: &str,
    body: &[u8],
) -> Option<Origin> {
    let (origin, secret) = (Origin::decode(headers)?, secret?);
    let find = |name: &str| {
        let (_, value) = headers.iter().find(|(other, _)| *other == name)?;
        blake3::Hash::from_hex(value).ok()
    };
    // The comparisons take constant time.
    let request = mac(&secret, &origin, target, body);
    if request != find(MAC)? {
        return None;
    }
    let is_stated = headers.iter().any(|(name, _)| *name == DEPARTURES);
    let is_sealed =
        || Some(departures_mac(&secret, &origin.departures, &request)) == find(DEPARTURES_MAC);
    (!is_stated || is_sealed()).then_some(origin)
}
