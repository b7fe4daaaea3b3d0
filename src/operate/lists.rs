//! Commands for the two lists: get, edit, check, diff and apply.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};
use tokio::time::{Instant, sleep};

use super::client::{Answer, OperatorClient};
use super::{
    FileSnafu, InvalidListSnafu, NoRevisionSnafu, NotPropagatedSnafu, OperateError, OutputSnafu,
    UnexpectedBodySnafu,
};
use crate::cli::{Access, Action, ApplyOptions, ListName, ListOptions};
use crate::lists::{Plans, Uses, check, diff_plans, diff_uses};
use crate::output;
use crate::sections::Fault;

/// Start of the comment that holds the revision a file was fetched at.
pub(super) const REVISION_PREFIX: &str = "# revision ";
/// Longest wait of `--wait`: four times the 14 s in which an edit must be in force on all hosts.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(56);
/// Time between two queries for the hosts that have the revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Either of the two lists.
#[derive(Debug, Clone, PartialEq)]
enum List {
    Plans(Plans),
    Uses(Uses),
}

impl List {
    fn parse(name: ListName, text: &str, file: &str) -> Result<Self, OperateError> {
        let list = match name {
            ListName::Plans => Plans::parse(text, file).map(Self::Plans),
            ListName::Uses => Uses::parse(text, file).map(Self::Uses),
        };
        list.map_err(|faults| invalid_list(&faults))
    }

    fn text(&self) -> String {
        match self {
            Self::Plans(plans) => plans.to_string(),
            Self::Uses(uses) => uses.to_string(),
        }
    }
}

/// Runs a command on a list.
///
/// # Errors
///
/// Returns why it failed.
pub async fn list(options: ListOptions) -> Result<(), OperateError> {
    let name = options.list;
    match options.action {
        Action::Get(access) => {
            let answer = fetch(&OperatorClient::open(&access).await?, name).await?;
            output::print(&answer.body).context(OutputSnafu)
        }
        Action::Edit(access, file) => edit(&access, name, &file).await,
        Action::Check(access, file) => check_file(access.as_ref(), name, &file).await,
        Action::Diff(access, file) => show_diff(&access, name, &file).await,
        Action::Apply(access, options) => apply(&access, name, &options).await,
    }
}

fn path(name: ListName) -> Box<str> {
    format!("/lists/{}", name.as_str()).into()
}

async fn fetch(client: &OperatorClient, name: ListName) -> Result<Answer, OperateError> {
    client.get(&path(name)).await
}

async fn edit(access: &Access, name: ListName, file: &Path) -> Result<(), OperateError> {
    let client = OperatorClient::open(access).await?;
    let answer = fetch(&client, name).await?;
    let revision = revision_of(&client, &answer)?;
    let text = format!("{REVISION_PREFIX}{revision}\n\n{}", answer.body);
    fs::write(file, text).context(FileSnafu { path: file })?;
    let (list, file) = (name.as_str(), file.display());
    let next = format!(
        "fetched revision {revision} into {file}; edit it, then: chiveway {list} apply --file {file}"
    );
    output::print(&next).context(OutputSnafu)
}

async fn check_file(
    access: Option<&Access>,
    name: ListName,
    file: &Path,
) -> Result<(), OperateError> {
    let (_, list) = read_list(name, file)?;
    if let Some(access) = access {
        let client = OperatorClient::open(access).await?;
        let other = fetch(&client, name.other()).await?;
        let other = List::parse(name.other(), &other.body, name.other().as_str())?;
        let faults = match (&list, &other) {
            (List::Plans(plans), List::Uses(uses)) | (List::Uses(uses), List::Plans(plans)) => {
                check(plans, uses)
            }
            _ => Vec::new(),
        };
        if !faults.is_empty() {
            return Err(invalid_list(&faults));
        }
    }
    output::print(&format!("{}: no fault", file.display())).context(OutputSnafu)
}

async fn show_diff(access: &Access, name: ListName, file: &Path) -> Result<(), OperateError> {
    let (_, new) = read_list(name, file)?;
    let client = OperatorClient::open(access).await?;
    let answer = fetch(&client, name).await?;
    let old = List::parse(name, &answer.body, name.as_str())?;
    let lines = match (&old, &new) {
        (List::Plans(old), List::Plans(new)) => diff_plans(old, new),
        (List::Uses(old), List::Uses(new)) => diff_uses(old, new),
        _ => Vec::new(),
    };
    let text = if lines.is_empty() {
        "no difference".to_owned()
    } else {
        lines.join("\n")
    };
    output::print(&text).context(OutputSnafu)
}

async fn apply(
    access: &Access,
    name: ListName,
    options: &ApplyOptions,
) -> Result<(), OperateError> {
    let (text, list) = read_list(name, &options.file)?;
    let base = options.revision.or_else(|| recorded_revision(&text));
    let base = base.context(NoRevisionSnafu)?;
    let client = OperatorClient::open(access).await?;
    let revision = put(&client, name, base, &list).await?;
    output::print(&format!("revision {revision} is accepted")).context(OutputSnafu)?;
    if options.wait {
        wait_for_hosts(&client, revision).await?;
    }
    Ok(())
}

/// Answer to an accepted edit.
#[derive(Debug, Deserialize)]
struct Accepted {
    revision: u64,
}

/// Answer to an edit whose base revision is no longer in force.
#[derive(Debug, Deserialize)]
struct Conflict {
    revision: u64,
    diff: Box<str>,
}

/// Sends an edit and returns the revision under which it is accepted.
async fn put(
    client: &OperatorClient,
    name: ListName,
    base: u64,
    list: &List,
) -> Result<u64, OperateError> {
    let sent = client.put(&path(name), base, &list.text()).await;
    let answer = sent.map_err(|problem| OperateError::OutcomeUnknown {
        addr: client.addr(),
        problem,
        list: name.as_str(),
    })?;
    match answer.status {
        200 => {
            let accepted: Accepted = client.json(&answer, "a revision")?;
            Ok(accepted.revision)
        }
        409 => resolve_conflict(client, name, &answer, list).await,
        422 => Err(faults_or_refusal(client, &answer)),
        _ => Err(client.refusal(&answer)),
    }
}

/// Decides whether a conflict means that another edit was accepted first.
///
/// Where the answer to an accepted edit is lost and the operator applies the file again, the host
/// reports a conflict of the edit with itself, and the operator would look for a competing edit
/// that does not exist. So a conflict counts as accepted where the list in force equals the file.
async fn resolve_conflict(
    client: &OperatorClient,
    name: ListName,
    answer: &Answer,
    list: &List,
) -> Result<u64, OperateError> {
    let conflict: Conflict = client.json(answer, "a revision and a difference")?;
    let current = fetch(client, name).await?;
    if current.body.trim() == list.text().trim() {
        return revision_of(client, &current);
    }
    Err(OperateError::Conflict {
        revision: conflict.revision,
        diff: conflict.diff,
    })
}

fn faults_or_refusal(client: &OperatorClient, answer: &Answer) -> OperateError {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    let Some(faults) = body.get("faults").and_then(Value::as_array) else {
        return client.refusal(answer);
    };
    let line = |fault: &Value| fault.as_str().map_or_else(|| fault.to_string(), Into::into);
    let lines: Vec<String> = faults.iter().map(line).collect();
    OperateError::InvalidList {
        faults: lines.join("\n").into(),
    }
}

/// Which hosts have a revision in force.
#[derive(Debug, Deserialize)]
struct Propagation {
    hosts: Vec<HostRevision>,
    missing: Vec<Box<str>>,
}

/// One host and the revision it has in force.
#[derive(Debug, Deserialize)]
struct HostRevision {
    name: Box<str>,
    revision: u64,
}

/// Waits until every host has a revision in force, and prints the hosts.
async fn wait_for_hosts(client: &OperatorClient, revision: u64) -> Result<(), OperateError> {
    let path = format!("/lists/force?revision={revision}");
    let start = Instant::now();
    let mut missing: Vec<Box<str>> = vec!["all".into()];
    while start.elapsed() < PROPAGATION_TIMEOUT {
        // The queried host may itself be restarting: a failed query is tried again.
        if let Ok(answer) = client.get(&path).await {
            let propagation: Propagation = client.json(&answer, "the hosts and their revisions")?;
            if propagation.missing.is_empty() {
                let rows = propagation.hosts.into_iter();
                let rows = rows.map(|host| [host.name, host.revision.to_string().into()]);
                let text = format!("in force on\n{}", output::columns(rows));
                return output::print(&text).context(OutputSnafu);
            }
            missing = propagation.missing;
        }
        sleep(POLL_INTERVAL).await;
    }
    let missing = missing.join(", ");
    let secs = PROPAGATION_TIMEOUT.as_secs();
    NotPropagatedSnafu {
        revision,
        secs,
        missing,
    }
    .fail()
}

fn revision_of(client: &OperatorClient, answer: &Answer) -> Result<u64, OperateError> {
    let addr = client.addr();
    answer.revision.context(UnexpectedBodySnafu {
        addr,
        wanted: "a revision",
    })
}

/// Reads a list file; returns its text and the parsed list.
fn read_list(name: ListName, file: &Path) -> Result<(Box<str>, List), OperateError> {
    let text = fs::read_to_string(file).context(FileSnafu { path: file })?;
    let list = List::parse(name, &text, &file.display().to_string())?;
    Ok((text.into(), list))
}

/// Returns the revision that `edit` wrote into a file.
fn recorded_revision(text: &str) -> Option<u64> {
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix(REVISION_PREFIX)?.trim().parse().ok())
}

fn invalid_list(faults: &[Fault]) -> OperateError {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    let faults = lines.join("\n");
    InvalidListSnafu { faults }.build()
}
