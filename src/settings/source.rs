//! The keys of a settings file with their line numbers, for error messages.

use std::collections::HashMap;

use ini::Ini;

use super::Error;

/// The allowed sections of a file, each with its allowed keys.
pub(crate) type Keys = &'static [(&'static str, &'static [&'static str])];

/// A parsed settings file with the line numbers of its sections and keys.
pub(crate) struct Source<'a> {
    file: &'a str,
    allowed: Keys,
    ini: Ini,
    section_lines: HashMap<String, usize>,
    key_lines: HashMap<(String, String), usize>,
}

impl<'a> Source<'a> {
    /// Parses a file. Unknown and repeated sections and keys are errors.
    pub(crate) fn new(file: &'a str, text: &str, allowed: Keys) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            Error::At(file.into(), error.line, "syntax".into(), error.msg.into())
        })?;
        let mut source = Self {
            file,
            allowed,
            ini,
            section_lines: HashMap::new(),
            key_lines: HashMap::new(),
        };
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            source.record_line(&mut section, index + 1, line.trim())?;
        }
        Ok(source)
    }

    fn record_line(
        &mut self,
        section: &mut String,
        number: usize,
        line: &str,
    ) -> Result<(), Error> {
        if line.is_empty() || line.starts_with([';', '#']) {
            return Ok(());
        }
        if let Some(rest) = line.strip_prefix('[') {
            *section = rest.split(']').next().unwrap_or_default().trim().into();
            return self.record_section(section, number);
        }
        let key = line.split(['=', ':']).next().unwrap_or_default().trim();
        let allowed = self.allowed.iter().find(|(name, _)| name == section);
        if !allowed.is_some_and(|(_, keys)| keys.contains(&key)) {
            return Err(self.error_at(number, key, "unknown key"));
        }
        let full_key = (section.clone(), key.to_owned());
        if self.key_lines.insert(full_key, number).is_some() {
            return Err(self.error_at(number, key, "given twice"));
        }
        Ok(())
    }

    fn record_section(&mut self, section: &str, number: usize) -> Result<(), Error> {
        if !self.allowed.iter().any(|(name, _)| *name == section) {
            return Err(self.error_at(number, section, "unknown section"));
        }
        if self.section_lines.insert(section.into(), number).is_some() {
            return Err(self.error_at(number, section, "given twice"));
        }
        Ok(())
    }

    /// Parses the value of a required key.
    pub(crate) fn required<T>(
        &self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<T, Error> {
        match self.optional(section, key, parse)? {
            Some(value) => Ok(value),
            None => {
                let line = self.section_lines.get(section).copied().unwrap_or(0);
                let reason = format!("missing in section {section}");
                Err(self.error_at(line, key, &reason))
            }
        }
    }

    /// Parses the value of an optional key; `None` if it is absent.
    pub(crate) fn optional<T>(
        &self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, Error> {
        let Some(raw) = self.ini.get_from(Some(section), key) else {
            return Ok(None);
        };
        let full_key = (section.to_owned(), key.to_owned());
        let line = self.key_lines.get(&full_key).copied().unwrap_or(0);
        match parse(raw) {
            Ok(value) => Ok(Some(value)),
            Err(reason) => Err(self.error_at(line, key, &reason)),
        }
    }

    fn error_at(&self, line: usize, key: &str, reason: &str) -> Error {
        Error::At(self.file.into(), line, key.into(), reason.into())
    }
}
