/*!
Commands that only show: `show`, `status`, `audit`, `tally` and `lookup`.
*/

use {
    super::print_json,
    crate::{client::EntryClient, error::CommandError, options::CallOptions, render},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    hemlockspool_model::api::{
        AuditResponse, ConfigResponse, LookupResponse, MonthlyTally, StatusResponse,
    },
};

/// Returns the commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help)
    };
    let all = Arg::new("all").long("all").action(ArgAction::SetTrue);
    let operator = Arg::new("operator").long("operator").help("Only this operator's records");
    let caller = Arg::new("caller").long("caller").help("The caller's address");
    vec![
        Command::new("show").about("Shows the set in force"),
        Command::new("status")
            .about("Shows the state of an entry")
            .arg(all.help("Asks every server given")),
        Command::new("audit").about("Shows the audit trail").args([
            number("from", "The first record"),
            number("limit", "How many records"),
            operator,
        ]),
        Command::new("tally")
            .about("Shows the monthly tallies")
            .arg(number("month", "The month, as year times 100 plus month")),
        Command::new("lookup").about("Asks which entries a caller should use").arg(caller),
    ]
}

/// Shows the set in force.
///
/// # Errors
///
/// [`CommandError::Unanswered`] when no entry answers.
pub(crate) async fn show(options: &CallOptions) -> Result<(), CommandError> {
    let config: ConfigResponse = EntryClient::new(options)?.get("/v1/config").await?;
    print_json(&config);
    Ok(())
}

/// Shows the state of one entry, or of every one given.
///
/// # Errors
///
/// [`CommandError::Unanswered`] when no entry answers.
pub(crate) async fn status(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let client = EntryClient::new(options)?;
    let mut answers: Vec<StatusResponse> = Vec::new();
    if arguments.get_flag("all") {
        for server in &options.servers {
            match client.get_from(server, "/v1/status").await {
                Ok(answer) => answers.push(answer),
                Err(error) => eprintln!("{server}: {error}"),
            }
        }
    } else {
        answers.push(client.get("/v1/status").await?);
    }
    if answers.is_empty() {
        return Err(CommandError::Unanswered { last: None });
    }
    if options.json {
        print_json(&answers);
    } else {
        print!("{}", render::status(&answers));
    }
    Ok(())
}

/// Shows a page of the audit trail.
///
/// # Errors
///
/// [`CommandError::Unanswered`] when no entry answers.
pub(crate) async fn audit(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let mut path = String::from("/v1/audit?");
    for name in ["from", "limit"] {
        if let Some(number) = arguments.get_one::<u64>(name) {
            path += &format!("{name}={number}&");
        }
    }
    if let Some(operator) = arguments.get_one::<String>("operator") {
        path += &format!("operator={operator}");
    }
    let page: AuditResponse = EntryClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&page);
    } else {
        print!("{}", render::audit(&page));
    }
    Ok(())
}

/// Shows the monthly tallies.
///
/// # Errors
///
/// [`CommandError::Unanswered`] when no entry answers.
pub(crate) async fn tally(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let month = arguments.get_one::<u64>("month");
    let path = month.map_or("/v1/tally".to_owned(), |month| format!("/v1/tally?month={month}"));
    let lines: Vec<MonthlyTally> = EntryClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&lines);
    } else {
        print!("{}", render::tally(&lines));
    }
    Ok(())
}

/// Asks which entries a caller should use.
///
/// # Errors
///
/// [`CommandError::Unanswered`] when no entry answers.
pub(crate) async fn lookup(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let caller = arguments.get_one::<String>("caller");
    let path = caller.map_or("/v1/lookup".to_owned(), |ip| format!("/v1/lookup?caller={ip}"));
    let answer: LookupResponse = EntryClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&answer);
    } else {
        print!("{}", render::lookup(&answer));
    }
    Ok(())
}
