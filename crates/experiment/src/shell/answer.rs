//! The ends of an entry's operations: their answers, and timeouts without one.

use decision::control;
use decision::object;
use decision::peer::Message;
use decision::request;
use decision::request::Attempt;
use decision::request::Ending;
use decision::request::Outcome;
use decision::table;
use decision::worker;
use decision::worker::Verb;

use crate::case::Mistake;
use crate::simulation::Answer;
use crate::simulation::Purpose;
use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(crate) fn receive_answer(&mut self, index: usize, key: u64, answer: Answer) {
        let Some(purpose) = self.remove_pending(index, key) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Table(id), Answer::Table(outcome)) => {
                self.step_control(index, control::Event::Table(id, outcome));
            }
            (Purpose::Object(id), Answer::Object(outcome)) => {
                self.step_control(index, control::Event::Object(id, outcome));
            }
            (Purpose::Command(id, _), Answer::Worker(outcome)) => {
                self.step_control(index, control::Event::Worker(id, outcome));
            }
            (Purpose::Attempt(attempt), Answer::Ended(ending)) => {
                self.finish_attempt(index, attempt, ending);
            }
            (Purpose::Message(_), Answer::Peer(envelope)) => {
                let entry = &mut self.entries[index];
                entry.lamport = entry.lamport.max(envelope.lamport) + 1;
                self.step_control(index, control::Event::Peer(envelope));
            }
            (Purpose::Forward(attempt), Answer::Peer(envelope)) => {
                self.finish_attempt(index, attempt, forwarded_ending(envelope.message));
            }
            (Purpose::Book, _) => self.release_groups(index),
            (Purpose::Attempt(attempt) | Purpose::Forward(attempt), _) => {
                self.finish_attempt(index, attempt, Ending::NotRun);
            }
            (Purpose::Command(id, _), _) => {
                let event = control::Event::Worker(id, worker::Outcome::Unsent);
                self.step_control(index, event);
            }
            (Purpose::Message(id), _) => self.step_control(index, control::Event::Unanswered(id)),
            (Purpose::Table(_) | Purpose::Object(_), _) => {}
        }
    }

    pub(crate) fn expire_operation(&mut self, index: usize, key: u64) {
        let Some(purpose) = self.remove_pending(index, key) else {
            return;
        };
        let event = match purpose {
            Purpose::Attempt(attempt) => {
                self.cancel_run(self.entries[index].correlation(index, key));
                return self.finish_attempt(index, attempt, Ending::Unknown);
            }
            Purpose::Forward(attempt) => {
                return self.finish_attempt(index, attempt, Ending::Unknown);
            }
            Purpose::Book => return self.release_groups(index),
            Purpose::Table(id) => control::Event::Table(id, table::Outcome::Unknown),
            Purpose::Object(id) => control::Event::Object(id, object::Outcome::Unknown),
            Purpose::Command(id, command) => {
                control::Event::Worker(id, self.unanswered_outcome(&command))
            }
            Purpose::Message(id) => control::Event::Unanswered(id),
        };
        self.step_control(index, event);
    }

    fn remove_pending(&mut self, index: usize, key: u64) -> Option<Purpose> {
        let entry = &mut self.entries[index];
        let purpose = entry.pending.remove(&key)?;
        if let Purpose::Attempt(attempt) | Purpose::Forward(attempt) = &purpose {
            entry.attempts.remove(attempt);
        }
        Some(purpose)
    }

    fn unanswered_outcome(&self, command: &worker::Command) -> worker::Outcome {
        let mistaken = self.setup.mistake == Some(Mistake::FreeAmbiguous);
        match &command.verb {
            Verb::Stop { .. } if mistaken => {
                worker::Outcome::Answered(worker::Reply::Refused(worker::Refusal::Missing))
            }
            _ => worker::Outcome::Unknown,
        }
    }

    fn finish_attempt(&mut self, index: usize, attempt: Attempt, ending: Ending) {
        let mistaken = self.setup.mistake == Some(Mistake::Repeat);
        let ending = match ending {
            Ending::Unknown if mistaken => Ending::NotRun,
            ending => ending,
        };
        self.step_requests(index, request::Event::Finished(attempt, ending));
    }
}

fn forwarded_ending(message: Message) -> Ending {
    match message {
        Message::Outcome(Outcome::Answered(answer)) => Ending::Answered(answer),
        Message::Outcome(Outcome::Refused(refusal)) => Ending::Refused(refusal),
        _ => Ending::Unknown,
    }
}
