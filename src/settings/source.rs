//! Keys of a settings file with their lines.

use std::collections::HashMap;

use ini::Ini;

use super::Error;

/// The sections of a file, each with its keys.
pub(crate) type Keys = &'static [(&'static str, &'static [&'static str])];

/// A parsed file and the places of what it holds.
pub(crate) struct Source<'a> {
    file: &'a str,
    allowed: Keys,
    ini: Ini,
    sections: HashMap<String, usize>,
    keys: HashMap<(String, String), usize>,
}

impl<'a> Source<'a> {
    /// Finds the place of each key and refuses unknown and repeated ones.
    pub(crate) fn new(file: &'a str, text: &str, allowed: Keys) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            Error::At(file.into(), error.line, "syntax".into(), error.msg.into())
        })?;
        let mut source = Self {
            file,
            allowed,
            ini,
            sections: HashMap::new(),
            keys: HashMap::new(),
        };
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            source.take(&mut section, index + 1, line.trim())?;
        }
        Ok(source)
    }

    fn take(&mut self, section: &mut String, number: usize, line: &str) -> Result<(), Error> {
        if line.is_empty() || line.starts_with([';', '#']) {
            return Ok(());
        }
        if let Some(rest) = line.strip_prefix('[') {
            *section = rest.split(']').next().unwrap_or_default().trim().into();
            return self.take_section(section, number);
        }
        let key = line.split(['=', ':']).next().unwrap_or_default().trim();
        let allowed = self.allowed.iter().find(|(name, _)| name == section);
        if !allowed.is_some_and(|(_, keys)| keys.contains(&key)) {
            return Err(self.at(number, key, "unknown key"));
        }
        let place = (section.clone(), key.to_owned());
        if self.keys.insert(place, number).is_some() {
            return Err(self.at(number, key, "given twice"));
        }
        Ok(())
    }

    fn take_section(&mut self, section: &str, number: usize) -> Result<(), Error> {
        if !self.allowed.iter().any(|(name, _)| *name == section) {
            return Err(self.at(number, section, "unknown section"));
        }
        if self.sections.insert(section.into(), number).is_some() {
            return Err(self.at(number, section, "given twice"));
        }
        Ok(())
    }

    /// The value of a key that must be there.
    pub(crate) fn required<T>(
        &self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<T, Error> {
        match self.optional(section, key, parse)? {
            Some(value) => Ok(value),
            None => {
                let line = self.sections.get(section).copied().unwrap_or(0);
                let reason = format!("missing in section {section}");
                Err(self.at(line, key, &reason))
            }
        }
    }

    /// The value of a key that may be absent.
    pub(crate) fn optional<T>(
        &self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, Error> {
        let Some(raw) = self.ini.get_from(Some(section), key) else {
            return Ok(None);
        };
        let place = (section.to_owned(), key.to_owned());
        let line = self.keys.get(&place).copied().unwrap_or(0);
        match parse(raw) {
            Ok(value) => Ok(Some(value)),
            Err(reason) => Err(self.at(line, key, &reason)),
        }
    }

    fn at(&self, line: usize, key: &str, reason: &str) -> Error {
        Error::At(self.file.into(), line, key.into(), reason.into())
    }
}
