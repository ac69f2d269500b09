/*!
Formatting of responses as text.
*/

use {
    hemlockspool_model::api::{AuditResponse, LookupResponse, MonthlyTally, StatusResponse},
    std::fmt::Write,
};

/// The number of changes shown for one audit record.
const CHANGES_SHOWN_MAX: usize = 5;

/// Formats the states of instances as a table.
pub(crate) fn status(responses: &[StatusResponse]) -> String {
    let mut out = String::new();
    let header = ["instance", "domain", "version", "confirmed", "role", "in flight", "queued"];
    write_row(&mut out, &header.map(str::to_owned));
    for response in responses {
        let version = response.version.map_or("-".to_owned(), |version| version.to_string());
        let age = response.confirmed_age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
        let role = response.replica.as_ref().map_or("entry", |replica| replica.role.as_str());
        let role = if response.stopping { format!("{role}, stopping") } else { role.to_owned() };
        write_row(
            &mut out,
            &[
                response.instance.to_string(),
                response.domain.to_string(),
                version,
                age,
                role,
                response.in_flight.to_string(),
                response.queued.to_string(),
            ],
        );
    }
    out
}

/// Formats a page of the audit trail.
pub(crate) fn audit(page: &AuditResponse) -> String {
    let mut out = String::new();
    for record in &page.records {
        let operator = record.operator.as_ref().map_or("(unknown)", |name| name.as_str());
        let _ = writeln!(
            out,
            "{:>6}  {}  {operator}  {:?}  {} -> {}  {}",
            record.sequence, record.at_ms, record.action, record.from, record.to, record.request
        );
        for change in record.changed.iter().take(CHANGES_SHOWN_MAX) {
            let _ = writeln!(out, "          {change}");
        }
        let hidden = record.changed.len().saturating_sub(CHANGES_SHOWN_MAX);
        if hidden > 0 {
            let _ = writeln!(out, "          and {hidden} more");
        }
    }
    if let Some(next) = page.next {
        let _ = writeln!(out, "next page: --from {next}");
    }
    out
}

/// Formats the monthly tallies as a table.
pub(crate) fn tally(tallies: &[MonthlyTally]) -> String {
    let mut out = String::new();
    let header = ["month", "service", "kind", "requests", "weighted"];
    write_row(&mut out, &header.map(str::to_owned));
    for tally in tallies {
        write_row(
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

/// Formats the response to a lookup.
pub(crate) fn lookup(response: &LookupResponse) -> String {
    let mut out = format!("version {}, valid for {} ms\n", response.version, response.ttl_ms);
    for entry in &response.entries {
        let (name, domain) = (entry.name.to_string(), entry.domain.to_string());
        write_row(&mut out, &[name, domain, entry.address.to_string()]);
    }
    out
}

fn write_row(out: &mut String, cells: &[String]) {
    let padded: Vec<String> = cells.iter().map(|cell| format!("{cell:<16}")).collect();
    let _ = writeln!(out, "{}", padded.join(" ").trim_end());
}
