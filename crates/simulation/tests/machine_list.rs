//! Tests how the leader reads the cloud's paginated machine list. The requests for pages share a rate limit with
//! scale-out requests.

mod common;

use common::Site;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{Batch, CloudReply, CloudRequest, Command, Effect};
use shaleshunt_wire::cloud::{ListPage, ListedMachine, ListedMachineStatus};

/// Interval between the ticks of the controller, in ms.
const TICK_MS: u64 = 20;

/// A request for a page of the machine list.
#[derive(Debug, Clone)]
struct ListRequest {
    id: u64,
    /// Time of sending, in ms since the start of the simulation.
    sent_at: u64,
    /// Name of the machine after which the page begins; empty for the first page.
    after: String,
}

/// A leader whose requests for the machine list are answered by the test.
struct Leader {
    site: Site,
    requests: Vec<ListRequest>,
    /// Number of requests that `next_request` has returned.
    returned: usize,
}

impl Leader {
    fn new() -> Leader {
        Leader { site: Site::new(85.0), requests: Vec::new(), returned: 0 }
    }

    /// Passes a command to the controller, together with the replies that its effects lead to at once.
    fn execute(&mut self, command: Command) {
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

    /// Advances the time until the leader sends the next request for a page, and returns the request.
    fn next_request(&mut self) -> ListRequest {
        while self.requests.len() == self.returned {
            for answer in self.site.advance(TICK_MS) {
                self.execute(answer);
            }
            assert!(self.site.now < 120_000, "no further request for a page: {:?}", self.requests);
            self.execute(Command::Tick);
        }
        self.returned += 1;
        self.requests[self.returned - 1].clone()
    }

    /// Answers the latest request.
    fn answer(&mut self, answer: Result<CloudReply, RequestError>) {
        let id = self.requests.last().unwrap().id;
        self.execute(Command::Cloud(id, answer));
    }
}

/// A page of 500 machines, numbered from `first`.
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

/// Restarting the list from its first page after a throttled request almost never completed a list of eight pages while
/// scale-out requests used the same limit of a few calls per second.
#[test]
fn list_resumes_at_failed_page() {
    let mut leader = Leader::new();
    assert_eq!(leader.next_request().after, "");
    leader.answer(page(1, true));
    assert_eq!(leader.next_request().after, "vm-000500");
    leader.answer(Err(RequestError::Throttled));
    assert_eq!(leader.next_request().after, "vm-000500", "resumes at the failed page");
    leader.answer(page(501, true));
    assert_eq!(leader.next_request().after, "vm-001000");
    leader.answer(page(1001, false));
    assert_eq!(leader.next_request().after, "", "the next list starts from the beginning");
}

/// A new leader learns from its first list which machines are owned, so it reads that list at the full rate. Later
/// lists leave calls for scale-out requests.
#[test]
fn only_first_list_uses_the_full_request_rate() {
    let mut leader = Leader::new();
    let mut durations_ms = Vec::new();
    for _ in 0..2 {
        let first = leader.next_request();
        assert_eq!(first.after, "");
        for number in 0..7 {
            leader.answer(page(number * 500 + 1, true));
            leader.next_request();
        }
        durations_ms.push(leader.site.now - first.sent_at);
        leader.answer(page(3501, false));
    }
    assert!(durations_ms[0] < 500, "{durations_ms:?}");
    // Of six calls per second, a quarter is for lists; a burst covers the first three pages.
    assert!(durations_ms[1] >= 3 * 1000 / 2, "{durations_ms:?}");
}
