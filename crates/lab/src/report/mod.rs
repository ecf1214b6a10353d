//! One HTML page of a folder of results: tables, plots, and the stories of broken rules. It holds all that it needs.

mod page;
mod plot;
mod series;
mod slopes;

pub use page::page;
pub use slopes::slopes;
