//! The cloud's list of machines comes on pages, at a rate that requests for machines need too.

mod common;

use common::Site;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{Batch, CloudReply, CloudRequest, Command, Effect};
use shaleshunt_wire::cloud::{ListPage, ListedMachine, ListedMachineStatus};

/// Interval at which the controller looks at its clock, in ms.
const TICK_MS: u64 = 20;

/// A request for a page of the list.
#[derive(Debug, Clone)]
struct ListRequest {
    id: u64,
    /// When it was sent, in ms.
    sent_at: u64,
    /// The name to begin after.
    after: String,
}

/// A leader whose requests for lists are answered by the test.
struct Leader {
    site: Site,
    requests: Vec<ListRequest>,
    /// How many of them the test has looked at.
    seen: usize,
}

impl Leader {
    fn new() -> Leader {
        Leader { site: Site::new(85.0), requests: Vec::new(), seen: 0 }
    }

    fn tell(&mut self, command: Command) {
        let mut batch: Batch = vec![command];
        while !batch.is_empty() {
            for effect in self.site.step(std::mem::take(&mut batch)) {
                match effect {
                    Effect::Cloud(id, CloudRequest::List { after }) => {
                        self.requests.push(ListRequest { id, sent_at: self.site.now, after });
                    }
                    other => batch.extend(self.site.serve(other)),
                }
            }
        }
    }

    /// The next request for a list, as soon as there is one.
    fn next_request(&mut self) -> ListRequest {
        while self.requests.len() == self.seen {
            for answer in self.site.advance(TICK_MS) {
                self.tell(answer);
            }
            assert!(self.site.now < 120_000, "no list asked for: {:?}", self.requests);
            self.tell(Command::Tick);
        }
        self.seen += 1;
        self.requests[self.seen - 1].clone()
    }

    /// Answers the last request.
    fn answer(&mut self, answer: Result<CloudReply, RequestError>) {
        let id = self.requests.last().unwrap().id;
        self.tell(Command::Cloud(id, answer));
    }
}

fn page(first: u32, truncated: bool) -> Result<CloudReply, RequestError> {
    let listed = |number: u32| ListedMachine {
        id: format!("vm-{number:06}"),
        endpoint: format!("m{number}"),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        status: ListedMachineStatus::Running,
        age_s: 100.0,
    };
    let machines = (first..first + 500).map(listed).collect();
    Ok(CloudReply::MachineList(ListPage { machines, truncated }))
}

/// With eight pages at a few calls a second, one that was refused made the whole list begin anew, so a list was
/// hardly ever complete while machines were rented.
#[test]
fn a_list_goes_on_at_the_page_that_failed() {
    let mut leader = Leader::new();
    assert_eq!(leader.next_request().after, "");
    leader.answer(page(1, true));
    assert_eq!(leader.next_request().after, "vm-000500");
    leader.answer(Err(RequestError::Throttled));
    assert_eq!(leader.next_request().after, "vm-000500", "not from the beginning");
    leader.answer(page(501, true));
    assert_eq!(leader.next_request().after, "vm-001000");
    leader.answer(page(1001, false));
    assert_eq!(leader.next_request().after, "", "the next list");
}

/// The first list tells which machines are owned and comes as fast as it may; later ones leave room for requests for machines.
#[test]
fn a_long_list_leaves_room_for_scale_out() {
    let mut leader = Leader::new();
    let mut took = Vec::new();
    for _ in 0..2 {
        let first = leader.next_request();
        assert_eq!(first.after, "");
        for number in 0..7 {
            leader.answer(page(number * 500 + 1, true));
            leader.next_request();
        }
        took.push(leader.site.now - first.sent_at);
        leader.answer(page(3501, false));
    }
    assert!(took[0] < 500, "{took:?}");
    // Six calls a second, a quarter of them for lists, the first three pages at once.
    assert!(took[1] >= 3 * 1000 / 2, "{took:?}");
}
