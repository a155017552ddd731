//! What a VM knows.

use foxtailknot::decide::news_sources::Sources;

use crate::{store_reader::StoreReader, subscriber::Subscriber};

/// Number of sources that a VM subscribes to.
const SUBSCRIPTIONS: usize = 2;

pub struct Vm {
    pub is_follower: bool,
    /// Number of changes that its copy holds.
    pub known: u64,
    /// Time at which the store last confirmed its copy.
    pub confirmed_ms: u64,
    pub choice: Sources,
    pub reader: StoreReader,
    pub subscribers: Vec<Subscriber>,
}

impl Vm {
    pub fn new(is_follower: bool, ranking: Vec<foxtailknot::prelude::Name>) -> Vm {
        let mut choice = Sources::new(SUBSCRIPTIONS);
        choice.set_ranking(ranking);
        Vm {
            is_follower,
            known: 0,
            confirmed_ms: 0,
            choice,
            reader: StoreReader::default(),
            subscribers: (0..SUBSCRIPTIONS).map(|_| Subscriber::default()).collect(),
        }
    }

    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Takes what the store or another VM tells.
    pub fn hear(&mut self, known: u64, confirmed_ms: u64) {
        self.known = self.known.max(known);
        self.confirmed_ms = self.confirmed_ms.max(confirmed_ms);
    }
}
