/*!
Commands that change the replicas: `replica init`, `replica add` and `replica remove`.
*/

use {
    crate::{client::EntryClient, error::CommandError, options::CallOptions},
    clap::{Arg, ArgMatches, Command},
    hemlockspool_model::api::{ReplicaRequest, ReplicaResponse, StatusResponse},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// How long a change that is in the way is waited for, and a new replica until it has everything.
const CHANGE_WAIT: Duration = Duration::from_secs(30);
/// How often it is tried.
const CHANGE_CHECK: Duration = Duration::from_millis(200);

/// Returns the command.
pub(crate) fn subcommand() -> Command {
    let name = Arg::new("name").required(true).help("The instance");
    Command::new("replica")
        .about("Changes which instances hold the log")
        .subcommand_required(true)
        .subcommand(
            Command::new("init")
                .about("Makes the first server given the first voter of a new deployment"),
        )
        .subcommand(
            Command::new("add")
                .about("Takes an instance in, and waits until it votes")
                .arg(name.clone()),
        )
        .subcommand(Command::new("remove").about("Takes an instance out").arg(name))
}

/// Runs a command.
///
/// # Errors
///
/// [`CommandError::Replica`] when it is refused.
pub(crate) async fn run(options: &CallOptions, matches: &ArgMatches) -> Result<(), CommandError> {
    let client = EntryClient::new(options)?;
    let (command, name) = match matches.subcommand() {
        Some((command, arguments)) => {
            let name = arguments.try_get_one::<String>("name").ok().flatten();
            (command, name.cloned().unwrap_or_default())
        }
        None => return Ok(()),
    };
    let body = match command {
        "init" => ReplicaRequest::Init,
        "add" => ReplicaRequest::Add(name.as_str().into()),
        _ => ReplicaRequest::Remove(name.as_str().into()),
    };
    if body == ReplicaRequest::Init {
        return report(
            ask(&client, &options.servers[0], &body).await?,
            "the log has its first voter",
        );
    }
    change(options, &client, &body).await?;
    if command == "add" {
        wait_for_vote(&client, &name).await?;
        println!("{name} holds everything that is committed, and votes");
    } else {
        println!("{name} holds no replica any more");
    }
    Ok(())
}

/// Asks every server until the one that leads has done it.
async fn change(
    options: &CallOptions,
    client: &EntryClient<'_>,
    body: &ReplicaRequest,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + CHANGE_WAIT;
    let mut last = ReplicaResponse::NotLeader { leader: None };
    while Instant::now() < deadline {
        for server in &options.servers {
            match ask(client, server, body).await {
                Ok(ReplicaResponse::Done) => return Ok(()),
                Ok(ReplicaResponse::Unauthorised) => return Err(CommandError::Unauthorised),
                // An instance that isn't known yet may be about to ask to join.
                Ok(answer @ (ReplicaResponse::Busy | ReplicaResponse::NotKnown)) => last = answer,
                Ok(ReplicaResponse::NotLeader { .. } | ReplicaResponse::NoFolder) | Err(_) => {}
                Ok(answer) => return Err(CommandError::Replica { answer }),
            }
        }
        sleep(CHANGE_CHECK).await;
    }
    Err(CommandError::Replica { answer: last })
}

async fn wait_for_vote(client: &EntryClient<'_>, name: &str) -> Result<(), CommandError> {
    let deadline = Instant::now() + CHANGE_WAIT;
    while Instant::now() < deadline {
        let status: StatusResponse = client.get("/v1/status").await?;
        let members = status.replica.map(|replica| replica.members).unwrap_or_default();
        let votes = members.iter().any(|one| one.name.as_str() == name && one.voter);
        if votes {
            return Ok(());
        }
        sleep(CHANGE_CHECK).await;
    }
    Err(CommandError::Replica { answer: ReplicaResponse::Busy })
}

async fn ask(
    client: &EntryClient<'_>,
    server: &str,
    body: &ReplicaRequest,
) -> Result<ReplicaResponse, CommandError> {
    let answer = client.post_to(server, "/v1/replicas", body).await;
    answer.map_err(|error| CommandError::Unanswered { last: Some(error) })
}

fn report(answer: ReplicaResponse, done: &str) -> Result<(), CommandError> {
    match answer {
        ReplicaResponse::Done => {
            println!("{done}");
            Ok(())
        }
        ReplicaResponse::Unauthorised => Err(CommandError::Unauthorised),
        answer => Err(CommandError::Replica { answer }),
    }
}
