//! Converts timeline events and filters between the schema and the decision logic.

use decision::clock::Ms;
use decision::timeline::Event;
use decision::timeline::Filter;
use decision::timeline::Kind;
use decision::timeline::Note;
use decision::worker::Epoch;
use schema::v1;

use crate::value;
use crate::value::Error;

/// Decodes a filter. An absent filter selects all events, as does an empty field.
pub(crate) fn decode_filter(raw: Option<v1::Filter>) -> Result<Filter, Error> {
    let raw = raw.unwrap_or_default();
    let kind = Some(raw.kind).filter(|kind| !kind.is_empty());
    Ok(Filter {
        subject: Some(raw.subject).filter(|subject| !subject.is_empty()),
        vm: value::decode_optional_name("vm", &raw.vm)?,
        kind: kind.map(|kind| Kind::try_from(kind.as_str())).transpose()?,
    })
}

/// Encodes a filter.
pub(crate) fn encode_filter(filter: &Filter) -> v1::Filter {
    v1::Filter {
        subject: filter.subject.clone().unwrap_or_default(),
        vm: filter
            .vm
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        kind: filter.kind.map(|kind| kind.to_string()).unwrap_or_default(),
    }
}

/// Decodes an event.
pub(crate) fn decode_event(raw: v1::Event) -> Result<Event, Error> {
    Ok(Event {
        entry: value::decode_name("entry", &raw.entry)?,
        lamport: raw.lamport,
        at: Ms(raw.at_ms),
        note: Note {
            kind: Kind::try_from(raw.kind.as_str())?,
            subject: raw.subject,
            vm: value::decode_optional_name("vm", &raw.vm)?,
            epoch: raw.epoch.map(|epoch| Epoch {
                row: epoch.row,
                step: epoch.step,
            }),
            cause: raw.cause,
        },
    })
}

/// Encodes an event.
pub(crate) fn encode_event(event: Event) -> v1::Event {
    let note = event.note;
    v1::Event {
        entry: event.entry.into(),
        lamport: event.lamport,
        at_ms: event.at.0,
        kind: note.kind.to_string(),
        subject: note.subject,
        vm: note.vm.map(String::from).unwrap_or_default(),
        epoch: note.epoch.map(|epoch| v1::Epoch {
            row: epoch.row,
            step: epoch.step,
        }),
        cause: note.cause,
    }
}
