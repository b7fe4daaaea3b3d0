//! Work on the two lists: get, edit, check, diff and apply.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};
use tokio::time::{Instant, sleep};

use super::client::{Answer, Console};
use super::{
    FaultySnafu, FileSnafu, LateSnafu, NoRevisionSnafu, OperateError, PrintSnafu, StrangeSnafu,
};
use crate::cli::{Access, Action, ApplyOptions, ListName, ListOptions};
use crate::lists::{Plans, Uses, check, diff_plans, diff_uses};
use crate::output;
use crate::sections::Fault;

/// Start of the comment that holds the revision a file was fetched at.
pub(super) const REVISION_LINE: &str = "# revision ";
/// Time `--wait` waits: four times the 14 s within which an edit is to be in force everywhere.
const WAIT_TIME: Duration = Duration::from_secs(56);
/// Time between two looks at which hosts have the revision.
const WAIT_STEP: Duration = Duration::from_millis(250);

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
        list.map_err(|faults| faulty(&faults))
    }

    fn text(&self) -> String {
        match self {
            Self::Plans(plans) => plans.to_string(),
            Self::Uses(uses) => uses.to_string(),
        }
    }
}

/// Carries out a command on a list.
///
/// # Errors
///
/// Returns why it could not be carried out.
pub async fn list(options: ListOptions) -> Result<(), OperateError> {
    let name = options.list;
    match options.action {
        Action::Get(access) => {
            let answer = fetch(&Console::open(&access).await?, name).await?;
            output::say(&answer.body).context(PrintSnafu)
        }
        Action::Edit(access, file) => edit(&access, name, &file).await,
        Action::Check(access, file) => compare(access.as_ref(), name, &file).await,
        Action::Diff(access, file) => differences(&access, name, &file).await,
        Action::Apply(access, options) => apply(&access, name, &options).await,
    }
}

fn path(name: ListName) -> Box<str> {
    format!("/lists/{}", name.word()).into()
}

async fn fetch(console: &Console, name: ListName) -> Result<Answer, OperateError> {
    console.get(&path(name)).await
}

async fn edit(access: &Access, name: ListName, file: &Path) -> Result<(), OperateError> {
    let console = Console::open(access).await?;
    let answer = fetch(&console, name).await?;
    let revision = revision(&console, &answer)?;
    let text = format!("{REVISION_LINE}{revision}\n\n{}", answer.body);
    fs::write(file, text).context(FileSnafu { path: file })?;
    let (word, file) = (name.word(), file.display());
    let next = format!(
        "fetched revision {revision} into {file}; edit it, then: chiveway {word} apply --file {file}"
    );
    output::say(&next).context(PrintSnafu)
}

async fn compare(access: Option<&Access>, name: ListName, file: &Path) -> Result<(), OperateError> {
    let (_, list) = read(name, file)?;
    if let Some(access) = access {
        let console = Console::open(access).await?;
        let other = fetch(&console, name.other()).await?;
        let other = List::parse(name.other(), &other.body, name.other().word())?;
        let faults = match (&list, &other) {
            (List::Plans(plans), List::Uses(uses)) | (List::Uses(uses), List::Plans(plans)) => {
                check(plans, uses)
            }
            _ => Vec::new(),
        };
        if !faults.is_empty() {
            return Err(faulty(&faults));
        }
    }
    output::say(&format!("{}: no fault", file.display())).context(PrintSnafu)
}

async fn differences(access: &Access, name: ListName, file: &Path) -> Result<(), OperateError> {
    let (_, new) = read(name, file)?;
    let console = Console::open(access).await?;
    let answer = fetch(&console, name).await?;
    let old = List::parse(name, &answer.body, name.word())?;
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
    output::say(&text).context(PrintSnafu)
}

async fn apply(
    access: &Access,
    name: ListName,
    options: &ApplyOptions,
) -> Result<(), OperateError> {
    let (text, list) = read(name, &options.file)?;
    let from = options.revision.or_else(|| noted(&text));
    let from = from.context(NoRevisionSnafu)?;
    let console = Console::open(access).await?;
    let revision = put(&console, name, from, &list).await?;
    output::say(&format!("revision {revision} is accepted")).context(PrintSnafu)?;
    if options.wait {
        wait(&console, revision).await?;
    }
    Ok(())
}

/// Answer to an accepted edit.
#[derive(Debug, Deserialize)]
struct Accepted {
    revision: u64,
}

/// Answer to an edit that came second.
#[derive(Debug, Deserialize)]
struct Raced {
    revision: u64,
    diff: Box<str>,
}

/// Sends an edit and returns the revision under which it is accepted.
async fn put(
    console: &Console,
    name: ListName,
    from: u64,
    list: &List,
) -> Result<u64, OperateError> {
    let sent = console.put(&path(name), from, &list.text()).await;
    let answer = sent.map_err(|problem| OperateError::Unsure {
        addr: console.addr(),
        problem,
        list: name.word(),
    })?;
    match answer.status {
        200 => {
            let accepted: Accepted = console.json(&answer, "a revision")?;
            Ok(accepted.revision)
        }
        409 => raced(console, name, &answer, list).await,
        422 => Err(refused_faults(console, &answer)),
        _ => Err(console.refused(&answer)),
    }
}

/// Decides what an edit that came second means.
///
/// Where the answer to an accepted edit was lost and the operator applies it again, the host sees
/// a race of the edit with itself. The operator would look for a rival who does not exist; so a
/// list that is already as wanted counts as accepted.
async fn raced(
    console: &Console,
    name: ListName,
    answer: &Answer,
    list: &List,
) -> Result<u64, OperateError> {
    let raced: Raced = console.json(answer, "a revision and a difference")?;
    let current = fetch(console, name).await?;
    if current.body.trim() == list.text().trim() {
        return revision(console, &current);
    }
    Err(OperateError::Conflict {
        revision: raced.revision,
        diff: raced.diff,
    })
}

fn refused_faults(console: &Console, answer: &Answer) -> OperateError {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    let Some(faults) = body.get("faults").and_then(Value::as_array) else {
        return console.refused(answer);
    };
    let line = |fault: &Value| fault.as_str().map_or_else(|| fault.to_string(), Into::into);
    let lines: Vec<String> = faults.iter().map(line).collect();
    OperateError::Faulty {
        faults: lines.join("\n").into(),
    }
}

/// Which hosts have a revision in force.
#[derive(Debug, Deserialize)]
struct Force {
    hosts: Vec<InForce>,
    missing: Vec<Box<str>>,
}

/// One host and the revision it has in force.
#[derive(Debug, Deserialize)]
struct InForce {
    name: Box<str>,
    revision: u64,
}

/// Waits until every host has a revision in force, and prints the hosts.
async fn wait(console: &Console, revision: u64) -> Result<(), OperateError> {
    let path = format!("/lists/force?revision={revision}");
    let start = Instant::now();
    let mut missing: Vec<Box<str>> = vec!["all".into()];
    while start.elapsed() < WAIT_TIME {
        // The host asked may itself be replaced while we wait, so that no answer is not the end.
        if let Ok(answer) = console.get(&path).await {
            let force: Force = console.json(&answer, "the hosts and their revisions")?;
            if force.missing.is_empty() {
                let rows = force.hosts.into_iter();
                let rows = rows.map(|host| [host.name, host.revision.to_string().into()]);
                let text = format!("in force on\n{}", output::columns(rows));
                return output::say(&text).context(PrintSnafu);
            }
            missing = force.missing;
        }
        sleep(WAIT_STEP).await;
    }
    let missing = missing.join(", ");
    let secs = WAIT_TIME.as_secs();
    LateSnafu {
        revision,
        secs,
        missing,
    }
    .fail()
}

fn revision(console: &Console, answer: &Answer) -> Result<u64, OperateError> {
    let addr = console.addr();
    answer.revision.context(StrangeSnafu {
        addr,
        wanted: "a revision",
    })
}

/// Reads a list file: its text and the list in it.
fn read(name: ListName, file: &Path) -> Result<(Box<str>, List), OperateError> {
    let text = fs::read_to_string(file).context(FileSnafu { path: file })?;
    let list = List::parse(name, &text, &file.display().to_string())?;
    Ok((text.into(), list))
}

/// Returns the revision noted in a file by `edit`.
fn noted(text: &str) -> Option<u64> {
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix(REVISION_LINE)?.trim().parse().ok())
}

fn faulty(faults: &[Fault]) -> OperateError {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    let faults = lines.join("\n");
    FaultySnafu { faults }.build()
}
