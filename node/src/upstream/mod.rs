//! Those whom this dispatcher goes to: runners, and discovery for the list of them.

pub mod membership;
pub mod roster;
pub mod runners;
