//! What identifies this process among the controllers.

use crate::protocol::settings::Settings;

/// One start of one controller.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The controller's label in the settings.
    pub label: String,
    /// The zone in which it runs.
    pub zone: String,
    /// A random number of this start of the process.
    pub nonce: u64,
}

impl Identity {
    /// The identity of a process that starts now.
    pub fn new(settings: &Settings) -> Identity {
        Identity {
            label: settings.label.clone(),
            zone: settings.zone.clone(),
            // 63 bits, as the key-value store's numbers are signed.
            nonce: rand::random::<u64>() >> 1,
        }
    }
}
