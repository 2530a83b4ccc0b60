//! Agents whose reports the leader handles at once.

use decision::clock::Ms;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;

/// Passes a tick to the leader. If it asks agents for echoes, they answer, and another tick follows.
pub fn tick(leader: &mut Leader, now: Ms) -> Vec<Action> {
    let mut actions = leader.handle(now, Event::Tick(now));
    let echoes: Vec<Event> = actions.iter().filter_map(|it| echo(it, now)).collect();
    if !echoes.is_empty() {
        for echo in echoes {
            actions.extend(leader.handle(now, echo));
        }
        actions.extend(leader.handle(now, Event::Tick(now)));
    }
    actions
}

/// Returns the answer of an agent to an order that asks it for an echo.
fn echo(action: &Action, now: Ms) -> Option<Event> {
    let Action::Send(agent, Order::Stop(placement)) = action else {
        return None;
    };
    placement.echo_sent_at()?;
    let report = Report::Stopped(placement.clone(), Outcome::Unsent, now);
    Some(Event::Received(agent.clone(), report))
}
