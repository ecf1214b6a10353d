//! What a sidecar keeps across restarts, over the embedded store: which submissions were sent and answered
//! ([`Ledger`]), what was measured of servers ([`Warm`]), and what operators have drained ([`Drain`]).
//!
//! Nothing here does I/O: what is to be written comes out as a [`madderloom_store::Batch`], with the durability it
//! asks for, and what is to be known goes in as a snapshot or a reader of a store. All users of one store share one
//! clock for its expiries: [`Ledger::time`].

mod drains;
mod submissions;
mod warm;

pub use drains::{Drain, MAX_DRAINS};
pub use submissions::{Begin, Id, Ledger, LongId, MAX_ID, MAX_SERVICE, Mode, Next, Rules, Was};
pub use warm::{
    Aging, ClassMemory, ListedMemory, MAX_CLASSES, MAX_NAME, MAX_SERVERS, Recalled, Recollection,
    ServerMemory, Warm, WarmWriter, blend, recollect,
};
