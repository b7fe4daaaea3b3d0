//! Parses arguments into commands.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use super::commands::{self, COMMANDS, CommandSpec, Opt};
use super::{
    Access, Action, ApplyOptions, CheckOptions, Command, ExplainOptions, HostOptions, ListName,
    ListOptions, LoadOptions, OutputFormat, Pace, RefusedAction, RefusedOptions, StandinKind,
    StandinOptions, StatusOptions, Target, TryOptions, UsageError, help,
};
use crate::form;
use crate::platform;
use crate::settings::Fencing;
use crate::units;

type Parsed<T> = Result<T, UsageError>;

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Returns what is wrong with them and what is allowed.
pub fn parse(args: Vec<OsString>) -> Result<Command, UsageError> {
    let mut args = Arguments::from_vec(args);
    let words = command_words(&mut args)?;
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help(help::help(&words)));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let Some(command) = COMMANDS.iter().find(|command| command.words == &*words) else {
        let known: Vec<_> = help::commands_with_prefix(&words)
            .map(|command| command.words)
            .collect();
        let problem = format!("Name one of the commands: {}.", known.join(", "));
        return usage_error(&problem, &words);
    };
    let command_args = CommandArgs { args, command };
    command_args.into_command()
}

/// Takes the one or two words that name the command.
fn command_words(args: &mut Arguments) -> Parsed<Box<str>> {
    let mut words = String::new();
    while help::commands_with_prefix(&words).next().is_some() {
        let word = args.subcommand();
        let word =
            word.or_else(|err| usage_error(&format!("Use UTF-8 arguments: {err}."), &words))?;
        let Some(word) = word else {
            break;
        };
        let space = if words.is_empty() { "" } else { " " };
        let extended = format!("{words}{space}{word}");
        let exact = COMMANDS.iter().any(|command| command.words == extended);
        if !exact && help::commands_with_prefix(&extended).next().is_none() {
            let known: Vec<_> = help::commands_with_prefix(&words)
                .map(|command| command.words)
                .collect();
            let problem = format!(
                "Unknown command {extended:?}; use one of {}.",
                known.join(", ")
            );
            return usage_error(&problem, &words);
        }
        words = extended;
    }
    Ok(words.into())
}

fn usage_error<T>(problem: &str, words: &str) -> Parsed<T> {
    let space = if words.is_empty() { "" } else { " " };
    Err(UsageError {
        problem: problem.into(),
        command: format!("{words}{space}").into(),
    })
}

/// Remaining arguments of a known command.
struct CommandArgs {
    args: Arguments,
    command: &'static CommandSpec,
}

impl CommandArgs {
    fn into_command(mut self) -> Parsed<Command> {
        match self.command.words {
            "host" => self.host(),
            "check" => self.check(),
            "explain" => self.explain(),
            "status" => self.status(),
            "refused get" | "refused lift" => self.refused(),
            "try" => self.trial(),
            "load" => self.load(),
            "standin kv" => self.standin(StandinKind::Kv),
            "standin engine" => self.standin(StandinKind::Engine),
            "standin service" => self.standin(StandinKind::Service),
            "standin hop" => self.standin(StandinKind::Hop),
            "hash" => self.expect_end().map(|()| Command::Hash),
            words => {
                let (noun, verb) = words.split_once(' ').unwrap_or((words, ""));
                let list = if noun == "plans" {
                    ListName::Plans
                } else {
                    ListName::Uses
                };
                let action = self.action(verb)?;
                self.expect_end()?;
                Ok(Command::List(ListOptions { list, action }))
            }
        }
    }

    fn host(mut self) -> Parsed<Command> {
        let config = self.config()?;
        self.expect_end()?;
        Ok(Command::Host(HostOptions { config }))
    }

    /// Takes the path of a host's settings.
    fn config(&mut self) -> Parsed<PathBuf> {
        match self.raw_value(&commands::CONFIG, "-c")? {
            Some(config) => Ok(PathBuf::from(&*config)),
            None => match platform::settings_file() {
                Some(config) => Ok(config),
                None => self.fail("Name the settings: -c FILE."),
            },
        }
    }

    fn refused(mut self) -> Parsed<Command> {
        let config = self.config()?;
        let format = self.format();
        if self.command.words == "refused get" {
            self.expect_end()?;
            let action = RefusedAction::Get(format);
            return Ok(Command::Refused(RefusedOptions { config, action }));
        }
        let mut keys = self.positional()?;
        let Some(key) = keys.pop().filter(|_| keys.is_empty()) else {
            return self.fail("Give one key, as \"refused get\" lists it.");
        };
        let Ok(key) = key.into_string() else {
            return self.fail("A key is UTF-8 text.");
        };
        let action = RefusedAction::Lift(key.into());
        Ok(Command::Refused(RefusedOptions { config, action }))
    }

    fn check(mut self) -> Parsed<Command> {
        let files: Vec<_> = self.positional()?.into_iter().map(PathBuf::from).collect();
        if files.is_empty() {
            return self.fail("Name at least one settings file.");
        }
        Ok(Command::Check(CheckOptions { files }))
    }

    fn explain(mut self) -> Parsed<Command> {
        let format = self.format();
        let access = self.access()?;
        let mut ids = self.positional()?;
        let Some(id) = ids.pop().filter(|_| ids.is_empty()) else {
            return self.fail("Give one request id.");
        };
        let Ok(id) = id.into_string() else {
            return self.fail("A request id is UTF-8 text.");
        };
        let id = id.into();
        Ok(Command::Explain(ExplainOptions { id, format, access }))
    }

    fn status(mut self) -> Parsed<Command> {
        let format = self.format();
        let access = self.access()?;
        self.expect_end()?;
        Ok(Command::Status(StatusOptions { format, access }))
    }

    fn trial(mut self) -> Parsed<Command> {
        let once = self.switch(&commands::ONCE);
        let hosts = self.required(&commands::HOSTS, units::count)?;
        self.expect_end()?;
        Ok(Command::Try(TryOptions { once, hosts }))
    }

    fn load(mut self) -> Parsed<Command> {
        let options = LoadOptions {
            targets: self.required(&commands::TARGET, targets)?,
            key: self.required(&commands::KEY, owned)?,
            model: self.required(&commands::MODEL, owned)?,
            requests: self.required(&commands::REQUESTS, units::count)?,
            concurrency: self.required(&commands::CONCURRENCY, units::count)?,
            prompt_tokens: self.required(&commands::PROMPT_TOKENS, units::count)?,
            output_tokens: self.required(&commands::OUTPUT_TOKENS, units::count)?,
            stream: self.switch(&commands::STREAM),
            first_token: self.time(&commands::FIRST)?,
            token_gap: self.time(&commands::BETWEEN)?,
        };
        self.expect_end()?;
        Ok(Command::Load(options))
    }

    fn standin(mut self, kind: StandinKind) -> Parsed<Command> {
        let instant = self.switch(&commands::INSTANT);
        let options = StandinOptions {
            kind,
            listen: self.required(&commands::LISTEN, form::parse_address)?,
            register: self.optional(&commands::REGISTER, form::parse_address)?,
            name: self.required(&commands::NAME, owned)?,
            pool: self.optional(&commands::POOL, owned)?,
            target: self.optional(&commands::HOP_TARGET, form::parse_address)?,
            model: self.required(&commands::MODEL, owned)?,
            domain: self.required(&commands::DOMAIN, owned)?,
            fencing: self.required(&commands::FENCING, Fencing::from_name)?,
            speed: self.required(&commands::SPEED, units::number)?,
            prefill_cost: self.time(&commands::PREFILL_COST)?,
            decode_cost: self.time(&commands::DECODE_COST)?,
            slots: self.required(&commands::SLOTS, units::count)?,
            block_tokens: self.required(&commands::PIECE, units::count)?,
            lag: self.time(&commands::LAG)?,
            pace: if instant {
                Pace::Instant
            } else {
                Pace::Modelled
            },
        };
        self.expect_end()?;
        Ok(Command::Standin(options))
    }

    fn action(&mut self, verb: &str) -> Parsed<Action> {
        match verb {
            "get" => Ok(Action::Get(self.access()?)),
            "edit" => Ok(Action::Edit(self.access()?, self.file()?)),
            "diff" => Ok(Action::Diff(self.access()?, self.file()?)),
            "check" => {
                let key_file = self.path(&commands::KEY_FILE)?;
                let addr = self.optional(&commands::OPERATORS, form::parse_address)?;
                let access = addr.map(|addr| Access { addr, key_file });
                Ok(Action::Check(access, self.file()?))
            }
            _ => {
                let options = ApplyOptions {
                    file: self.file()?,
                    revision: self.optional(&commands::REVISION, |text| text.parse().ok())?,
                    wait: self.switch(&commands::WAIT),
                };
                Ok(Action::Apply(self.access()?, options))
            }
        }
    }

    fn access(&mut self) -> Parsed<Access> {
        Ok(Access {
            addr: self.required::<SocketAddr>(&commands::OPERATORS, form::parse_address)?,
            key_file: self.path(&commands::KEY_FILE)?,
        })
    }

    fn format(&mut self) -> OutputFormat {
        if self.switch(&commands::JSON) {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }

    fn file(&mut self) -> Parsed<PathBuf> {
        self.required(&commands::FILE, |text| Some(text.into()))
    }

    fn path(&mut self, opt: &Opt) -> Parsed<Option<PathBuf>> {
        self.optional(opt, |text| Some(text.into()))
    }

    fn time(&mut self, opt: &Opt) -> Parsed<Duration> {
        self.required(opt, units::time)
    }

    /// Takes a switch; returns false where the command does not accept it.
    fn switch(&mut self, opt: &Opt) -> bool {
        self.accepts(opt) && self.args.contains(opt.name)
    }

    /// Takes an option that must have a value or a default.
    fn required<T>(&mut self, opt: &Opt, parse: impl Fn(&str) -> Option<T>) -> Parsed<T> {
        match self.optional(opt, parse)? {
            Some(value) => Ok(value),
            None => self.fail(&format!("Give {} {}, {}.", opt.name, opt.value, opt.about)),
        }
    }

    fn optional<T>(&mut self, opt: &Opt, parse: impl Fn(&str) -> Option<T>) -> Parsed<Option<T>> {
        let Some(text) = self.raw_value(opt, opt.name)? else {
            return Ok(None);
        };
        match parse(&text) {
            Some(value) => Ok(Some(value)),
            None => self.invalid_value(opt, &text),
        }
    }

    /// Takes the text of an option, checked against its form, or its default; `short` is its
    /// other name.
    fn raw_value(&mut self, opt: &Opt, short: &'static str) -> Parsed<Option<Box<str>>> {
        let default = opt.default.map(Into::into);
        if !self.accepts(opt) {
            return Ok(default);
        }
        let mut text = None;
        for name in [opt.name, short] {
            if text.is_none() {
                let value = self.args.opt_value_from_str::<_, String>(name);
                text = value.or_else(|_err| self.fail(&format!("Give {name} a value.")))?;
            }
        }
        match text {
            None => Ok(default),
            Some(text) if text.starts_with("--") => {
                self.fail(&format!("Give {} a value.", opt.name))
            }
            Some(text) if !opt.form.allows(&text) => self.invalid_value(opt, &text),
            Some(text) => Ok(Some(text.into())),
        }
    }

    fn accepts(&self, opt: &Opt) -> bool {
        self.command.opts.iter().any(|known| known.name == opt.name)
    }

    /// Takes the remaining arguments, none of which may be an option.
    fn positional(&mut self) -> Parsed<Vec<OsString>> {
        let args = std::mem::replace(&mut self.args, Arguments::from_vec(Vec::new()));
        let rest = args.finish();
        let dashed = rest.iter().filter_map(|arg| arg.to_str());
        let Some(name) = dashed.into_iter().find(|arg| arg.starts_with('-')) else {
            return Ok(rest);
        };
        let known: Vec<_> = self.command.opts.iter().map(|opt| opt.name).collect();
        let problem = if known.contains(&name) {
            format!("Give {name} once.")
        } else if known.is_empty() {
            format!("Leave out {name:?}: this command has no options.")
        } else {
            format!("Unknown option {name:?}; use {}.", known.join(", "))
        };
        self.fail(&problem)
    }

    fn expect_end(&mut self) -> Parsed<()> {
        match self.positional()?.first() {
            None => Ok(()),
            Some(extra) => self.fail(&format!("Leave out {}.", extra.display())),
        }
    }

    fn invalid_value<T>(&self, opt: &Opt, text: &str) -> Parsed<T> {
        let allowed = opt.form.description();
        self.fail(&format!("{} given {text:?}, allowed {allowed}.", opt.name))
    }

    fn fail<T>(&self, problem: &str) -> Parsed<T> {
        usage_error(problem, self.command.words)
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "has the signature of the other parsers"
)]
fn owned(text: &str) -> Option<Box<str>> {
    Some(text.into())
}

/// Parses comma-separated addresses, each after `NAME=` or named by its own text.
fn targets(text: &str) -> Option<Vec<Target>> {
    let target = |item: &str| {
        let (name, addr) = item.split_once('=').unwrap_or((item, item));
        Some(Target {
            name: name.trim().into(),
            addr: form::parse_address(addr.trim())?,
        })
    };
    form::split_items(text).map(target).collect()
}
