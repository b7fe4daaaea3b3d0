//! Handler of the operators' listener: lists, explanations, state, metrics, health.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use super::node::Node;
use super::problem;
use super::report;
use crate::core::effect::{OperatorAnswer, Refusal};
use crate::core::event::{Edit, ListKind, OperatorEvent};
use crate::error::Kind;
use crate::lists::{Lists, Plans, Uses, diff};
use crate::web;

/// Largest size of a list.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for receiving a list from an operator.
const LIST_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for reading the body of a request that is refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one request.
pub async fn handle(node: Rc<Node>, mut req: Request) -> Response {
    let path = req.path().to_owned();
    if req.method() == Method::GET {
        match path.as_str() {
            "/healthz" => return text(StatusCode::OK, "ok\n"),
            "/readyz" => return ready(&node),
            _ => {}
        }
    }
    if !is_authorized(&node, &req) {
        web::discard_body(&mut req, MAX_LIST_BYTES, DISCARD_TIMEOUT).await;
        let detail = "the operators' key is missing or wrong";
        return problem::answer(&Refusal::new(Kind::BadKey, detail), "");
    }
    let get = req.method() == Method::GET;
    match path.trim_start_matches('/').split_once('/') {
        Some(("lists", "force")) if get => lists_in_force(&node, &req),
        Some(("lists", list)) => match parse_list_name(list) {
            Some(which) if get => get_list(&node, which),
            Some(which) if req.method() == Method::PUT => put_list(&node, req, which).await,
            _ => not_found(),
        },
        Some(("explain", id)) if get => explain(&node, id).await,
        None if get && path == "/status" => {
            json_answer(StatusCode::OK, &node.with_core(report::status))
        }
        None if get && path == "/metrics" => metrics(&node),
        _ => not_found(),
    }
}

fn not_found() -> Response {
    let refusal = Refusal::new(Kind::NotFound, "there is nothing at this path");
    problem::answer(&refusal, "")
}

fn parse_list_name(list: &str) -> Option<ListKind> {
    match list {
        "plans" => Some(ListKind::Plans),
        "use" => Some(ListKind::Uses),
        _ => None,
    }
}

fn text(status: StatusCode, text: &str) -> Response {
    Response::build(status)
        .content_type("text/plain; charset=utf-8")
        .body(text.to_owned())
}

fn json_answer(status: StatusCode, value: &Value) -> Response {
    Response::build(status)
        .content_type("application/json")
        .body(value.to_string())
}

fn ready(node: &Rc<Node>) -> Response {
    match node.with_core(report::ready) {
        Ok(()) => text(StatusCode::OK, "ready\n"),
        Err(why) => text(StatusCode::SERVICE_UNAVAILABLE, &format!("{why}\n")),
    }
}

/// Checks the operators' key; the comparison of hashes takes constant time.
fn is_authorized(node: &Rc<Node>, req: &Request) -> bool {
    let key = req.headers().get("authorization");
    let key = key.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let expected = node.with_core(|core| core.settings.host.operator_key_hash);
    key.is_some_and(|key| blake3::hash(key.trim().as_bytes()) == blake3::Hash::from_bytes(expected))
}

fn get_list(node: &Rc<Node>, which: ListKind) -> Response {
    let (revision, body) = node.with_core(|core| {
        let lists = &core.config.lists;
        let body = match which {
            ListKind::Plans => lists.plans.to_string(),
            ListKind::Uses => lists.uses.to_string(),
        };
        (lists.revision, body)
    });
    Response::build(StatusCode::OK)
        .content_type("text/plain; charset=utf-8")
        .header("etag", format!("\"{revision}\""))
        .body(body)
}

async fn put_list(node: &Rc<Node>, mut req: Request, list: ListKind) -> Response {
    let base = req.headers().get("if-match");
    let base = base.and_then(|value| value.to_str().ok()?.trim_matches('"').parse().ok());
    let Some(base) = base else {
        let detail = "If-Match does not name the revision that was edited";
        return problem::answer(&Refusal::new(Kind::Malformed, detail), "");
    };
    let bytes = match web::read_body(&mut req, MAX_LIST_BYTES, LIST_BODY_TIMEOUT).await {
        Ok(bytes) => bytes,
        Err(status) => return text(status, "the list could not be read\n"),
    };
    let Ok(body) = std::str::from_utf8(&bytes) else {
        let refusal = Refusal::new(Kind::Malformed, "the list is not UTF-8");
        return problem::answer(&refusal, "");
    };
    let edit = Edit {
        list,
        text: body.into(),
        base_revision: base,
    };
    let answer = node
        .operator_query(|ask| OperatorEvent::Apply { command: ask, edit })
        .await;
    match answer {
        Some(OperatorAnswer::Accepted(revision)) => {
            json_answer(StatusCode::OK, &json!({"revision": revision}))
        }
        Some(OperatorAnswer::Conflict {
            revision,
            text: theirs,
        }) => {
            let diff = conflict_diff(list, body, &theirs);
            json_answer(
                StatusCode::CONFLICT,
                &json!({"revision": revision, "diff": diff}),
            )
        }
        Some(OperatorAnswer::Faults(faults)) => {
            json_answer(StatusCode::UNPROCESSABLE_ENTITY, &json!({"faults": faults}))
        }
        Some(OperatorAnswer::StoreDown) => {
            let detail = "the key-value service does not answer; the edit had no effect";
            problem::answer(&Refusal::new(Kind::StoreDown, detail), "")
        }
        _ => {
            let detail = "whether the edit was accepted is not known; get the list and look";
            problem::answer(&Refusal::new(Kind::Internal, detail), "")
        }
    }
}

/// Returns the differences between an operator's edit and the list in force, one per line.
fn conflict_diff(list: ListKind, mine: &str, theirs: &str) -> String {
    let read = |text: &str| {
        let mut lists = Lists::default();
        match list {
            ListKind::Plans => lists.plans = Plans::parse(text, "plans").unwrap_or_default(),
            ListKind::Uses => lists.uses = Uses::parse(text, "use").unwrap_or_default(),
        }
        lists
    };
    diff(&read(mine), &read(theirs)).join("\n")
}

fn lists_in_force(node: &Rc<Node>, req: &Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let revision = query.strip_prefix("revision=");
    let Some(revision) = revision.and_then(|number| number.parse().ok()) else {
        let refusal = Refusal::new(Kind::Malformed, "ask with ?revision=NUMBER");
        return problem::answer(&refusal, "");
    };
    json_answer(
        StatusCode::OK,
        &node.with_core(|core| report::revision_in_force(core, revision)),
    )
}

async fn explain(node: &Rc<Node>, id: &str) -> Response {
    let id = id.into();
    let answer = node
        .operator_query(|ask| OperatorEvent::Explain { command: ask, id })
        .await;
    match answer {
        Some(OperatorAnswer::Record(record)) => {
            json_answer(StatusCode::OK, &report::record(&record))
        }
        Some(OperatorAnswer::NoRecord { reason: why }) => {
            problem::answer(&Refusal::new(Kind::NotFound, why), "")
        }
        _ => problem::answer(&Refusal::new(Kind::Internal, "no answer"), ""),
    }
}

pub(super) fn metrics(node: &Rc<Node>) -> Response {
    let relay = node.with_core(|core| core.settings.relay.is_some());
    let calls = if relay {
        node.relay.calls.get()
    } else {
        node.store.calls()
    };
    node.metrics.record_store_calls(&calls);
    if let Some(fresh_at) = node.with_core(|core| core.relay.view.fresh_at()) {
        node.metrics
            .set_view_age(super::timer::now().since(fresh_at));
    }
    if relay {
        let now = super::timer::now();
        node.metrics
            .set_store_era(node.with_core(|core| core.relay.view.era()));
        let unlisted = node.with_core(|core| core.relay.instances.unlisted(now));
        node.metrics.set_unlisted(unlisted);
        let (held, windows) = node.with_core(|core| {
            let held = core.relay.planner.authority.held_for(now);
            (held.unwrap_or_default(), core.relay.duties.usage.progress())
        });
        let (settled, accepted) = (windows.0.unwrap_or(0), windows.1.unwrap_or(0));
        node.metrics.set_duties(held, settled, accepted);
        let limited = node.with_core(|core| core.relay.instances.limited());
        node.metrics.set_limited(limited);
        let pushed = node.with_core(|core| core.relay.instances.in_pushback(now));
        node.metrics.set_pushbacks(pushed);
        let poison = node.with_core(|core| core.relay.poison_requests.blocked_count(now));
        node.metrics.set_poison_requests(poison);
        let refused = node.with_core(|core| core.relay.parts.refused_count());
        node.metrics.set_refused_parts(refused);
        let refused = node.with_core(|core| core.relay.buffers.refused());
        node.metrics.set_held(node.held.held() as u64, refused);
        let lost = node.with_core(|core| core.relay.links.are_lost());
        node.metrics.set_links_lost(lost);
        node.with_core(|core| {
            let gauges = core.relay.duties.scaler.gauges();
            node.metrics.set_scaling(&gauges);
        });
        let short = node.with_core(|core| core.relay.shares.short_services());
        node.metrics.set_short_services(short);
    }
    match node.metrics.encode() {
        Some(body) => text(StatusCode::OK, &body),
        None => problem::answer(&Refusal::new(Kind::Internal, "the metrics are lost"), ""),
    }
}
