/*!
Read-only commands: `show`, `status`, `audit`, `tally` and `lookup`.
*/

use {
    super::print_json,
    crate::{client::ServerClient, error::CommandError, options::ClientOptions, render},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    hemlockspool_model::api::{
        AuditResponse, ConfigResponse, LookupResponse, MonthlyTally, StatusResponse,
    },
};

/// Returns the definitions of the commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help)
    };
    let all = Arg::new("all").long("all").action(ArgAction::SetTrue);
    let operator = Arg::new("operator").long("operator").help("Shows only this operator's records");
    let caller = Arg::new("caller").long("caller").help("The caller's address");
    vec![
        Command::new("show").about("Shows the set of objects in force"),
        Command::new("status")
            .about("Shows the state of an instance")
            .arg(all.help("Shows the state of every server given")),
        Command::new("audit").about("Shows the audit trail").args([
            number("from", "The sequence number of the first record"),
            number("limit", "The maximum number of records, counted before --operator is applied"),
            operator,
        ]),
        Command::new("tally")
            .about("Shows the monthly tallies")
            .arg(number("month", "The month as YYYYMM, for example 202601")),
        Command::new("lookup").about("Shows the entries that a caller should use").arg(caller),
    ]
}

/// Prints the set of objects in force, as JSON.
///
/// # Errors
///
/// Returns [`CommandError::NoServers`] if no server is given, or [`CommandError::NoResponse`] if
/// none returns the resource.
pub(crate) async fn show(options: &ClientOptions) -> Result<(), CommandError> {
    let config: ConfigResponse = ServerClient::new(options)?.get("/v1/config").await?;
    print_json(&config);
    Ok(())
}

/// Prints the state of the first server that responds, or with `--all` of every server that does.
///
/// # Errors
///
/// Returns [`CommandError::NoServers`] if no server is given, or [`CommandError::NoResponse`] if
/// none returns the resource.
pub(crate) async fn status(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let client = ServerClient::new(options)?;
    let mut responses: Vec<StatusResponse> = Vec::new();
    if arguments.get_flag("all") {
        for server in &options.servers {
            match client.get_from(server, "/v1/status").await {
                Ok(response) => responses.push(response),
                Err(error) => eprintln!("{server}: {error}"),
            }
        }
    } else {
        responses.push(client.get("/v1/status").await?);
    }
    if responses.is_empty() {
        return Err(CommandError::NoResponse { last_error: None });
    }
    if options.json {
        print_json(&responses);
    } else {
        print!("{}", render::status(&responses));
    }
    Ok(())
}

/// Prints a page of the audit trail.
///
/// # Errors
///
/// Returns [`CommandError::NoServers`] if no server is given, or [`CommandError::NoResponse`] if
/// none returns the resource.
pub(crate) async fn audit(
    options: &ClientOptions,
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
    let page: AuditResponse = ServerClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&page);
    } else {
        print!("{}", render::audit(&page));
    }
    Ok(())
}

/// Prints the monthly tallies.
///
/// # Errors
///
/// Returns [`CommandError::NoServers`] if no server is given, or [`CommandError::NoResponse`] if
/// none returns the resource.
pub(crate) async fn tally(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let month = arguments.get_one::<u64>("month");
    let path = month.map_or("/v1/tally".to_owned(), |month| format!("/v1/tally?month={month}"));
    let tallies: Vec<MonthlyTally> = ServerClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&tallies);
    } else {
        print!("{}", render::tally(&tallies));
    }
    Ok(())
}

/// Prints the entries that a caller should use.
///
/// # Errors
///
/// Returns [`CommandError::NoServers`] if no server is given, or [`CommandError::NoResponse`] if
/// none returns the resource.
pub(crate) async fn lookup(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let caller = arguments.get_one::<String>("caller");
    let path = caller.map_or("/v1/lookup".to_owned(), |ip| format!("/v1/lookup?caller={ip}"));
    let response: LookupResponse = ServerClient::new(options)?.get(&path).await?;
    if options.json {
        print_json(&response);
    } else {
        print!("{}", render::lookup(&response));
    }
    Ok(())
}
