/*!
Commands for deployments whose targets are discovered at run time: `table` and `evacuate`.
*/

use {
    crate::{client::ServerClient, error::CommandError, options::ClientOptions},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    hemlockspool_model::table::RouteTable,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Returns the definitions of the commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let file = || {
        let file = Arg::new("file").required(true).value_name("FILE");
        file.value_parser(value_parser!(PathBuf)).help("The route table, in JSON")
    };
    let base = Arg::new("base").long("base").value_name("VERSION").required(true);
    let base = base.value_parser(value_parser!(u64)).help("The version that the table is based on");
    let check = Command::new("check").about("Checks a table without publishing it").arg(file());
    let publish = Command::new("publish").about("Publishes a table").args([file(), base]);
    let show = Command::new("show").about("Shows the current table, confirmed by a quorum");
    let table = Command::new("table").about("Route tables of deployments with discovered targets");
    let domain = Arg::new("domain").required(true).value_name("FAILURE-DOMAIN");
    let end = Arg::new("end").long("end").action(ArgAction::SetTrue).help("Ends the evacuation");
    let evacuate =
        Command::new("evacuate").about("Stops sending requests to a failure domain's targets");
    vec![
        table.subcommand_required(true).subcommands([check, publish, show]),
        evacuate.args([domain, end]),
    ]
}

/// Runs `table check`, `table publish` or `table show`.
///
/// # Errors
///
/// Returns [`CommandError::Unreadable`] or [`CommandError::InvalidTable`] for a file that cannot be
/// used, and the errors of [`ServerClient::new`] and [`ServerClient::send`].
pub(crate) async fn run_table(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    match arguments.subcommand() {
        Some(("check", arguments)) => {
            let (_, version) = read_table(table_path(arguments))?;
            println!("version {version}: the table is valid");
            Ok(())
        }
        Some(("publish", arguments)) => publish(options, arguments).await,
        _ => {
            let client = ServerClient::new(options)?;
            let build_request =
                |http: &reqwest::Client, server: &str| http.get(url(server, "/v1/table"));
            println!("{}", client.send(build_request).await?);
            Ok(())
        }
    }
}

async fn publish(options: &ClientOptions, arguments: &ArgMatches) -> Result<(), CommandError> {
    let (text, version) = read_table(table_path(arguments))?;
    let base: u64 = *arguments.get_one("base").expect("the argument is required");
    let client = ServerClient::new(options)?;
    let build_request = |http: &reqwest::Client, server: &str| {
        let request = http.put(url(server, "/v1/table")).header("if-match", base.to_string());
        request.body(text.clone())
    };
    client.send(build_request).await?;
    println!("version {version} is accepted");
    Ok(())
}

/// Begins or ends the evacuation of a failure domain.
///
/// # Errors
///
/// Returns the errors of [`ServerClient::new`] and [`ServerClient::send`].
pub(crate) async fn evacuate(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let domain: &String = arguments.get_one("domain").expect("the argument is required");
    let end = arguments.get_flag("end");
    let path = format!("/v1/evacuations/{domain}");
    let client = ServerClient::new(options)?;
    let build_request = |http: &reqwest::Client, server: &str| match end {
        true => http.delete(url(server, &path)),
        false => http.post(url(server, &path)),
    };
    client.send(build_request).await?;
    println!("{domain}: the evacuation {}", if end { "has ended" } else { "has begun" });
    Ok(())
}

fn table_path(arguments: &ArgMatches) -> &Path {
    let path: &PathBuf = arguments.get_one("file").expect("the argument is required");
    path
}

fn read_table(path: &Path) -> Result<(String, u64), CommandError> {
    let result = fs::read_to_string(path);
    let text =
        result.map_err(|source| CommandError::Unreadable { path: path.to_owned(), source })?;
    let errors = match RouteTable::parse(&text) {
        Ok(table) if table.validate().is_empty() => return Ok((text, table.version)),
        Ok(table) => table.validate(),
        Err(error) => vec![error],
    };
    Err(CommandError::InvalidTable { path: path.to_owned(), errors })
}

fn url(server: &str, path: &str) -> String {
    format!("http://{server}{path}")
}
