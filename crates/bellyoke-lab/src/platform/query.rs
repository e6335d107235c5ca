//! The query string of a request for the objects of a scope.

use super::refusal::Refusal;
use super::selector::LabelSelector;
use super::store::Scope;
use super::stream::WatchRequest;
use gotham::hyper::Uri;
use std::time::Duration;

const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(300);

/// What is read of a query string.
pub struct Query {
    /// Whether changes are to follow.
    pub watch: bool,
    /// Which objects.
    pub selector: LabelSelector,
    after: Option<u64>,
    bookmarks: bool,
    timeout: Duration,
}

impl Query {
    /// Reads what the stand-in knows; the rest is ignored.
    ///
    /// # Errors
    /// A value can't be understood.
    pub fn parse(uri: &Uri) -> Result<Self, Refusal> {
        let mut query = Self {
            watch: false,
            selector: LabelSelector::default(),
            after: None,
            bookmarks: false,
            timeout: DEFAULT_WATCH_TIMEOUT,
        };
        let text = uri.query().unwrap_or_default();
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            match &*name {
                "watch" => query.watch = is_true(&value),
                "allowWatchBookmarks" => query.bookmarks = is_true(&value),
                "labelSelector" => query.selector = LabelSelector::parse(&value)?,
                "resourceVersion" if value.is_empty() || value == "0" => query.after = None,
                "resourceVersion" => query.after = Some(number(&name, &value)?),
                "timeoutSeconds" => query.timeout = Duration::from_secs(number(&name, &value)?),
                _ => {}
            }
        }
        Ok(query)
    }

    /// The watch that it asks for.
    pub fn watch_request(self, user_agent: String, scope: Scope) -> WatchRequest {
        WatchRequest {
            user_agent,
            scope,
            selector: self.selector,
            after: self.after,
            bookmarks: self.bookmarks,
            timeout: self.timeout.min(DEFAULT_WATCH_TIMEOUT),
        }
    }
}

fn is_true(value: &str) -> bool {
    matches!(value, "true" | "1")
}

fn number(name: &str, value: &str) -> Result<u64, Refusal> {
    value.parse().map_err(|_| Refusal::BadRequest {
        message: format!("{name}: {value:?} is not a whole number"),
    })
}
