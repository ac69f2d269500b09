/*!
Commands for deployments whose targets are found at run time: `table` and `evacuate`.
*/

use {
    crate::{client::EntryClient, error::CommandError, options::CallOptions},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    hemlockspool_model::table::RouteTable,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Returns the commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let file = || {
        let file = Arg::new("file").required(true).value_name("FILE");
        file.value_parser(value_parser!(PathBuf)).help("The route table, in JSON")
    };
    let base = Arg::new("base").long("base").value_name("VERSION").required(true);
    let base = base.value_parser(value_parser!(u64)).help("The version that it was made from");
    let check = Command::new("check").about("Checks a table offline").arg(file());
    let publish = Command::new("publish").about("Puts a table in force").args([file(), base]);
    let show = Command::new("show").about("Shows the table that stands, as a quorum confirms it");
    let table = Command::new("table").about("Route tables of deployments with discovered targets");
    let domain = Arg::new("domain").required(true).value_name("FAILURE-DOMAIN");
    let end = Arg::new("end").long("end").action(ArgAction::SetTrue).help("Gives them back");
    let evacuate = Command::new("evacuate").about("Takes a failure domain's targets out of use");
    vec![
        table.subcommand_required(true).subcommands([check, publish, show]),
        evacuate.args([domain, end]),
    ]
}

/// Runs `table`.
///
/// # Errors
///
/// See [`CommandError`].
pub(crate) async fn table(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    match arguments.subcommand() {
        Some(("check", arguments)) => {
            let (_, version) = read_table(path_of(arguments))?;
            println!("version {version}: the table is good");
            Ok(())
        }
        Some(("publish", arguments)) => publish(options, arguments).await,
        _ => {
            let client = EntryClient::new(options)?;
            let make = |http: &reqwest::Client, server: &str| http.get(url(server, "/v1/table"));
            println!("{}", client.order(make).await?);
            Ok(())
        }
    }
}

async fn publish(options: &CallOptions, arguments: &ArgMatches) -> Result<(), CommandError> {
    let (text, version) = read_table(path_of(arguments))?;
    let base: u64 = *arguments.get_one("base").expect("the argument is required");
    let client = EntryClient::new(options)?;
    let make = |http: &reqwest::Client, server: &str| {
        let request = http.put(url(server, "/v1/table")).header("if-match", base.to_string());
        request.body(text.clone())
    };
    client.order(make).await?;
    println!("version {version} is accepted");
    Ok(())
}

/// Runs `evacuate`.
///
/// # Errors
///
/// See [`CommandError`].
pub(crate) async fn evacuate(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let domain: &String = arguments.get_one("domain").expect("the argument is required");
    let ends = arguments.get_flag("end");
    let path = format!("/v1/evacuations/{domain}");
    let client = EntryClient::new(options)?;
    let make = |http: &reqwest::Client, server: &str| match ends {
        true => http.delete(url(server, &path)),
        false => http.post(url(server, &path)),
    };
    client.order(make).await?;
    println!("{domain}: the evacuation {}", if ends { "has ended" } else { "has begun" });
    Ok(())
}

fn path_of(arguments: &ArgMatches) -> &Path {
    let path: &PathBuf = arguments.get_one("file").expect("the argument is required");
    path
}

fn read_table(path: &Path) -> Result<(String, u64), CommandError> {
    let read = fs::read_to_string(path);
    let text = read.map_err(|source| CommandError::Unreadable { path: path.to_owned(), source })?;
    let faults = match RouteTable::parse(&text) {
        Ok(table) if table.validate().is_empty() => return Ok((text, table.version)),
        Ok(table) => table.validate(),
        Err(fault) => vec![fault],
    };
    Err(CommandError::Table { path: path.to_owned(), faults })
}

fn url(server: &str, path: &str) -> String {
    format!("http://{server}{path}")
}
