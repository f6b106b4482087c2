//! The identity of this process among the controllers.

use crate::protocol::settings::Settings;

/// Identifies one start of one controller.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Label of the controller in the settings, by which its peers and the keys of the
    /// key-value store identify it.
    pub label: String,
    /// Name of the zone in which the controller runs.
    pub zone: String,
    /// Random number that identifies one start of the process.
    pub nonce: u64,
}

impl Identity {
    /// Creates the identity of a process that starts now, with a new nonce.
    pub fn new(settings: &Settings) -> Identity {
        Identity {
            label: settings.label.clone(),
            zone: settings.zone.clone(),
            // 63 bits, because numbers in the key-value store are signed.
            nonce: rand::random::<u64>() >> 1,
        }
    }
}
