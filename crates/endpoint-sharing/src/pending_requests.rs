//! Requests of which the agent has one at a time outstanding for each list.

use crate::limits::MAX_LISTS;
use crate::timing::Micros;
use std::collections::BTreeMap;

/// How long a request to one instance excludes requests to others.
const REQUEST_TIMEOUT: Micros = 1_000_000;

/// The lists for which an instance currently has a request to carry out, with the time at which each request expires. At
/// most [`MAX_LISTS`].
#[derive(Default)]
pub(crate) struct PendingRequests {
    expires_at: BTreeMap<String, Micros>,
}

impl PendingRequests {
    /// Starts a request for a list, unless one is pending or there are too many. Returns whether it started.
    pub(crate) fn try_start(&mut self, list: &str, now: Micros) -> bool {
        self.expires_at.retain(|_, expires_at| *expires_at > now);
        if self.expires_at.contains_key(list) || self.expires_at.len() >= MAX_LISTS {
            return false;
        }
        let expires_at = now.saturating_add(REQUEST_TIMEOUT);
        self.expires_at.insert(list.to_string(), expires_at);
        true
    }

    /// Ends the request for a list, which was carried out.
    pub(crate) fn complete(&mut self, list: &str) {
        self.expires_at.remove(list);
    }
}
