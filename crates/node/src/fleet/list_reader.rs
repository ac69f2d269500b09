/*!
Reading of the platform's paginated list of targets.
*/

use {
    crate::limited_body::{BodyReadError, read_limited},
    hemlockspool_core::fleet::{decision_events::DecisionEvent, roster::TargetList},
    hemlockspool_platform::target_list,
    reqwest::Client,
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// The timeout for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum size of a page, in bytes.
const PAGE_BYTES_MAX: usize = 16 << 20;
/// The maximum number of pages that are read. A longer list is treated as invalid and isn't used.
const PAGES_MAX: u32 = 400;

/// The result of reading the list.
#[derive(Debug, Default)]
pub(crate) struct ListResult {
    /// The list, or `None` if a page couldn't be read or the list has too many pages.
    pub list: Option<TargetList>,
    /// The number of calls made to the platform.
    pub calls: u32,
    /// The decisions to log.
    pub decisions: Vec<DecisionEvent>,
}

/// The error of reading a page.
#[derive(Debug, Error)]
enum PageReadError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] BodyReadError),
    /// The response isn't a valid page.
    #[error(transparent)]
    Page(#[from] target_list::PageError),
}

/// Reads all pages of the list.
pub(crate) async fn read_list(client: &Client, address: SocketAddr) -> ListResult {
    let mut result = ListResult::default();
    let mut list = TargetList::new();
    let mut token: Option<String> = None;
    while result.calls < PAGES_MAX {
        result.calls += 1;
        let url = format!("http://{address}{}", target_list::page_path(token.as_deref()));
        let Ok(page) = read_page(client, &url).await else {
            return result;
        };
        for (target, error) in page.rejected {
            result
                .decisions
                .push(DecisionEvent::ListEntryBad { target, reason: error.to_string() });
        }
        list.extend(page.targets);
        token = page.next_token;
        if token.is_none() {
            result.list = Some(list);
            return result;
        }
    }
    result
}

async fn read_page(client: &Client, url: &str) -> Result<target_list::ListPage, PageReadError> {
    let response = client.get(url).timeout(PAGE_TIMEOUT).send().await;
    let response = response.and_then(|response| response.error_for_status());
    let body = read_limited(response.map_err(BodyReadError::Call)?, PAGE_BYTES_MAX).await?;
    Ok(target_list::parse_page(&body)?)
}
