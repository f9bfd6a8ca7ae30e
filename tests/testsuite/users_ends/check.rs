//! Compares what backend servers did with the responses that callers got.

use std::collections::BTreeMap;

use testkit::users::backend::journal::{Entry, Event};

use super::callers::{Answer, Kind};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A rule that was broken for one request.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    /// Id of the request.
    pub(super) id: String,
    pub(super) text: String,
}

fn by_id(entries: &[Entry]) -> BTreeMap<&str, Vec<&Entry>> {
    let mut by_id: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        by_id.entry(&entry.id).or_default().push(entry);
    }
    by_id
}

/// Numbers of responses by status, of those that are promises by what they rest on, and of events at backend servers.
pub(super) fn summary(answers: &[Answer], entries: &[Entry]) -> String {
    let mut statuses = BTreeMap::new();
    let mut promises = BTreeMap::new();
    for answer in answers {
        let status = answer.status.unwrap_or(0);
        *statuses.entry(status).or_insert(0) += 1;
        if PROMISES.contains(&status) && answer.kind != Kind::Read {
            *promises.entry(answer.text.as_str()).or_insert(0) += 1;
        }
    }
    let count = |is_counted: fn(Event) -> bool| {
        let counted = entries.iter().filter(|entry| is_counted(entry.event));
        counted.count()
    };
    let by_id = by_id(entries);
    let in_part = by_id.values().filter(|entries| {
        let mut events = entries.iter().map(|entry| entry.event);
        events.all(|event| event == Event::Received)
    });
    format!(
        "{} requests, by status {statuses:?}, promises {promises:?}; backend servers got {} only in part, began {}, dropped {}, rejected {}",
        answers.len(),
        in_part.count(),
        count(|event| event == Event::Begun),
        count(|event| event == Event::Dropped),
        count(|event| matches!(event, Event::Rejected { .. })),
    )
}

/// The rules that were broken, one line for each request.
pub(super) fn broken_rules(answers: &[Answer], entries: &[Entry]) -> Vec<Broken> {
    let by_id = by_id(entries);
    let mut broken = Vec::new();
    for answer in answers.iter().filter(|answer| answer.kind != Kind::Read) {
        let Some(entries) = by_id.get(answer.id.as_str()) else {
            continue;
        };
        let count = |is_counted: fn(Event) -> bool| {
            let counted = entries.iter().filter(|entry| is_counted(entry.event));
            counted.count()
        };
        let begun = count(|event| event == Event::Begun);
        let received = count(|event| event == Event::Received);
        let rejected = count(|event| matches!(event, Event::Rejected { .. }));
        let is_promise = answer
            .status
            .is_some_and(|status| PROMISES.contains(&status));
        let rule = match (is_promise, begun) {
            (true, 1..) => "REFUSED, and it ran",
            // What was received and not rejected may run.
            (true, 0) if received > rejected => "REFUSED, and it was not rejected",
            (_, 2..) => "TWICE",
            _ => continue,
        };
        broken.push(Broken {
            id: answer.id.clone(),
            text: format!("{rule}: {}", describe(answer, entries)),
        });
    }
    broken
}

fn describe(answer: &Answer, entries: &[&Entry]) -> String {
    let since_sent_ms = |at_us: u64| (at_us as f64 - answer.sent_us as f64) / 1_000.0;
    let events: Vec<String> = entries
        .iter()
        .map(|entry| {
            let at_ms = since_sent_ms(entry.at_us);
            format!(
                "{:?} at {} after {at_ms:.1} ms",
                entry.event, entry.instance
            )
        })
        .collect();
    let Answer {
        id,
        kind,
        entry,
        status,
        text,
        ..
    } = answer;
    let ended_ms = since_sent_ms(answer.ended_us);
    format!(
        "{id} ({kind:?}) at entry {entry}: {status:?} {text} after {ended_ms:.1} ms; {events:?}"
    )
}
