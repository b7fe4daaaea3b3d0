//! Parsing of INI text against a table of sections and keys; every fault is reported.

use std::collections::BTreeSet;
use std::fmt;

use ini::{Ini, ParseOption};

use crate::form::Form;

/// One fault of a settings or list file, displayed on one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// File, or other origin of the text.
    pub file: Box<str>,
    /// Section header; empty outside any section.
    pub section: Box<str>,
    /// Key; empty if the section itself is at fault.
    pub key: Box<str>,
    /// Given value; never a secret.
    pub given: Box<str>,
    /// Description of allowed values.
    pub allowed: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section.escape_debug())?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key.escape_debug())?;
        }
        write!(f, " given {}, allowed {}", self.given, self.allowed)
    }
}

/// Name that follows the first word of a section header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Label {
    /// No name: the section exists once, and its defaults apply if it is absent.
    None,
    /// A name without spaces.
    Name,
    /// A name that may hold spaces.
    SpacedName,
}

/// One kind of section.
#[derive(Debug)]
pub struct SectionKind {
    /// First word of the header.
    pub keyword: &'static str,
    /// Name that follows it.
    pub label: Label,
    /// Keys of the section.
    pub keys: &'static [KeySpec],
}

/// One key of a section.
#[derive(Debug)]
pub struct KeySpec {
    /// Name of the key.
    pub name: &'static str,
    /// Format of its value.
    pub form: Form,
    /// Value if the key is absent; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Description for help texts.
    pub description: &'static str,
}

/// A parsed section, whose values have the format of their keys.
#[derive(Debug)]
pub struct Section {
    kind: &'static SectionKind,
    /// Name that follows the first word; empty for [`Label::None`].
    pub name: Box<str>,
    /// Keys and values in the order of the text.
    pub pairs: Vec<(Box<str>, Box<str>)>,
}

impl Section {
    /// Returns the first word of the header.
    #[must_use]
    pub fn keyword(&self) -> &'static str {
        self.kind.keyword
    }

    /// Returns the value of `key`, or its default; empty if it has neither.
    #[must_use]
    pub fn get(&self, key: &str) -> &str {
        let given = self.pairs.iter().find(|(name, _)| &**name == key);
        let default = || {
            self.kind
                .keys
                .iter()
                .find(|known| known.name == key)?
                .default
        };
        given
            .map(|(_, value)| &**value)
            .or_else(default)
            .unwrap_or_default()
    }

    /// Returns the value of `key` parsed by `read`.
    ///
    /// # Panics
    ///
    /// Panics if `read` rejects a value that the format of the key allows, or if the document has
    /// faults.
    pub fn read<T>(&self, key: &str, read: impl Fn(&str) -> Option<T>) -> T {
        let value = read(self.get(key));
        value.expect("the value was checked against its format")
    }
}

/// Parsed text, with the faults found.
#[derive(Debug)]
pub struct Document {
    file: Box<str>,
    /// Sections in the order of the text, then absent sections that have defaults.
    pub sections: Vec<Section>,
    /// Every fault found so far.
    pub faults: Vec<Fault>,
}

impl Document {
    /// Parses `text`, which came from `file`, and checks it against `kinds`.
    #[must_use]
    pub fn parse(text: &str, file: &str, kinds: &'static [SectionKind]) -> Self {
        let mut doc = Self {
            file: file.into(),
            sections: Vec::new(),
            faults: Vec::new(),
        };
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        match Ini::load_from_str_opt(text, option) {
            Ok(ini) => doc.add_sections(&ini, kinds),
            Err(err) => {
                let given = format!("a syntax error at line {}", err.line);
                doc.add_fault("", "", &given, "[section] headers and key = value lines");
            }
        }
        doc
    }

    /// Records a fault.
    pub fn add_fault(&mut self, section: &str, key: &str, given: &str, allowed: &str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            given: given.into(),
            allowed: allowed.into(),
        });
    }

    fn add_sections(&mut self, ini: &Ini, kinds: &'static [SectionKind]) {
        let mut seen = BTreeSet::new();
        for (header, props) in ini {
            let pairs: Vec<_> = props.iter().collect();
            let Some(header) = header else {
                for (key, value) in pairs {
                    self.report_outside_section(key, value);
                }
                continue;
            };
            let Some((kind, name)) = self.find_kind(header, kinds) else {
                continue;
            };
            if !seen.insert((kind.keyword, name)) {
                self.add_fault(header, "", "the section twice", "each section once");
            }
            let pairs = self.check_pairs(header, kind, pairs);
            self.sections.push(Section {
                kind,
                name: name.into(),
                pairs,
            });
        }
        for kind in kinds.iter().filter(|kind| kind.label == Label::None) {
            if !seen.contains(&(kind.keyword, "")) {
                let pairs = self.check_pairs(kind.keyword, kind, Vec::new());
                self.sections.push(Section {
                    kind,
                    name: "".into(),
                    pairs,
                });
            }
        }
    }

    /// Reports a pair before the first section.
    fn report_outside_section(&mut self, key: &str, value: &str) {
        if let Some(key) = self.extract_key("", key) {
            let key = key.to_owned();
            self.add_fault("", &key, &quoted(value), "keys inside a section only");
        }
    }

    /// Returns the kind of a header and the name in it; reports a fault if there is none.
    fn find_kind<'t>(
        &mut self,
        header: &'t str,
        kinds: &'static [SectionKind],
    ) -> Option<(&'static SectionKind, &'t str)> {
        let (keyword, name) = header
            .split_once(char::is_whitespace)
            .map_or((header, ""), |(keyword, name)| (keyword, name.trim()));
        let Some(kind) = kinds.iter().find(|kind| kind.keyword == keyword) else {
            let known: Vec<_> = kinds.iter().map(SectionKind::header).collect();
            self.add_fault(header, "", "an unknown section", &known.join(", "));
            return None;
        };
        let form = match kind.label {
            Label::None if name.is_empty() => return Some((kind, name)),
            Label::None => {
                self.add_fault(header, "", &quoted(name), &kind.header());
                return None;
            }
            Label::Name => Form::Name,
            Label::SpacedName => Form::SpacedName,
        };
        if !form.allows(name) {
            let allowed = format!("{} with {}", kind.header(), form.description());
            self.add_fault(header, "", &quoted(name), &allowed);
            return None;
        }
        Some((kind, name))
    }

    /// Returns the key of a pair, and reports lines without `=` that precede it.
    ///
    /// The INI parser joins a line without `=` to the key of the next line. Without this step the
    /// next key would be reported as unknown, with a name of two lines.
    fn extract_key<'t>(&mut self, header: &str, raw_key: &'t str) -> Option<&'t str> {
        let mut lines = raw_key
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty());
        let key = lines.next_back()?;
        for line in lines.filter(|line| !line.starts_with(['#', ';'])) {
            self.add_fault(header, "", &quoted(line), "key = value on one line");
        }
        (!key.starts_with(['#', ';'])).then_some(key)
    }

    /// Returns the known pairs of one section, and reports unknown, repeated, invalid and missing
    /// keys.
    fn check_pairs(
        &mut self,
        header: &str,
        kind: &SectionKind,
        given: Vec<(&str, &str)>,
    ) -> Vec<(Box<str>, Box<str>)> {
        let mut pairs: Vec<(Box<str>, Box<str>)> = Vec::with_capacity(given.len());
        for (raw_key, value) in given {
            let Some(name) = self.extract_key(header, raw_key) else {
                continue;
            };
            let Some(key) = kind.keys.iter().find(|known| known.name == name) else {
                let known: Vec<_> = kind.keys.iter().map(|known| known.name).collect();
                let allowed = format!("only the keys {}", known.join(", "));
                self.add_fault(header, name, "an unknown key", &allowed);
                continue;
            };
            if !key.form.may_repeat() && pairs.iter().any(|(earlier, _)| &**earlier == name) {
                self.add_fault(header, name, "the key twice", "each key once in a section");
            }
            if !key.form.allows(value) {
                self.add_fault(
                    header,
                    name,
                    &key.form.display_value(value),
                    &key.form.description(),
                );
            }
            pairs.push((name.into(), value.into()));
        }
        for key in kind.keys.iter().filter(|key| key.default.is_none()) {
            if !pairs.iter().any(|(name, _)| &**name == key.name) {
                self.add_fault(header, key.name, "nothing", &key.form.description());
            }
        }
        pairs
    }
}

impl SectionKind {
    /// Returns the expected form of the header.
    #[must_use]
    pub fn header(&self) -> Box<str> {
        match self.label {
            Label::None => format!("[{}]", self.keyword),
            Label::Name | Label::SpacedName => format!("[{} NAME]", self.keyword),
        }
        .into()
    }
}

impl Form {
    /// Returns an invalid value for display; of a secret only its length.
    fn display_value(self, value: &str) -> Box<str> {
        match self {
            Self::Secret => format!("{} bytes", value.len()).into(),
            _ => quoted(value),
        }
    }
}

/// Maximum number of characters of an invalid value that are displayed.
const MAX_SHOWN_CHARS: usize = 80;

fn quoted(value: &str) -> Box<str> {
    let short: String = value.chars().take(MAX_SHOWN_CHARS).collect();
    let rest = if short.len() < value.len() { "..." } else { "" };
    format!("\"{}{rest}\"", short.escape_debug()).into()
}
