//! A private stand-in until the board is merged: it places nothing.

use decision::clock::Ms;
use decision::name::Name;
use decision::operator::Progress;
use decision::piece::Piece;
use decision::place::Event;
use decision::place::Order;
use decision::place::Read;
use decision::place::Summary;
use decision::resource::Size;
use decision::step::Step;

#[derive(Debug)]
pub(super) struct Board;

impl Board {
    pub(super) const fn new(_seed: u64) -> Self {
        Self
    }
}

impl Step for Board {
    type Event = Event;
    type Action = Order;

    fn step(&mut self, _now: Ms, _event: Event) -> Vec<Order> {
        Vec::new()
    }
}

impl Read for Board {
    fn piece(&self, _name: &Name) -> Option<Piece> {
        None
    }

    fn progress(&self, _job: Option<&Name>) -> Vec<Progress> {
        Vec::new()
    }

    fn workers(&self) -> Vec<Summary> {
        Vec::new()
    }

    fn held(&self) -> Vec<(Name, Size)> {
        Vec::new()
    }
}
