//! The state service: versioned keys, conditional transactions and reads of
//! what changed.

use std::collections::BTreeMap;

use ciborium::Value;
use shedhook::protocol::{
    ids::Revision,
    store::{Change, Changes, Op, Page, Pair, Txn},
};

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, Revision)>,
    pub store_revision: Revision,
    log: Vec<Change>,
}

impl Store {
    /// Raises the revision of the store and returns it.
    pub fn advance(&mut self) -> Revision {
        self.store_revision = self.store_revision.next();
        self.store_revision
    }

    pub fn apply(&mut self, txn: &Txn) -> Result<Revision, Vec<String>> {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(Revision::ABSENT, |k| k.1) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        let revision = self.advance();
        for w in &txn.writes {
            match w {
                Op::Put { key, v, .. } => {
                    self.keys.insert(key.clone(), (v.clone(), revision));
                    self.log.push(Change { write: Some(key.clone()), drop: None, v: Some(v.clone()), revision });
                }
                Op::Delete { key } => {
                    self.keys.remove(key);
                    self.log.push(Change { write: None, drop: Some(key.clone()), v: None, revision });
                }
            }
        }
        Ok(revision)
    }

    pub(super) fn page(&self, prefix: &str) -> Page {
        let pairs = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, revision))| Pair { key: k.clone(), v: v.clone(), revision: *revision, permit: None })
            .collect();
        Page { pairs, truncated: false, store_revision: self.store_revision }
    }

    pub(super) fn changes(&self, prefix: &str, from: Revision) -> Changes {
        let events = self
            .log
            .iter()
            .filter(|c| c.revision > from && c.write.as_deref().is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect();
        Changes { store_revision: self.store_revision, events }
    }
}
