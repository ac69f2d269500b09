/*!
Waits for the end of a request's time.

How long a request waited on the entry's link is known only some time after it arrived, so its time
may turn out to end sooner than it seemed.
*/

use {
    super::entry_shell::EntryShell,
    hemlockspool_core::{
        clock::Moment,
        traffic::request_time::{RequestTime, TimeLimit},
    },
    hemlockspool_serve::ResponseDeadline,
    std::sync::Arc,
    tokio::{
        select,
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Completes when a request's time is over. Updates its limit until that is final.
pub(super) async fn time_over(shell: &EntryShell, time: RequestTime, limit: &mut TimeLimit) {
    let mut replies = shell.replies.subscribe();
    loop {
        if !limit.is_final {
            *limit = shell.with_state(|state, _| state.router.time_limit(time));
        }
        let over = sleep(limit.at.since(shell.now()));
        if limit.is_final {
            return over.await;
        }
        select! {
            () = over => return,
            // The sender is in the shell.
            _ = replies.changed() => {}
        }
    }
}

/// Returns the deadline of a streamed response to a request with a limit.
pub(super) fn response_deadline(
    shell: &Arc<EntryShell>,
    time: RequestTime,
    limit: TimeLimit,
) -> ResponseDeadline {
    let (sender, receiver) = watch::channel(instant_of(shell, limit.at));
    if !limit.is_final {
        tokio::spawn(follow_limit(Arc::clone(shell), time, sender));
    }
    ResponseDeadline::following(receiver)
}

/// Sends the end of a request's time once it is known, if that is before the response ends.
async fn follow_limit(shell: Arc<EntryShell>, time: RequestTime, sender: watch::Sender<Instant>) {
    let mut replies = shell.replies.subscribe();
    loop {
        let limit = shell.with_state(|state, _| state.router.time_limit(time));
        if limit.is_final {
            sender.send_replace(instant_of(&shell, limit.at));
            return;
        }
        select! {
            () = sender.closed() => return,
            _ = replies.changed() => {}
        }
    }
}

fn instant_of(shell: &EntryShell, moment: Moment) -> Instant {
    Instant::now() + moment.since(shell.now())
}
