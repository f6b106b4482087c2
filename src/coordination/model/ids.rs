//! Identifiers of a leader's term and of its calls.

use std::fmt;

use crate::protocol::ids::{FencingToken, Revision};

/// Number of low bits of a fencing token. They count how often the token was raised
/// within one term.
const TOKEN_COUNT_BITS: u32 = 16;
/// Number of low bits of an attempt number or of a transaction's tag. They hold the
/// sequence number within one term.
const SEQUENCE_BITS: u32 = 20;

/// Term of a leader, identified by the revision at which its leader key was written:
/// a later leader's term is always higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Term(pub Revision);

impl Term {
    /// Returns the first fencing token of the term. A token consists of the term and a
    /// count, so that the tokens of a later leader are always higher and the token of
    /// one worker can be raised separately.
    pub fn first_token(self) -> FencingToken {
        FencingToken(self.0 .0 << TOKEN_COUNT_BITS)
    }

    /// Returns how often a token of this term was raised.
    pub fn raise_count(self, token: FencingToken) -> u64 {
        token.0 - self.first_token().0
    }

    /// Returns the lower bound of the term's sequence numbers: attempt numbers and
    /// transaction tags above it belong to this term or to a later one.
    pub fn first_sequence_number(self) -> u64 {
        self.0 .0 << SEQUENCE_BITS
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Number of an outgoing call of a leader, unique within its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CallId(pub u64);

impl CallId {
    /// Returns the number of the next call.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}
