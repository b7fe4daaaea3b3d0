//! Help texts, written from the table of commands.

use std::fmt::Write as _;

use super::topics::{Opt, TOPICS, Topic};
use crate::output::columns;
use crate::{lists, settings};

const INTRO: &str = "\
Serves language-model requests from a fixed fleet of engines and explains what became of each.

Usage: chiveway COMMAND [OPTIONS]

Commands:";

const OUTRO: &str = "\
Options:
  --help     Print help; after a command, help on it
  --version  Print the version

Exit codes: 0 done, 1 failed, 2 wrong usage.";

/// Returns the help for a command, or an overview of all that start with `words`.
#[must_use]
pub fn help(words: &str) -> Box<str> {
    match TOPICS.iter().find(|topic| topic.words == words) {
        Some(topic) => topic_help(topic),
        None => overview(words),
    }
}

/// Returns the commands that start with `words`, all where it is empty.
pub(super) fn commands(words: &str) -> impl Iterator<Item = &'static Topic> {
    TOPICS.iter().filter(move |topic| {
        let rest = topic.words.strip_prefix(words);
        words.is_empty() || rest.is_some_and(|rest| rest.starts_with(' '))
    })
}

fn overview(words: &str) -> Box<str> {
    let rows = commands(words).map(|topic| [topic.words.into(), topic.about.into()]);
    format!("{INTRO}\n{}\n{OUTRO}", columns(rows)).into()
}

fn topic_help(topic: &Topic) -> Box<str> {
    let rest = match topic.rest {
        "" => String::new(),
        rest => format!(" {rest}"),
    };
    let rows = topic
        .opts
        .iter()
        .map(|opt| [usage(opt), described(opt.about, opt.default)]);
    let common = [
        ["--help".into(), "Print this help".into()],
        ["--version".into(), "Print the version".into()],
    ];
    format!(
        "{}.\n\nUsage: chiveway {}{rest} [OPTIONS]\n\nOptions:\n{}{}",
        topic.about,
        topic.words,
        columns(rows.chain(common)),
        file_help(topic.words)
    )
    .into()
}

/// Returns the sections and keys of the file that a command checks.
fn file_help(words: &str) -> String {
    let kinds = match words {
        "check" => settings::keys::SECTIONS,
        "plans check" => lists::keys::PLANS_SECTIONS,
        "use check" => lists::keys::USES_SECTIONS,
        _ => return String::new(),
    };
    let mut text = "\nSections and keys of the file:\n".to_owned();
    for kind in kinds {
        let rows = kind.keys.iter().map(|key| {
            let about = described(key.description, key.default);
            let need = if key.default.is_none() {
                " [required]"
            } else {
                ""
            };
            [key.name.into(), format!("{about}{need}").into()]
        });
        let _ = write!(text, "\n{}\n{}", kind.header(), columns(rows));
    }
    text
}

fn usage(opt: &Opt) -> Box<str> {
    match opt.value {
        "" => opt.name.into(),
        value => format!("{} {value}", opt.name).into(),
    }
}

/// Returns what something is for, starting with a capital, and its default.
fn described(about: &str, default: Option<&str>) -> Box<str> {
    let (first, rest) = about.split_at(1);
    let about = format!("{}{rest}", first.to_ascii_uppercase());
    match default {
        Some("") | None => about.into(),
        Some(default) => format!("{about} [default: {default}]").into(),
    }
}
