//! How many connections each caller has open.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Connections by caller.
///
/// Load made for: one caller that opens connection after connection. Harm prevented: it takes the
/// descriptors and memory that all others need. Reason for the limit: a setting, as a caller's
/// address may stand for many behind one router.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    most: u32,
    open: Arc<Mutex<HashMap<IpAddr, u32>>>,
}

impl Callers {
    /// At most `most` connections of one address.
    pub(crate) fn new(most: u32) -> Self {
        Self {
            most,
            open: Arc::default(),
        }
    }

    /// Counts one more connection, unless there are too many.
    pub(crate) fn enter(&self, caller: IpAddr) -> Option<Counted> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let count = open.entry(caller).or_default();
        if *count >= self.most {
            return None;
        }
        *count += 1;
        Some(Counted {
            callers: self.clone(),
            caller,
        })
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct Counted {
    callers: Callers,
    caller: IpAddr,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let open = &self.callers.open;
        let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = open.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.caller);
            }
        }
    }
}
