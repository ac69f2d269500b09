/*!
Commands that change the replicas: `replica init`, `replica add` and `replica remove`.
*/

use {
    crate::{client::ServerClient, error::CommandError, options::ClientOptions},
    clap::{Arg, ArgMatches, Command},
    hemlockspool_model::api::{ReplicaRequest, ReplicaResponse, StatusResponse},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The time limit for attempts at a change, which are repeated if, for example, an earlier change
/// is in progress. The wait for the new voter has a separate limit of the same length.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval between two attempts at a change, and between two checks for the new voter.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the definition of the command.
pub(crate) fn subcommand() -> Command {
    let name = Arg::new("name").required(true).help("The instance");
    Command::new("replica")
        .about("Changes the instances that hold a replica of the log")
        .subcommand_required(true)
        .subcommand(
            Command::new("init")
                .about("Makes the first given server the first voter of a new deployment"),
        )
        .subcommand(
            Command::new("add")
                .about("Adds an instance and waits until it is a voter")
                .arg(name.clone()),
        )
        .subcommand(Command::new("remove").about("Removes an instance").arg(name))
}

/// Runs `replica init`, `replica add` or `replica remove`.
///
/// # Errors
///
/// Returns [`CommandError::ReplicaChange`] if the change is refused, reaches no leader or does not
/// complete in time, [`CommandError::Unauthorised`] if the token is missing or unknown, the errors
/// of [`ServerClient::new`], or [`CommandError::NoResponse`] if `init` or a check for the new voter
/// gets no response.
pub(crate) async fn run(options: &ClientOptions, matches: &ArgMatches) -> Result<(), CommandError> {
    let client = ServerClient::new(options)?;
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
            request_change(&client, &options.servers[0], &body).await?,
            "the server is the first voter of the new deployment",
        );
    }
    change(options, &client, &body).await?;
    if command == "add" {
        wait_until_voter(&client, &name).await?;
        println!("{name} has all committed entries and is a voter");
    } else {
        println!("the removal of {name} is accepted");
    }
    Ok(())
}

/// Sends a change to one server after another until the leader has accepted it.
///
/// # Errors
///
/// Returns [`CommandError::Unauthorised`], or [`CommandError::ReplicaChange`] if the change is
/// refused or not accepted in time.
async fn change(
    options: &ClientOptions,
    client: &ServerClient<'_>,
    body: &ReplicaRequest,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut last_response = ReplicaResponse::NotLeader { leader: None };
    while Instant::now() < deadline {
        for server in &options.servers {
            match request_change(client, server, body).await {
                Ok(ReplicaResponse::Done) => return Ok(()),
                Ok(ReplicaResponse::Unauthorised) => return Err(CommandError::Unauthorised),
                // An unknown instance may still request to join.
                Ok(response @ (ReplicaResponse::Busy | ReplicaResponse::NotKnown)) => {
                    last_response = response
                }
                Ok(ReplicaResponse::NotLeader { .. } | ReplicaResponse::NoFolder) | Err(_) => {}
                Ok(response) => return Err(CommandError::ReplicaChange { response }),
            }
        }
        sleep(CHANGE_INTERVAL).await;
    }
    Err(CommandError::ReplicaChange { response: last_response })
}

async fn wait_until_voter(client: &ServerClient<'_>, name: &str) -> Result<(), CommandError> {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    while Instant::now() < deadline {
        let status: StatusResponse = client.get("/v1/status").await?;
        let members = status.replica.map(|replica| replica.members).unwrap_or_default();
        let is_voter = members.iter().any(|member| member.name.as_str() == name && member.voter);
        if is_voter {
            return Ok(());
        }
        sleep(CHANGE_INTERVAL).await;
    }
    Err(CommandError::ReplicaChange { response: ReplicaResponse::Busy })
}

async fn request_change(
    client: &ServerClient<'_>,
    server: &str,
    body: &ReplicaRequest,
) -> Result<ReplicaResponse, CommandError> {
    let result = client.post_to(server, "/v1/replicas", body).await;
    result.map_err(|error| CommandError::NoResponse { last_error: Some(error) })
}

fn report(response: ReplicaResponse, success: &str) -> Result<(), CommandError> {
    match response {
        ReplicaResponse::Done => {
            println!("{success}");
            Ok(())
        }
        ReplicaResponse::Unauthorised => Err(CommandError::Unauthorised),
        response => Err(CommandError::ReplicaChange { response }),
    }
}
