/*!
The command line of hemlockspool's operators.

* [`options`] reads servers and the token from arguments, the environment or a profile file.
* [`folder`] reads a folder of declarations.
* [`client`] asks one entry after another.
* [`commands`] does what is asked; [`render`] shows it as tables.

Exit codes: 0 done, 1 failed, 2 wrong arguments or faulty declarations, 3 another publication came
first, 4 no entry answered or the fate of a change is unknown.
*/

mod client;
mod commands;
mod error;
mod folder;
mod options;
mod render;

use {
    clap::Command, error::CommandError, miette::Report, options::CallOptions,
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(source) => return fail(CommandError::Runtime { source }),
    };
    let done = CallOptions::read(&matches)
        .and_then(|options| runtime.block_on(commands::run(&options, &matches)));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

fn command() -> Command {
    Command::new("hemlockspool")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Declares, publishes and shows what hemlockspool steers by")
        .subcommand_required(true)
        .args(options::arguments())
        .subcommands(commands::subcommands())
}

fn fail(error: CommandError) -> ExitCode {
    let code = error.exit_code();
    eprintln!("{:?}", Report::new(error));
    ExitCode::from(code)
}
