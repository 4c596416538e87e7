//! A digest of everything that passes between the owner's code and its surroundings in simulated time.
//!
//! Two versions of the code whose digests are equal for a scenario and a seed were given the same
//! commands and had the same effects at the same times. Names in the code don't enter the digest: what
//! is sent as JSON or as a frame enters as it is sent, everything else under tags that are written out
//! here. The log's text is left out.

use serde::Serialize;
use shaleshunt_core::io::{Answer, CloudReply, CloudRequest, OrdersReply, RequestId};
use shaleshunt_core::{Command, Effect, IoError, StateReply};
use shaleshunt_peer::Frame;
use xxhash_rust::xxh3::Xxh3;

/// Hash (XXH3, 128 bits) over the commands and effects of all nodes, in their order.
#[derive(Default)]
pub struct TraceDigest {
    hash: Xxh3,
    record: Record,
}

impl TraceDigest {
    /// Adds a command that a node is given: at which time in ms, and in which of the node's lives.
    pub fn command(&mut self, now: u64, node: usize, life: u32, command: &Command) {
        self.record.begin("command", now, node, life);
        self.record.command(command);
        self.hash.update(&self.record.0);
    }

    /// Adds an effect that comes out of a node. Log events are not counted.
    pub fn effect(&mut self, now: u64, node: usize, life: u32, effect: &Effect) {
        if matches!(effect, Effect::Log(..)) {
            return;
        }
        self.record.begin("effect", now, node, life);
        self.record.effect(effect);
        self.hash.update(&self.record.0);
    }

    /// The digest of what was added so far, as 32 hexadecimal digits.
    pub fn finish(&self) -> String {
        format!("{:032x}", self.hash.digest128())
    }
}

/// The bytes of one command or effect. Texts go with their lengths, so that different records never
/// have the same bytes.
#[derive(Default)]
struct Record(Vec<u8>);

impl Record {
    fn begin(&mut self, what: &str, now: u64, node: usize, life: u32) {
        self.0.clear();
        self.text(what).number(now).number(node as u64).number(life.into());
    }

    fn number(&mut self, n: u64) -> &mut Record {
        self.0.extend_from_slice(&n.to_le_bytes());
        self
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Record {
        self.number(bytes.len() as u64);
        self.0.extend_from_slice(bytes);
        self
    }

    fn text(&mut self, text: &str) -> &mut Record {
        self.bytes(text.as_bytes())
    }

    /// A tag and the number of a request.
    fn request(&mut self, tag: &str, id: RequestId) -> &mut Record {
        self.text(tag).number(id)
    }

    fn optional_number(&mut self, n: Option<u32>) -> &mut Record {
        match n {
            Some(n) => self.text("some").number(n.into()),
            None => self.text("none"),
        }
    }

    fn optional_text(&mut self, text: Option<&String>) -> &mut Record {
        match text {
            Some(text) => self.text("some").text(text),
            None => self.text("none"),
        }
    }

    fn json(&mut self, body: &impl Serialize) -> &mut Record {
        match serde_json::to_vec(body) {
            Ok(bytes) => self.text("json").bytes(&bytes),
            Err(_) => self.text("no json"),
        }
    }

    fn frame(&mut self, frame: &Frame) -> &mut Record {
        let mut encoded = bytes::BytesMut::new();
        frame.encode(&mut encoded);
        self.bytes(&encoded)
    }

    fn command(&mut self, command: &Command) -> &mut Record {
        match command {
            Command::Submit(id, submission) => self.request("submit", *id).json(submission),
            Command::Status(id, job) => self.request("status", *id).text(job),
            Command::Withdraw(id, job) => self.request("withdraw", *id).text(job),
            Command::Up(id) => self.request("up", *id),
            Command::Checkin(id, report) => self.request("checkin", *id).json(report),
            Command::State(id, reply) => self.request("state", *id).result(reply, Record::state_reply),
            Command::Cloud(id, reply) => self.request("cloud", *id).result(reply, Record::cloud_reply),
            Command::Orders(id, reply) => self.request("orders", *id).result(reply, Record::orders_reply),
            Command::Peer(from, frame) => self.text("peer").text(from).frame(frame),
            Command::PeerLost(label) => self.text("peer lost").text(label),
            Command::Tick => self.text("tick"),
        }
    }

    fn effect(&mut self, effect: &Effect) -> &mut Record {
        match effect {
            Effect::State(id, request, via) => self.request("state", *id).json(request).optional_text(via.as_ref()),
            Effect::Cloud(id, request) => self.request("cloud", *id).cloud_request(request),
            Effect::Orders(id, address, orders) => self.request("orders", *id).text(address).json(orders),
            Effect::Answer(id, answer) => self.request("answer", *id).answer(answer),
            Effect::Peer(to, frame) => self.text("peer").text(to).frame(frame),
            Effect::Log(..) => self,
        }
    }

    fn result<T>(
        &mut self,
        result: &Result<T, IoError>,
        put: for<'a> fn(&'a mut Record, &T) -> &'a mut Record,
    ) -> &mut Record {
        match result {
            Ok(reply) => put(self.text("ok"), reply),
            Err(e) => self.text("error").io_error(e),
        }
    }

    fn io_error(&mut self, e: &IoError) -> &mut Record {
        match e {
            IoError::NotSent => self.text("not sent"),
            IoError::Busy => self.text("busy"),
            IoError::Unknown => self.text("unknown"),
            IoError::Refused => self.text("refused"),
            IoError::Throttled => self.text("throttled"),
            IoError::Rejected(why) => self.text("rejected").text(why),
            IoError::TooLong => self.text("too long"),
            IoError::Senseless => self.text("senseless"),
        }
    }

    fn state_reply(&mut self, reply: &StateReply) -> &mut Record {
        match reply {
            StateReply::Found(pair) => self.text("found").json(pair),
            StateReply::Missing => self.text("missing"),
            StateReply::Page(page) => self.text("page").json(page),
            StateReply::Committed(revision) => self.text("committed").number(*revision),
            StateReply::Conflict(keys) => self.text("conflict").json(keys),
            StateReply::Hold(pass) => self.text("hold").number(*pass),
            StateReply::Fine => self.text("fine"),
            StateReply::News(news) => self.text("news").json(news),
            StateReply::TooOld => self.text("too old"),
        }
    }

    fn cloud_request(&mut self, request: &CloudRequest) -> &mut Record {
        match request {
            CloudRequest::Catalog => self.text("catalog"),
            CloudRequest::Hire(hire) => self.text("hire").json(hire),
            CloudRequest::Return(machines) => self.text("return").json(machines),
            CloudRequest::List { after } => self.text("list").text(after),
        }
    }

    fn cloud_reply(&mut self, reply: &CloudReply) -> &mut Record {
        match reply {
            CloudReply::Catalog(catalog) => self.text("catalog").json(catalog),
            CloudReply::Hired(machines) => self.text("hired").json(machines),
            CloudReply::NoCapacity => self.text("no capacity"),
            CloudReply::Returned => self.text("returned"),
            CloudReply::Page(page) => self.text("page").json(page),
        }
    }

    fn orders_reply(&mut self, reply: &OrdersReply) -> &mut Record {
        match reply {
            OrdersReply::Executed(report) => self.text("executed").json(report),
            OrdersReply::Outdated(report) => self.text("outdated").json(report),
        }
    }

    fn answer(&mut self, answer: &Answer) -> &mut Record {
        match answer {
            Answer::Job(status, view) => self.text("job").number((*status).into()).json(view),
            Answer::Problem { status, error, retry_after } => {
                self.text("problem").number((*status).into()).text(error).optional_number(*retry_after)
            }
            Answer::Report(reply) => self.text("report").json(reply),
            Answer::Elsewhere(to) => self.text("elsewhere").optional_text(to.as_ref()),
            Answer::Healthy => self.text("healthy"),
        }
    }
}
