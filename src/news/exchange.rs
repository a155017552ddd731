//! What a request for news and its answer carry.

use super::{
    hub::Hub,
    message::{NewsAnswer, NewsRequest, TableNews},
};
use crate::{
    clock,
    decide::{
        floor_news::{LastAnswer, OffsetFloor, floor_since},
        news_sources::{NEWS_WAIT_MS, confirmed_ms},
    },
    metrics::label,
    prelude::*,
};

/// Longest wait for changes that another VM may ask for, in milliseconds.
const WAIT_MAX_MS: u64 = 5_000;

impl Hub {
    /// Whether this VM has news for a request.
    pub(super) fn has_news(&self, request: &NewsRequest) -> bool {
        let tables = self.tables.borrow();
        tables
            .iter()
            .any(|(name, followed)| followed.copy.has_changes_after(request.revision(name)))
    }

    /// Waits until there is news for a request, or its wait is over; `None` once
    /// this VM gives no more news.
    pub(super) async fn answer(&self, request: &NewsRequest) -> Option<NewsAnswer> {
        let arrived_ms = clock::boot_ms();
        self.hear_floors(
            &request.from,
            &request.floors.floors,
            request.floors.echo_ms,
        );
        let limit = Duration::from_millis(request.wait_ms.min(WAIT_MAX_MS));
        let mut changed = self.changed.subscribe();
        let has_news = async {
            while !self.has_news(request) && !self.is_resigned.get() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // After the wait, the answer tells the age of what the other VM has.
        let _ = compio::time::timeout(limit, has_news).await;
        if self.is_resigned.get() {
            return None;
        }
        let now_ms = clock::boot_ms();
        let mut tables = self.tables.borrow_mut();
        let known = tables.iter_mut().filter_map(|(name, followed)| {
            let age_ms = now_ms.saturating_sub(followed.confirmed_ms?);
            let mut page = followed.copy.page_after(request.revision(name));
            let packed_rows = match request.takes_packed {
                true => followed.packed.take_rows(&mut page),
                false => None,
            };
            let news = TableNews {
                page,
                packed_rows,
                age_ms,
            };
            Some((name.clone(), news))
        });
        Some(NewsAnswer {
            tables: known.collect(),
            written_ms: now_ms,
            held_ms: now_ms.saturating_sub(arrived_ms),
            floors: match request.wants_floors {
                true => self.floors.borrow().for_answer(arrived_ms, now_ms),
                false => BTreeMap::new(),
            },
        })
    }

    /// Takes the floors of a message that answers one which this VM sent at `sent_ms`.
    fn hear_floors(&self, from: &Name, floors: &BTreeMap<Name, OffsetFloor>, sent_ms: u64) {
        let now_ms = clock::boot_ms();
        for (service, floor) in floors {
            let Some(since_ms) = floor_since(sent_ms, floor, now_ms) else {
                log::warn!(
                    target: "news", source = &**from, service = &**service;
                    "floor of an impossible time refused"
                );
                continue;
            };
            let mut known = self.floors.borrow_mut();
            let is_newer = known.raise(service, since_ms, floor.position);
            drop(known);
            if is_newer {
                (self.on_floor)(service, since_ms, floor.position);
            }
        }
    }

    /// The next request of a subscription, after its last answer. One subscription
    /// gets floors; both followers of a zone hear of all that the zone's VMs raise.
    pub(super) fn request(&self, subscription: usize, last: Option<LastAnswer>) -> NewsRequest {
        let tables = self.tables.borrow();
        let revisions = tables.iter();
        let revisions = revisions.map(|(name, f)| (name, f.copy.revision()));
        NewsRequest {
            from: self.vm.clone(),
            after: revisions
                .clone()
                .map(|(name, r)| (name.clone(), r.version))
                .collect(),
            eras: revisions.map(|(name, r)| (name.clone(), r.era)).collect(),
            floors: last.map_or_else(Default::default, |last| self.floors.borrow().echoed(last)),
            wants_floors: subscription == 0,
            takes_packed: true,
            wait_ms: NEWS_WAIT_MS,
        }
    }

    /// Applies the answer of a source to a subscription's request of `asked_ms`; returns
    /// whether the source is good.
    pub(super) fn apply_answer(
        &self,
        subscription: usize,
        source: &Name,
        answer: NewsAnswer,
        asked_ms: u64,
    ) -> bool {
        self.hear_floors(source, &answer.floors, asked_ms);
        let mut is_good = true;
        // A source without any copy knows nothing yet.
        let mut oldest_ms = if answer.tables.is_empty() {
            u64::MAX
        } else {
            0
        };
        for (name, news) in answer.tables {
            let own_age_ms = self.age_ms(&name);
            let confirmed_ms = confirmed_ms(asked_ms, answer.held_ms, news.age_ms);
            let age_ms = news.age_ms;
            is_good &= match news.into_page() {
                Ok(page) => self.apply(&name, page, confirmed_ms, source),
                Err(error) => {
                    log::warn!(
                        target: "news", table = &*name, source = &**source,
                        reason = error.to_string(); "news refused"
                    );
                    false
                }
            };
            let own_age_ms = own_age_ms.unwrap_or(u64::MAX / 2);
            let mut choice = self.choice.borrow_mut();
            is_good &= choice.record_answer(source, age_ms, own_age_ms);
            oldest_ms = oldest_ms.max(age_ms);
        }
        let mut choice = self.choice.borrow_mut();
        choice.pass_over_if_old(subscription, source, oldest_ms, clock::boot_ms());
        self.metrics
            .news_answers
            .add(1, &[label("outcome", "done")]);
        is_good
    }
}
