//! Which publication is in force: never an older one than before.

use std::sync::Arc;

use crate::core::event::CoreEvent;
use crate::core::state::CoreState;

/// Takes in a checked publication if it is newer.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    let CoreEvent::Published { catalog, text } = event else {
        return;
    };
    // A lagging reader of the platform may hand out an old revision after a newer one; seen as
    // shares that jump back. Revisions only grow, so refusing a lower one is always right.
    if catalog.revision <= state.catalog.revision {
        return;
    }
    state.catalog = Arc::clone(catalog);
    state.publication_text = text.clone();
    for pool in state.catalog.pools.keys() {
        state.entries.entry(*pool).or_default();
        state.woken.insert(*pool);
    }
}
