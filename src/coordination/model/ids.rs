//! Numbers of a leadership and of its calls.

use std::fmt;

use crate::protocol::ids::{FencingToken, Revision};

/// Bits of a fencing token that count how often it was raised within one term.
const TOKEN_COUNT_BITS: u32 = 16;
/// Bits of an attempt number or a transaction's tag that count those of one term.
const SEQUENCE_BITS: u32 = 20;

/// One leadership, identified by the revision at which its key was written: a
/// later leader's term is always higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Term(pub Revision);

impl Term {
    /// The first fencing token of the term. A token is the term and a count, so that
    /// a later leader's are always higher and one worker's can be raised alone.
    pub fn first_token(self) -> FencingToken {
        FencingToken(self.0 .0 << TOKEN_COUNT_BITS)
    }

    /// How often a token of this term was raised.
    pub fn raise_count(self, token: FencingToken) -> u64 {
        token.0 - self.first_token().0
    }

    /// Numbers above this one, of attempts or of transactions, belong to this
    /// term or to a later one.
    pub fn first_sequence_number(self) -> u64 {
        self.0 .0 << SEQUENCE_BITS
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Number of a call that a leader makes, unique within its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CallId(pub u64);

impl CallId {
    /// The next call.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}
