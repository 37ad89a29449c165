//! Callers and their requests.

use std::time::Duration;

use standin::token::Marker;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Request;
use wire::RequestId;

use super::Action;
use super::Caller;
use super::Simulation;

impl Simulation {
    pub(super) fn add_request(&mut self) {
        if !self.load_and_faults_active {
            return;
        }
        let number = self.callers.len() as u64 + 1;
        let route = self.random_route();
        let is_plain = matches!(route, "status" | "mark");
        let usual_tokens = self.parameters.usual_output_tokens;
        let max_tokens = if self.rng.f64() < 0.1 {
            usual_tokens * 8
        } else {
            usual_tokens
        };
        let marker = Marker {
            request: number,
            length: if is_plain {
                1
            } else {
                self.rng.u32(1..max_tokens)
            },
            sampled: self.rng.f64() < 0.3,
            poison: self.parameters.inject_faults && !is_plain && self.rng.f64() < 0.004,
        };
        let caller = Caller {
            marker,
            route,
            at_most_once: route == "mark",
            node: (0, 0),
            sends: 0,
            outcomes: Vec::new(),
            answered: false,
            disconnected: false,
            only_refusals: true,
        };
        self.callers.insert(number, caller);
        self.send_request(number);
        if self.parameters.inject_faults && self.rng.f64() < 0.05 {
            // Sends the same key through two instances, drawn at random, at the same time.
            self.send_request(number);
        }
        if self.parameters.inject_faults && self.rng.f64() < 0.03 {
            self.schedule_disconnect(number);
        }
        let delay = self
            .parameters
            .mean_interval
            .mul_f64(0.2 + 1.6 * self.rng.f64());
        self.schedule(delay, Action::AddRequest);
    }

    /// Schedules the disconnect of a caller after a random delay, whatever the state of the request
    /// then.
    fn schedule_disconnect(&mut self, number: u64) {
        let caller = self.callers.get_mut(&number).expect("the caller exists");
        caller.disconnected = true;
        let (node, incarnation) = caller.node;
        let id = number | u64::from(caller.sends) << 32;
        let delay = Duration::from_millis(self.rng.u64(0..900));
        let input = Box::new(Input::CallerGone(id));
        self.schedule(
            delay,
            Action::Handle {
                node,
                incarnation,
                input,
            },
        );
    }

    pub(super) fn random_route(&mut self) -> &'static str {
        if let Some(keyed_share) = self.parameters.keyed_share {
            return if self.rng.f64() < keyed_share {
                "mark"
            } else {
                "letter"
            };
        }
        let routes = ["letter", "bulletin", "status", "mark", "mark"];
        routes[self.rng.usize(0..routes.len())]
    }

    pub(super) fn send_request(&mut self, number: u64) {
        let organisation = number as usize % self.parameters.organisations;
        let index = self.rng.usize(0..self.nodes.len());
        let incarnation = self.nodes[index].incarnation;
        let caller = self.callers.get_mut(&number).expect("the caller exists");
        caller.sends += 1;
        caller.node = (index, incarnation);
        let id = number | u64::from(caller.sends) << 32;
        let key = caller
            .at_most_once
            .then(|| idempotency::hash_key("org", "mark", &number.to_string()));
        let request = Request {
            id,
            organisation: format!("org{organisation}").as_str().into(),
            route: caller.route.into(),
            key,
            fingerprint: number,
            group: number,
            prompt_tokens: 20,
            prefixes: Vec::new(),
            parts: Vec::new(),
            max_tokens: None,
            expected_tokens: None,
            timeout: None,
            stream: None,
            handed_over: false,
        };
        self.schedule_input(index, Input::Request(request));
    }

    pub(super) fn finish_request(&mut self, index: usize, request: RequestId, outcome: &Outcome) {
        let number = request & 0xffff_ffff;
        self.nodes[index].streams.remove(&request);
        let caller = self.callers.get_mut(&number).expect("the caller exists");
        match outcome {
            Outcome::Recorded(_) => caller.answered = true,
            Outcome::Failed(_) => caller.only_refusals = false,
            Outcome::Refused(_) => {}
        }
        caller.outcomes.push(format!("{outcome:?}"));
        let resend =
            !caller.disconnected && !caller.answered && caller.sends < 4 && !caller.marker.poison;
        self.record(format!("request {number:x} ends: {outcome:?}"));
        if let Outcome::Refused(refusal) = outcome {
            crate::checks::check_refusal(self, number, request, refusal);
        }
        if resend {
            self.send_request(number);
        }
    }
}
