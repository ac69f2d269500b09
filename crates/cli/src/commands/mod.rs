/*!
The commands and their dispatch.
*/

mod change;
mod replicas;
mod show;
mod tables;

use {
    crate::{error::CommandError, options::ClientOptions},
    clap::{ArgMatches, Command},
};

/// Returns the definitions of all commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let mut all = change::subcommands();
    all.extend(show::subcommands());
    all.extend(tables::subcommands());
    all.push(replicas::subcommand());
    all
}

/// Runs the command given in the arguments.
///
/// # Errors
///
/// Returns the error of the command.
pub(crate) async fn run(options: &ClientOptions, matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "check" => change::check(options, arguments).await,
        "publish" => change::publish(options, arguments).await,
        "drain" => change::drain(options, arguments, change::DrainChange::Add).await,
        "undrain" => change::drain(options, arguments, change::DrainChange::Remove).await,
        "show" => show::show(options).await,
        "status" => show::status(options, arguments).await,
        "audit" => show::audit(options, arguments).await,
        "tally" => show::tally(options, arguments).await,
        "lookup" => show::lookup(options, arguments).await,
        "table" => tables::run_table(options, arguments).await,
        "evacuate" => tables::evacuate(options, arguments).await,
        _ => replicas::run(options, arguments).await,
    }
}

/// Prints a value as JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: serde::Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
