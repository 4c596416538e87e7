//! The cloud's list of machines comes on pages, at a rate that hires need too.

mod common;

use shaleshunt_core::io::{CloudReply, CloudRequest, Command, Effect};
use shaleshunt_core::{IoError, Node, Now, Tuning};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::store::KeyValueStore;
use shaleshunt_wire::cloud::{ListPage, Listed, ListedStatus};

/// A leader whose lists are answered by the test.
struct Play {
    node: Node,
    store: KeyValueStore,
    cloud: Cloud,
    now: u64,
    /// List requests: when they were sent, and the name to begin after.
    asked: Vec<(u64, String)>,
    /// How many of them the test has looked at.
    seen: usize,
    open: Option<u64>,
}

impl Play {
    fn new() -> Play {
        let node = Node::new(common::settings(85.0), Tuning::default(), Now { mono: 1, wall: 1_700_000_000_000 }, 7);
        Play { node, store: common::store(), cloud: common::cloud(), now: 1, asked: Vec::new(), seen: 0, open: None }
    }

    fn tell(&mut self, command: Command) {
        let mut commands = vec![command];
        while !commands.is_empty() {
            let time = Now { mono: self.now, wall: 1_700_000_000_000 + self.now };
            for effect in self.node.step(time, std::mem::take(&mut commands)) {
                match effect {
                    Effect::State(id, request, _) => {
                        let answer = self.store.handle(self.now, common::request(id), request);
                        commands.extend(answer.map(|a| Command::State(id, a)));
                    }
                    Effect::Cloud(id, CloudRequest::List { after }) => {
                        self.asked.push((self.now, after));
                        self.open = Some(id);
                    }
                    Effect::Cloud(id, request) => {
                        let outcome = self.cloud.handle(self.now, request);
                        commands.push(Command::Cloud(id, outcome.reply));
                    }
                    _ => {}
                }
            }
        }
    }

    /// The next request for a list, as soon as there is one: when it came, and the name to begin after.
    fn next_request(&mut self) -> (u64, String) {
        while self.asked.len() == self.seen {
            self.now += 20;
            assert!(self.now < 120_000, "no list asked for: {:?}", self.asked);
            for answer in self.store.advance(self.now) {
                self.tell(Command::State(answer.request.id, Ok(answer.reply)));
            }
            self.tell(Command::Tick);
        }
        self.seen += 1;
        self.asked[self.seen - 1].clone()
    }

    fn answer(&mut self, answer: Result<CloudReply, IoError>) {
        let id = self.open.take().unwrap();
        self.tell(Command::Cloud(id, answer));
    }
}

fn page(first: u32, truncated: bool) -> Result<CloudReply, IoError> {
    let listed = |number: u32| Listed {
        id: format!("vm-{number:06}"),
        endpoint: format!("m{number}"),
        frame: "f".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s: 100.0,
    };
    let machines = (first..first + 500).map(listed).collect();
    Ok(CloudReply::Page(ListPage { machines, truncated }))
}

/// With eight pages at a few calls a second, one that was refused made the whole list begin anew, so a list was
/// hardly ever complete while machines were hired.
#[test]
fn a_list_goes_on_at_the_page_that_failed() {
    let mut play = Play::new();
    assert_eq!(play.next_request().1, "");
    play.answer(page(1, true));
    assert_eq!(play.next_request().1, "vm-000500");
    play.answer(Err(IoError::Throttled));
    assert_eq!(play.next_request().1, "vm-000500", "not from the beginning");
    play.answer(page(501, true));
    assert_eq!(play.next_request().1, "vm-001000");
    play.answer(page(1001, false));
    assert_eq!(play.next_request().1, "", "the next list");
}

/// The first list tells which machines are owned and comes as fast as it may; later ones leave room for hires.
#[test]
fn a_long_list_leaves_room_for_hires() {
    let mut play = Play::new();
    let mut took = Vec::new();
    for _ in 0..2 {
        let (began, after) = play.next_request();
        assert_eq!(after, "");
        for number in 0..7 {
            play.answer(page(number * 500 + 1, true));
            play.next_request();
        }
        took.push(play.now - began);
        play.answer(page(3501, false));
    }
    assert!(took[0] < 500, "{took:?}");
    // Six calls a second, a quarter of them for lists, the first three pages at once.
    assert!(took[1] >= 3 * 1000 / 2, "{took:?}");
}
