//! Requests that engines died of: refused everywhere once two engines are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::effect::{Effect, Refusal, log_event};
use super::event::Print;
use super::key::{BackendKey, RequestKey};
use super::message::{Message, Suspect};
use super::{Core, Effects};
use crate::error::Kind;

/// Engines that may die while running a request before it is refused.
const ENGINES: usize = 2;
/// Time a suspicion lasts.
const KEEP: Duration = Duration::from_mins(10);
/// Fingerprints kept; the oldest are forgotten first.
const MOST: usize = 4096;

/// What is known of one fingerprint.
#[derive(Debug, Clone, Default)]
struct Case {
    engines: BTreeSet<Box<str>>,
    /// Last death; milliseconds since the Unix epoch.
    at: u64,
    request: Box<str>,
}

/// Fingerprints under suspicion.
#[derive(Debug, Default)]
pub struct Killers {
    cases: BTreeMap<Print, Case>,
}

/// Checks whether a request may run.
///
/// # Errors
///
/// Returns [`Kind::EngineKiller`] when engines died of this fingerprint, with the time until it
/// may be tried again.
pub fn check(core: &Core, print: Print) -> Result<(), Refusal> {
    let Some(case) = core.killers.cases.get(&print) else {
        return Ok(());
    };
    let age = Duration::from_millis(core.wall().saturating_sub(case.at));
    if case.engines.len() < ENGINES || age >= KEEP {
        return Ok(());
    }
    let detail = format!(
        "{} engines died while running this request, last as {}",
        case.engines.len(),
        case.request
    );
    Err(Refusal::new(Kind::EngineKiller, detail)
        .ran(crate::error::Ran::No)
        .retry(KEEP.saturating_sub(age)))
}

/// Notes that an engine died while running a request, here and at every peer.
pub fn suspect(core: &mut Core, key: RequestKey, backend: BackendKey, out: &mut Effects) {
    let Some(engine) = core
        .fleet
        .arena
        .get(backend)
        .map(|engine| engine.name.clone())
    else {
        return;
    };
    let request = &core.requests.arena[key];
    let suspect = Suspect {
        print: request.print,
        engine,
        at: core.wall(),
        request: request.record.id.clone(),
    };
    let text = format!("{} died while running {}", suspect.engine, suspect.request);
    out.push(log_event(log::Level::Warn, "engine.died", text));
    for to in core.members.peers() {
        let message = Message::Suspect(suspect.clone());
        out.push(Effect::Send { to, message });
    }
    told(core, suspect);
}

/// Takes in a suspicion, own or a peer's.
pub fn told(core: &mut Core, suspect: Suspect) {
    let cases = &mut core.killers.cases;
    let case = cases.entry(suspect.print).or_default();
    case.engines.insert(suspect.engine);
    case.at = case.at.max(suspect.at);
    case.request = suspect.request;
    if cases.len() > MOST {
        let oldest = cases.iter().min_by_key(|(_, case)| case.at);
        if let Some(print) = oldest.map(|(print, _)| *print) {
            cases.remove(&print);
        }
    }
}
