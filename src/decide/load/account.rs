//! Client accounts: whose statements run under which name, and how many.

use crate::prelude::*;

/// Part of a limit that a deputy grants while the first counter is absent.
const DEPUTY_SHARE: f64 = 0.5;

/// The same where less than half of the VMs ask it, and operations in a window that it
/// grants in any case. Customers tolerate a tenth and 20 operations.
const MINORITY_SHARE: f64 = 0.025;
const MINORITY_OPERATIONS: f64 = 10.0;

/// Key by which a caller proves to belong to an account. It is never logged.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::From)]
pub struct AccountKey(Name);

impl std::fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AccountKey(..)")
    }
}

/// Limit on the operations of an account, over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Version of the configuration that sets it.
    pub version: u64,
    /// Operations per second.
    pub rate_per_s: f64,
    /// Operations that may run in a window beyond those of the rate.
    pub burst: f64,
}

impl RateLimit {
    /// The part of the limit that a deputy grants: the first counter may still reach some
    /// VMs, and accounts usually need about this much. Where less than half of the VMs ask
    /// the deputy, they may be the smaller side of a partition, and stay within the
    /// tolerance.
    pub fn for_deputy(self, asking: usize, vms: usize) -> RateLimit {
        let (share, operations) = match asking * 2 >= vms {
            true => (DEPUTY_SHARE, 0.0),
            false => (MINORITY_SHARE, MINORITY_OPERATIONS),
        };
        RateLimit {
            rate_per_s: self.rate_per_s * share,
            burst: self.burst * share + operations,
            ..self
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, under which members see its connections.
    pub name: Name,
    /// Limit on its operations; `None` for an account without one.
    pub limit: Option<RateLimit>,
}

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: BTreeMap<AccountKey, Arc<Account>>,
}

impl Accounts {
    /// Creates the set of accounts, given the keys of each. Returns also the accounts
    /// of which a key belongs to another one as well: such a key is refused, since it
    /// does not tell whose statements run.
    pub fn new(accounts: Vec<(Account, Vec<AccountKey>)>) -> (Accounts, BTreeSet<Name>) {
        let mut by_key = BTreeMap::new();
        let mut shared_keys = BTreeSet::new();
        let mut ambiguous = BTreeSet::new();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            for key in keys {
                let other: Option<Arc<Account>> = by_key.insert(key.clone(), account.clone());
                if let Some(other) = other.filter(|other| other.name != account.name) {
                    ambiguous.extend([other.name.clone(), account.name.clone()]);
                    shared_keys.insert(key);
                }
            }
        }
        by_key.retain(|key, _| !shared_keys.contains(key));
        (Accounts { by_key }, ambiguous)
    }

    /// The account that holds a key.
    pub fn find(&self, key: &AccountKey) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}
