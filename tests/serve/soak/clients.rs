//! Clients that submit jobs, ask for their states and cancel some.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::pool::Limits;
use link::pool::Pool;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::id::Job;
use serde_json::Value;

use super::judge::Known;
use super::spec::Spec;
use super::world::World;
use super::world::wait;

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The most attempts to submit a job.
const MAX_ATTEMPTS: u32 = 60;
/// The most pause between two actions of a client, in ms.
const MAX_PAUSE_MS: u64 = 700;

pub struct Client<'a> {
    world: &'a World,
    random: StdRng,
    pool: Pool,
    /// The id of the next job.
    next: u64,
}

impl<'a> Client<'a> {
    /// Creates the client of this number.
    pub fn new(world: &'a World, seed: u64, number: u64) -> Self {
        Self {
            world,
            random: StdRng::seed_from_u64(seed << 8 | number),
            pool: Pool::new(Limits::default()),
            next: (seed & 0xffff) << 48 | (number + 1) << 32,
        }
    }

    /// Sends a request to a random entry and returns the status and body; status 0 means no answer.
    fn send(&mut self, method: &str, job: Job, body: String) -> (u16, String) {
        let entry = self.random.random_range(0..self.world.entries());
        let request = Request::builder()
            .method(method)
            .uri(format!("/q/{job}"))
            .header("host", "a.example")
            .body(Full::new(Bytes::from(body)))
            .expect("the request is valid");
        let to = self.world.customer(entry);
        let response = smol::block_on(self.pool.send(to, request, ANSWER_TIMEOUT));
        response.map_or((0, String::new()), |response| {
            let body = String::from_utf8_lossy(response.body()).into_owned();
            (response.status().as_u16(), body)
        })
    }

    /// Submits a new job until it is accepted, or gives it up after two refusals.
    fn submit(&mut self) {
        let job = Job(self.next);
        self.next += 1;
        let spec = Spec::draw(&mut self.random);
        let body = spec.to_json();
        let mut hosts = self.world.site.settled().0;
        hosts.judge.jobs.insert(job, Known::new(spec));
        drop(hosts);
        let mut refusals = 0;
        for attempt in 1..=MAX_ATTEMPTS {
            let (status, _) = self.send("POST", job, body.clone());
            let (mut hosts, now) = self.world.site.settled();
            match status {
                200..300 => {
                    if let Some(known) = hosts.judge.jobs.get_mut(&job) {
                        known.accepted = Some(now);
                    }
                    return;
                }
                429 | 503 => refusals += 1,
                _ => {}
            }
            if attempt == 2 && refusals == 2 {
                hosts.judge.refused(now, job);
                return;
            }
            drop(hosts);
            wait(300);
        }
    }

    /// Returns a random accepted job that is not shown as completed yet.
    fn pick(&mut self) -> Option<Job> {
        let (hosts, _) = self.world.site.settled();
        let jobs = hosts.judge.jobs.iter();
        let open: Vec<Job> = jobs
            .filter(|(_, known)| known.accepted.is_some() && known.completed.is_none())
            .map(|(job, _)| *job)
            .collect();
        (!open.is_empty()).then(|| open[self.random.random_range(0..open.len())])
    }

    /// Asks for the state of a job, and lets the judge see the answer.
    pub fn ask(&mut self, job: Job) {
        let asked = self.world.site.now();
        let (status, body) = self.send("GET", job, String::new());
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let (mut hosts, now) = self.world.site.settled();
        match status {
            200 => hosts.judge.shown(now, asked, job, value["state"].as_str()),
            410 => hosts.judge.shown(now, asked, job, None),
            _ => {}
        }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: Job) {
        let world = self.world;
        if let Some(known) = world.site.settled().0.judge.jobs.get_mut(&job) {
            known.cancel_sent = true;
        }
        let (status, _) = self.send("DELETE", job, String::new());
        let (mut hosts, now) = world.site.settled();
        if let Some(known) = hosts.judge.jobs.get_mut(&job).filter(|_| status == 200) {
            known.cancelled.get_or_insert(now);
        }
    }

    /// Acts at random until the end of the traffic.
    pub fn run(&mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            match self.random.random_range(0..24) {
                0..8 => self.submit(),
                8 => {
                    if let Some(job) = self.pick() {
                        self.cancel(job);
                    }
                }
                _ => {
                    if let Some(job) = self.pick() {
                        self.ask(job);
                    }
                }
            }
            let pause = self.random.random_range(0..MAX_PAUSE_MS);
            wait(pause);
        }
    }
}
