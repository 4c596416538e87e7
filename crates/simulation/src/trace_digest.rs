//! A digest of all commands and effects of the controllers in a simulation.
//!
//! Two versions of the code whose digests are equal for a scenario and a seed received the same commands and
//! produced the same effects at the same simulated times. The digest doesn't depend on names in the code: bodies
//! that are sent as JSON or as a frame are hashed as they are sent, everything else under the literal tags in
//! this module. Log events are left out.

use crate::process::ProcessId;
use serde::Serialize;
use shaleshunt_core::io::{Answer, CloudReply, CloudRequest, DirectCommandsReply, RequestId};
use shaleshunt_core::{Command, Effect, KvReply, RequestError};
use shaleshunt_peer::Frame;
use xxhash_rust::xxh3::Xxh3;

/// Hash (XXH3, 128 bits) of the commands and effects of all controllers, in order.
#[derive(Default)]
pub struct TraceDigest {
    hash: Xxh3,
    record: Record,
}

impl TraceDigest {
    /// Adds a command that a process receives at the simulated time `now`, in ms.
    pub fn record_command(&mut self, now: u64, to: ProcessId, command: &Command) {
        self.record.begin("command", now, to);
        self.record.command(command);
        self.hash.update(&self.record.0);
    }

    /// Adds an effect that a process returns at the simulated time `now`, in ms. Log events are ignored.
    pub fn record_effect(&mut self, now: u64, from: ProcessId, effect: &Effect) {
        if matches!(effect, Effect::Log(..)) {
            return;
        }
        self.record.begin("effect", now, from);
        self.record.effect(effect);
        self.hash.update(&self.record.0);
    }

    /// The digest of everything added so far, as 32 hexadecimal digits.
    pub fn finish(&self) -> String {
        format!("{:032x}", self.hash.digest128())
    }
}

/// The bytes of one command or effect. Each text is preceded by its length, so that different records never have
/// the same bytes.
#[derive(Default)]
struct Record(Vec<u8>);

impl Record {
    fn begin(&mut self, kind: &str, now: u64, process: ProcessId) {
        self.0.clear();
        self.text(kind).number(now).number(process.controller as u64).number(process.incarnation.into());
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

    /// Appends a tag and a request id.
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
            Command::Heartbeat(id, heartbeat) => self.request("checkin", *id).json(heartbeat),
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
        append: for<'a> fn(&'a mut Record, &T) -> &'a mut Record,
    ) -> &mut Record {
        match result {
            Ok(reply) => append(self.text("ok"), reply),
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
            RequestError::Rejected(reason) => self.text("rejected").text(reason),
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
            DirectCommandsReply::Executed(heartbeat) => self.text("executed").json(heartbeat),
            DirectCommandsReply::Fenced(heartbeat) => self.text("outdated").json(heartbeat),
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
