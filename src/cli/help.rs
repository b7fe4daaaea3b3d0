//! Help texts, generated from the table of commands.

use std::fmt::Write as _;

use super::commands::{COMMANDS, CommandSpec, Opt};
use crate::output::columns;
use crate::{lists, settings};

const INTRO: &str = "\
Routes language-model requests to a fixed fleet of engines and explains how each was handled.

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
    match COMMANDS.iter().find(|command| command.words == words) {
        Some(command) => command_help(command),
        None => overview(words),
    }
}

/// Returns the commands whose names continue `words`; all of them where it is empty.
pub(super) fn commands_with_prefix(words: &str) -> impl Iterator<Item = &'static CommandSpec> {
    COMMANDS.iter().filter(move |command| {
        let rest = command.words.strip_prefix(words);
        words.is_empty() || rest.is_some_and(|rest| rest.starts_with(' '))
    })
}

fn overview(words: &str) -> Box<str> {
    let rows =
        commands_with_prefix(words).map(|command| [command.words.into(), command.about.into()]);
    format!("{INTRO}\n{}\n{OUTRO}", columns(rows)).into()
}

fn command_help(command: &CommandSpec) -> Box<str> {
    let positional = match command.positional {
        "" => String::new(),
        usage => format!(" {usage}"),
    };
    let rows = command
        .opts
        .iter()
        .map(|opt| [option_usage(opt), describe(opt.about, opt.default)]);
    let common = [
        ["--help".into(), "Print this help".into()],
        ["--version".into(), "Print the version".into()],
    ];
    format!(
        "{}.\n\nUsage: chiveway {}{positional} [OPTIONS]\n\nOptions:\n{}{}",
        command.about,
        command.words,
        columns(rows.chain(common)),
        file_help(command.words)
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
            let about = describe(key.description, key.default);
            let required = if key.default.is_none() {
                " [required]"
            } else {
                ""
            };
            [key.name.into(), format!("{about}{required}").into()]
        });
        let _ = write!(text, "\n{}\n{}", kind.header(), columns(rows));
    }
    text
}

fn option_usage(opt: &Opt) -> Box<str> {
    match opt.value {
        "" => opt.name.into(),
        value => format!("{} {value}", opt.name).into(),
    }
}

/// Returns a description that starts with a capital, followed by the default value.
fn describe(about: &str, default: Option<&str>) -> Box<str> {
    let (first, rest) = about.split_at(1);
    let about = format!("{}{rest}", first.to_ascii_uppercase());
    match default {
        Some("") | None => about.into(),
        Some(default) => format!("{about} [default: {default}]").into(),
    }
}
