//! Callers and what they ask for.

use std::time::Duration;

use standin::token::Marker;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Request;
use wire::RequestId;

use super::Action;
use super::Caller;
use super::World;

impl World {
    pub(super) fn add_load(&mut self) {
        if !self.troubled {
            return;
        }
        let number = self.callers.len() as u64 + 1;
        let route = self.draw_route();
        let plain = matches!(route, "status" | "mark");
        let usual = self.plan.length;
        let tail = if self.rng.f64() < 0.1 {
            usual * 8
        } else {
            usual
        };
        let marker = Marker {
            request: number,
            length: if plain { 1 } else { self.rng.u32(1..tail) },
            sampled: self.rng.f64() < 0.3,
            poison: self.plan.trouble && !plain && self.rng.f64() < 0.004,
        };
        let caller = Caller {
            marker,
            route,
            once: route == "mark",
            node: (0, 0),
            sends: 0,
            told: Vec::new(),
            answered: false,
            gone: false,
            only_refusals: true,
        };
        self.callers.insert(number, caller);
        self.send_request(number);
        if self.plan.trouble && self.rng.f64() < 0.05 {
            // The same key through two instances at once.
            self.send_request(number);
        }
        if self.plan.trouble && self.rng.f64() < 0.03 {
            self.go_away(number);
        }
        let wait = self.plan.pause.mul_f64(0.2 + 1.6 * self.rng.f64());
        self.schedule(wait, Action::Load);
    }

    /// Lets a caller go away after a while, whatever its request is doing then.
    fn go_away(&mut self, number: u64) {
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        caller.gone = true;
        let (node, life) = caller.node;
        let id = number | u64::from(caller.sends) << 32;
        let delay = Duration::from_millis(self.rng.u64(0..900));
        let input = Box::new(Input::CallerGone(id));
        self.schedule(delay, Action::Handle { node, life, input });
    }

    pub(super) fn draw_route(&mut self) -> &'static str {
        if let Some(marks) = self.plan.marks {
            return if self.rng.f64() < marks {
                "mark"
            } else {
                "letter"
            };
        }
        let routes = ["letter", "bulletin", "status", "mark", "mark"];
        routes[self.rng.usize(0..routes.len())]
    }

    pub(super) fn send_request(&mut self, number: u64) {
        let organisation = number as usize % self.plan.organisations;
        let index = self.rng.usize(0..self.nodes.len());
        let life = self.nodes[index].life;
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        caller.sends += 1;
        caller.node = (index, life);
        let id = number | u64::from(caller.sends) << 32;
        let key = caller
            .once
            .then(|| idempotency::hash_key("org", "mark", &number.to_string()));
        let request = Request {
            id,
            organisation: format!("org{organisation}").as_str().into(),
            route: caller.route.into(),
            key,
            fingerprint: number,
            prompt: 20,
            prefixes: Vec::new(),
            limit: None,
            expected: None,
            patience: None,
        };
        self.input(index, Input::Request(request));
    }

    pub(super) fn finish(&mut self, index: usize, request: RequestId, outcome: &Outcome) {
        let number = request & 0xffff_ffff;
        self.nodes[index].streams.remove(&request);
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        match outcome {
            Outcome::Recorded(_) => caller.answered = true,
            Outcome::Failed(_) => caller.only_refusals = false,
            Outcome::Refused(_) => {}
        }
        caller.told.push(format!("{outcome:?}"));
        let again = !caller.gone && !caller.answered && caller.sends < 4 && !caller.marker.poison;
        self.record(format!("request {number:x} is told {outcome:?}"));
        if let Outcome::Refused(refusal) = outcome {
            crate::verdict::check_refusal(self, number, request, refusal);
        }
        if again {
            self.send_request(number);
        }
    }
}
