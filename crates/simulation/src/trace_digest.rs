//! A digest of everything that passes between the owner's code and its surroundings in simulated time.
//!
//! Two versions of the code whose digests are equal for a scenario and a seed were given the same
//! commands and had the same effects at the same times. Names in the code don't enter the digest: what
//! is sent as JSON or as a frame enters as it is sent, everything else under tags that are written out
//! here. The log's text is left out.

use crate::process::ProcessId;
use serde::Serialize;
use shaleshunt_core::io::{Answer, CloudReply, CloudRequest, DirectCommandsReply, RequestId};
use shaleshunt_core::{Command, Effect, KvReply, RequestError};
use shaleshunt_peer::Frame;
use xxhash_rust::xxh3::Xxh3;

/// Hash (XXH3, 128 bits) over the commands and effects of all controllers, in their order.
#[derive(Default)]
pub struct TraceDigest {
    hash: Xxh3,
    record: Record,
}

impl TraceDigest {
    /// Adds a command that a process is given, at a time in ms.
    pub fn command(&mut self, now: u64, to: ProcessId, command: &Command) {
        self.record.begin("command", now, to);
        self.record.command(command);
        self.hash.update(&self.record.0);
    }

    /// Adds an effect that comes out of a process, at a time in ms. Log events are not counted.
    pub fn effect(&mut self, now: u64, from: ProcessId, effect: &Effect) {
        if matches!(effect, Effect::Log(..)) {
            return;
        }
        self.record.begin("effect", now, from);
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
    fn begin(&mut self, what: &str, now: u64, process: ProcessId) {
        self.0.clear();
        self.text(what).number(now).number(process.controller as u64).number(process.incarnation.into());
    }

    fn number(&mut self, number: u64) -> &mut Record {
        self.0.extend_from_slice(&number.to_le_bytes());
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

    fn optional_number(&mut self, number: Option<u32>) -> &mut Record {
        match number {
            Some(number) => self.text("some").number(number.into()),
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
            Command::Cancel(id, job) => self.request("withdraw", *id).text(job),
            Command::HealthCheck(id) => self.request("up", *id),
            Command::Heartbeat(id, report) => self.request("checkin", *id).json(report),
            Command::Kv(id, reply) => self.request("state", *id).result(reply, Record::store_reply),
            Command::Cloud(id, reply) => self.request("cloud", *id).result(reply, Record::cloud_reply),
            Command::DirectCommands(id, reply) => self.request("orders", *id).result(reply, Record::commands_reply),
            Command::Peer(from, frame) => self.text("peer").text(from).frame(frame),
            Command::PeerDisconnected(node_name) => self.text("peer lost").text(node_name),
            Command::Tick => self.text("tick"),
        }
    }

    fn effect(&mut self, effect: &Effect) -> &mut Record {
        match effect {
            Effect::Kv(id, request, via) => self.request("state", *id).json(request).optional_text(via.as_ref()),
            Effect::Cloud(id, request) => self.request("cloud", *id).cloud_request(request),
            Effect::DirectCommands(id, address, commands) => self.request("orders", *id).text(address).json(commands),
            Effect::Answer(id, answer) => self.request("answer", *id).answer(answer),
            Effect::Peer(to, frame) => self.text("peer").text(to).frame(frame),
            Effect::Log(..) => self,
        }
    }

    fn result<T>(
        &mut self,
        result: &Result<T, RequestError>,
        put: for<'a> fn(&'a mut Record, &T) -> &'a mut Record,
    ) -> &mut Record {
        match result {
            Ok(reply) => put(self.text("ok"), reply),
            Err(error) => self.text("error").request_error(error),
        }
    }

    fn request_error(&mut self, error: &RequestError) -> &mut Record {
        match error {
            RequestError::NotSent => self.text("not sent"),
            RequestError::LocalOverload => self.text("busy"),
            RequestError::OutcomeUnknown => self.text("unknown"),
            RequestError::Unavailable => self.text("refused"),
            RequestError::Throttled => self.text("throttled"),
            RequestError::Rejected(why) => self.text("rejected").text(why),
            RequestError::ResponseTooLong => self.text("too long"),
            RequestError::MalformedResponse => self.text("senseless"),
        }
    }

    fn store_reply(&mut self, reply: &KvReply) -> &mut Record {
        match reply {
            KvReply::Found(pair) => self.text("found").json(pair),
            KvReply::Missing => self.text("missing"),
            KvReply::Page(page) => self.text("page").json(page),
            KvReply::Committed(revision) => self.text("committed").number(revision.0),
            KvReply::Conflict(keys) => self.text("conflict").json(keys),
            KvReply::LeaseGranted(lease) => self.text("hold").number(*lease),
            KvReply::Done => self.text("fine"),
            KvReply::Changes(changes) => self.text("news").json(changes),
            KvReply::Compacted => self.text("too old"),
        }
    }

    fn cloud_request(&mut self, request: &CloudRequest) -> &mut Record {
        match request {
            CloudRequest::Catalog => self.text("catalog"),
            CloudRequest::ScaleOut(request) => self.text("hire").json(request),
            CloudRequest::ScaleIn(machines) => self.text("return").json(machines),
            CloudRequest::List { after } => self.text("list").text(after),
        }
    }

    fn cloud_reply(&mut self, reply: &CloudReply) -> &mut Record {
        match reply {
            CloudReply::Catalog(catalog) => self.text("catalog").json(catalog),
            CloudReply::ScaledOut(machines) => self.text("hired").json(machines),
            CloudReply::NoCapacity => self.text("no capacity"),
            CloudReply::ScaledIn => self.text("returned"),
            CloudReply::MachineList(page) => self.text("page").json(page),
        }
    }

    fn commands_reply(&mut self, reply: &DirectCommandsReply) -> &mut Record {
        match reply {
            DirectCommandsReply::Executed(report) => self.text("executed").json(report),
            DirectCommandsReply::Fenced(report) => self.text("outdated").json(report),
        }
    }

    fn answer(&mut self, answer: &Answer) -> &mut Record {
        match answer {
            Answer::Job(status, view) => self.text("job").number((*status).into()).json(view),
            Answer::Error { status, error, retry_after } => {
                self.text("problem").number((*status).into()).text(error).optional_number(*retry_after)
            }
            Answer::Heartbeat(reply) => self.text("report").json(reply),
            Answer::Redirect(to) => self.text("elsewhere").optional_text(to.as_ref()),
            Answer::Healthy => self.text("healthy"),
        }
    }
}
