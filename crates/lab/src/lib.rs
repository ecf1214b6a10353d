//! The lab: what a balancing policy makes of a day, in virtual time and on real sockets.
//!
//! An [`experiment`] describes a world, a load, faults, the arms that are compared and what is expected of them.
//! A driver plays one arm with one seed and gives a [`record`] of the run; [`results`] keeps them.

pub mod check;
pub mod cli;
pub mod compare;
pub mod count;
pub mod expect;
pub mod experiment;
pub mod figures;
pub mod hop;
pub mod judge;
pub mod leveled;
pub mod model;
pub mod play;
pub mod policy;
pub mod record;
pub mod recorder;
pub mod report;
pub mod results;
pub mod rivals;
pub mod scale;
pub mod schedule;
pub mod seeds;
pub mod shipped;
pub mod sockets;
pub mod standin;
pub mod starts;
pub mod stats;
pub mod up;
pub mod virtual_time;
pub mod world;
