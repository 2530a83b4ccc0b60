//! Every check against good and bad histories.

mod broken;
mod facts;
mod kept;
