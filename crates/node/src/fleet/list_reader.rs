/*!
Reading the platform's list of targets, all pages of it.
*/

use {
    hemlockspool_core::fleet::{decision_events::DecisionEvent, roster::TargetList},
    hemlockspool_platform::target_list,
    reqwest::Client,
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// How long one page may take.
const PAGE_PATIENCE: Duration = Duration::from_millis(1_000);
/// Pages read at most: a list that goes on and on is not believed.
const PAGES_MAX: u32 = 400;

/// What a reading came to.
#[derive(Debug, Default)]
pub(crate) struct ListReading {
    /// The list; none when a page couldn't be read.
    pub list: Option<TargetList>,
    /// The calls made.
    pub calls: u32,
    /// What is to be logged.
    pub notes: Vec<DecisionEvent>,
}

/// Why a page can't be read.
#[derive(Debug, Error)]
enum PageReadError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] reqwest::Error),
    /// What came isn't a page.
    #[error(transparent)]
    Page(#[from] target_list::PageError),
}

/// Reads the whole list.
pub(crate) async fn read_list(client: &Client, address: SocketAddr) -> ListReading {
    let mut reading = ListReading::default();
    let mut list = TargetList::new();
    let mut token: Option<String> = None;
    while reading.calls < PAGES_MAX {
        reading.calls += 1;
        let url = format!("http://{address}{}", target_list::page_path(token.as_deref()));
        let Ok(page) = read_page(client, &url).await else {
            return reading;
        };
        for (target, fault) in page.rejected {
            reading.notes.push(DecisionEvent::ListEntryBad { target, reason: fault.to_string() });
        }
        list.extend(page.targets);
        token = page.next_token;
        if token.is_none() {
            reading.list = Some(list);
            return reading;
        }
    }
    reading
}

async fn read_page(client: &Client, url: &str) -> Result<target_list::ListPage, PageReadError> {
    let answer = client.get(url).timeout(PAGE_PATIENCE).send().await?.error_for_status()?;
    Ok(target_list::parse_page(&answer.bytes().await?)?)
}
