/*!
The command-line client for operators of hemlockspool.

* [`options`] reads the servers and the token from arguments, the environment or a profile file.
* [`folder`] reads a folder of declarations.
* [`client`] sends a request to one server after another.
* [`commands`] implements the commands, and [`render`] formats their output as text.

Exit codes:

* 0: success.
* 1: the command failed for a reason not listed below.
* 2: the arguments, profile, declarations or route table are invalid or can't be read, or there is
  no drain to remove.
* 3: the base version isn't the current one, or the version of a route table isn't a higher one.
* 4: no server gave a usable response, or the outcome of a change is unknown. `replica add` and
  `replica remove` exit with 1 in these cases, unless the checks for the new voter get no response.
*/

mod client;
mod commands;
mod error;
mod folder;
mod options;
mod render;

use {
    clap::Command, error::CommandError, miette::Report, options::ClientOptions,
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(source) => return fail(CommandError::Runtime { source }),
    };
    let result = ClientOptions::read(&matches)
        .and_then(|options| runtime.block_on(commands::run(&options, &matches)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

fn command() -> Command {
    Command::new("hemlockspool")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks, publishes and shows the configuration of hemlockspool")
        .subcommand_required(true)
        .args(options::arguments())
        .subcommands(commands::subcommands())
}

fn fail(error: CommandError) -> ExitCode {
    let code = error.exit_code();
    eprintln!("{:?}", Report::new(error));
    ExitCode::from(code)
}
