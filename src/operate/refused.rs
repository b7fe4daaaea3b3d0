//! Commands for the requests and the parts of prompts that relaying hosts refuse, kept in the platform's store.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use super::{
    FileSnafu, LiftUnknownSnafu, NoStoreSnafu, NotRefusedSnafu, OperateError, OutputSnafu,
    SettingsSnafu, StoreStatusSnafu, WrittenMeanwhileSnafu,
};
use crate::backend::pool::{Call, ConnectionPool, PoolError};
use crate::cli::{OutputFormat, RefusedAction, RefusedOptions};
use crate::error::Ran;
use crate::output;
use crate::platform::{self, store};
use crate::settings::Settings;
use crate::store::{Compare, Op, Pair, Span, Txn};

/// Folders of the store with what is refused, and what each holds.
const FOLDERS: [(&str, &str); 2] = [("poison/", "request"), ("parts/", "part")];
/// Time limit of a call of the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer: a page of 1 MB in base64, plus its framing.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Order of the fields of the table.
const FIELD_ORDER: &[&str] = &["key", "kind", "crashes", "last_crash", "depth", "customers"];

/// Lists what is refused, or lifts one refusal.
///
/// # Errors
///
/// Returns why nothing was listed or lifted.
pub async fn refused(options: RefusedOptions) -> Result<(), OperateError> {
    let client = StoreClient::open(&options.config)?;
    match options.action {
        RefusedAction::Get(format) => {
            let text = listing(&client.refused().await?, format);
            output::print(&text).context(OutputSnafu)
        }
        RefusedAction::Lift(key) => {
            client.lift(&key).await?;
            output::print(&format!("{key}: no longer refused")).context(OutputSnafu)
        }
    }
}

/// A refused request, or a refused part of prompts.
struct Refused {
    /// Its key, without the prefix of this program's keys.
    key: Box<str>,
    kind: &'static str,
    revision: i64,
    /// What the hosts wrote, or the text that is no JSON.
    value: Value,
}

impl Refused {
    fn from_pair(pair: &Pair) -> Option<Self> {
        let key = pair.key.strip_prefix(platform::OWN_PREFIX)?;
        let folder = FOLDERS.iter().find(|(folder, _)| key.starts_with(folder));
        let value = serde_json::from_slice(&pair.value);
        Some(Self {
            key: key.into(),
            kind: folder?.1,
            revision: pair.mod_revision,
            value: value.unwrap_or_else(|_err| String::from_utf8_lossy(&pair.value).into()),
        })
    }

    /// Returns its row of the table.
    fn row(&self, now_ms: u64) -> Value {
        let servers = self.value["servers"].as_array();
        let last_ms = self.value["last_ms"].as_u64().or_else(|| {
            let times = servers?.iter().filter_map(|server| server[2].as_u64());
            times.max()
        });
        let age = last_ms.map(|last| now_ms.saturating_sub(last) / 1000);
        let customers = self.value["customers"].as_array().map(Vec::len);
        json!({
            "key": &*self.key,
            "kind": self.kind,
            "crashes": servers.map(Vec::len),
            "last_crash": age.map(|secs| format!("{secs} s ago")),
            "depth": self.value["depth"].as_u64(),
            "customers": customers,
        })
    }
}

fn listing(refused: &[Refused], format: OutputFormat) -> String {
    match format {
        OutputFormat::Json => {
            let items = refused.iter().map(
                |refused| json!({"key": &*refused.key, "kind": refused.kind, "value": refused.value}),
            );
            format!("{:#}", items.collect::<Value>())
        }
        OutputFormat::Text if refused.is_empty() => "nothing is refused".to_owned(),
        OutputFormat::Text => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let now = now.unwrap_or_default().as_millis();
            let now_ms = u64::try_from(now).unwrap_or(u64::MAX);
            let rows = refused.iter().map(|refused| refused.row(now_ms));
            output::tree(&rows.collect::<Value>(), FIELD_ORDER)
        }
    }
}

/// Client of the platform's store.
struct StoreClient {
    pool: ConnectionPool,
    addr: SocketAddr,
}

impl StoreClient {
    /// Creates a client of the store that a host's settings name; no connection is opened yet.
    fn open(path: &Path) -> Result<Self, OperateError> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        if !crate::settings::relay::is_relay(&text) {
            return NoStoreSnafu { path }.fail();
        }
        let settings = Settings::parse_relay(&text, &path.display().to_string());
        let settings = settings.map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            SettingsSnafu {
                faults: faults.join("\n"),
            }
            .build()
        })?;
        let relay = settings.relay.context(NoStoreSnafu { path })?;
        Ok(Self {
            pool: ConnectionPool::default(),
            addr: relay.store,
        })
    }

    /// Returns all that is refused, ordered by key.
    async fn refused(&self) -> Result<Vec<Refused>, OperateError> {
        let mut all = Vec::new();
        for (folder, _) in FOLDERS {
            let prefix = full_key(folder);
            let mut after: Option<Box<str>> = None;
            loop {
                let call = store::range(&prefix, after.as_deref());
                let answer = self.call(call).await;
                let (status, body) = answer.map_err(|err| self.failed(&err))?;
                let page = store::decode_page(&body).filter(|_| status == 200);
                let addr = self.addr;
                let page = page.context(StoreStatusSnafu { addr, status })?;
                let pairs = &page.range.pairs;
                let inside = pairs.iter().filter(|pair| pair.key.starts_with(&*prefix));
                all.extend(inside.filter_map(Refused::from_pair));
                let last = pairs.last().filter(|_| page.has_more);
                let Some(last) = last else { break };
                after = Some(last.key.clone());
            }
        }
        Ok(all)
    }

    /// Removes a key, unless it was written since it was read.
    async fn lift(&self, key: &str) -> Result<(), OperateError> {
        let all = self.refused().await?;
        let Some(refused) = all.iter().find(|refused| *refused.key == *key) else {
            let known: Vec<&str> = all.iter().map(|refused| &*refused.key).collect();
            let known = match known.join(", ") {
                known if known.is_empty() => "none".to_owned(),
                known => known,
            };
            return NotRefusedSnafu { key, known }.fail();
        };
        let key = full_key(key);
        let txn = Txn {
            compare: vec![Compare::Modified {
                key: key.clone(),
                revision: refused.revision,
            }],
            then: vec![Op::Delete(Span::Key(key))],
            ..Txn::default()
        };
        let addr = self.addr;
        match self.call(store::txn(&txn)).await {
            Ok((200, _)) => Ok(()),
            Ok((412, _)) => WrittenMeanwhileSnafu { key: &*refused.key }.fail(),
            Ok((status, _)) => StoreStatusSnafu { addr, status }.fail(),
            Err(err) if err.ran() == Ran::No => Err(self.failed(&err)),
            Err(err) => LiftUnknownSnafu {
                addr,
                problem: err.to_string(),
            }
            .fail(),
        }
    }

    fn failed(&self, err: &PoolError) -> OperateError {
        let problem = err.to_string().into();
        OperateError::StoreFailed {
            addr: self.addr,
            problem,
        }
    }

    async fn call(&self, call: store::Call) -> Result<(u16, Bytes), PoolError> {
        let json = ("content-type".into(), (*b"application/json").into());
        let call = Call {
            addr: self.addr,
            method: hyper::Method::from_bytes(call.method.as_bytes()).unwrap_or_default(),
            path: call.path.into(),
            id: None,
            may_repeat: true,
            headers: (!call.body.is_empty())
                .then_some(json)
                .into_iter()
                .collect(),
            body: call.body.into(),
        };
        let answer = self.pool.call(&call, CALL_TIMEOUT, MAX_ANSWER_BYTES).await;
        answer.map(|answer| (answer.status, answer.body))
    }
}

fn full_key(key: &str) -> Box<str> {
    format!("{}{key}", platform::OWN_PREFIX).into()
}
