/*!
Tables for people.
*/

use {
    hemlockspool_model::api::{AuditResponse, LookupResponse, MonthlyTally, StatusResponse},
    std::fmt::Write,
};

/// Lines of changes shown for one audit record.
const CHANGED_SHOWN: usize = 5;

/// Returns a table of entries.
pub(crate) fn status(answers: &[StatusResponse]) -> String {
    let mut out = String::new();
    let head = ["instance", "domain", "version", "confirmed", "role", "in flight", "queued"];
    line(&mut out, &head.map(str::to_owned));
    for answer in answers {
        let version = answer.version.map_or("-".to_owned(), |version| version.to_string());
        let age = answer.confirmed_age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
        let role = answer.replica.as_ref().map_or("entry", |replica| replica.role.as_str());
        let role = if answer.stopping { format!("{role}, stopping") } else { role.to_owned() };
        line(
            &mut out,
            &[
                answer.instance.to_string(),
                answer.domain.to_string(),
                version,
                age,
                role,
                answer.in_flight.to_string(),
                answer.queued.to_string(),
            ],
        );
    }
    out
}

/// Returns a table of audit records.
pub(crate) fn audit(page: &AuditResponse) -> String {
    let mut out = String::new();
    for record in &page.records {
        let operator = record.operator.as_ref().map_or("(unknown)", |name| name.as_str());
        let _ = writeln!(
            out,
            "{:>6}  {}  {operator}  {:?}  {} -> {}  {}",
            record.sequence, record.at_ms, record.action, record.from, record.to, record.request
        );
        for change in record.changed.iter().take(CHANGED_SHOWN) {
            let _ = writeln!(out, "          {change}");
        }
        let more = record.changed.len().saturating_sub(CHANGED_SHOWN);
        if more > 0 {
            let _ = writeln!(out, "          and {more} more");
        }
    }
    if let Some(next) = page.next {
        let _ = writeln!(out, "more from {next}");
    }
    out
}

/// Returns a table of tallies.
pub(crate) fn tally(lines: &[MonthlyTally]) -> String {
    let mut out = String::new();
    let head = ["month", "service", "kind", "requests", "weighted"];
    line(&mut out, &head.map(str::to_owned));
    for tally in lines {
        line(
            &mut out,
            &[
                tally.month.to_string(),
                tally.service.to_string(),
                tally.kind.to_string(),
                tally.requests.to_string(),
                tally.weighted.to_string(),
            ],
        );
    }
    out
}

/// Returns the answer to a look-up.
pub(crate) fn lookup(answer: &LookupResponse) -> String {
    let mut out = format!("version {}, keep for {} ms\n", answer.version, answer.ttl_ms);
    for entry in &answer.entries {
        let (name, domain) = (entry.name.to_string(), entry.domain.to_string());
        line(&mut out, &[name, domain, entry.address.to_string()]);
    }
    out
}

fn line(out: &mut String, cells: &[String]) {
    let padded: Vec<String> = cells.iter().map(|cell| format!("{cell:<16}")).collect();
    let _ = writeln!(out, "{}", padded.join(" ").trim_end());
}
