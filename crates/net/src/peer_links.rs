//! Connections between controllers. A controller sends frames on the connections that it opened and receives frames on
//! those that its peers opened.

use crate::config::PeerAddress;
use crate::socket_budget::SocketBudget;
use crate::task::AbortOnDrop;
use bytes::BytesMut;
use shaleshunt_peer::{Frame, FrameError};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Pause after `accept` fails, for example for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Initial capacity of the receive buffer of a connection.
const INITIAL_RECEIVE_BUFFER_BYTES: usize = 4096;
/// The pause before a link reconnects is the link's timeout divided by this.
const RECONNECT_TIMEOUT_DIVISOR: u32 = 4;

/// What the event loop receives from a peer.
pub(crate) enum PeerEvent {
    /// A frame.
    Frame {
        /// Node name of the sender.
        from: String,
        /// Any frame but `Hello`.
        frame: Frame,
    },
    /// A connection that this peer had opened has ended.
    Disconnected(String),
}

/// Settings of the links to all peers.
#[derive(Debug, Clone)]
pub(crate) struct LinkConfig {
    /// Node name of this controller, sent in the `Hello` frame of each connection.
    pub(crate) own_name: String,
    /// Timeout for connecting, and again for each write.
    pub(crate) timeout: Duration,
    /// Capacity of the queue of frames for one peer; frames beyond it are dropped.
    pub(crate) max_queued_frames: usize,
}

/// The links to all peers, by node name.
pub(crate) struct PeerLinks {
    own_name: String,
    links: HashMap<String, OutgoingLink>,
}

struct OutgoingLink {
    link: PeerLink,
    /// Frames dropped since the link's queue last accepted one.
    dropped_frames: u64,
}

impl PeerLinks {
    /// Starts a link to each peer, which reconnects whenever its connection is lost.
    pub(crate) fn open(peers: &[PeerAddress], config: &LinkConfig) -> PeerLinks {
        let open = |peer: &PeerAddress| {
            let link = PeerLink::open(peer.address.clone(), config);
            (peer.name.clone(), OutgoingLink { link, dropped_frames: 0 })
        };
        PeerLinks { own_name: config.own_name.clone(), links: peers.iter().map(open).collect() }
    }

    /// The link to a peer; `None` if no peer of this name is configured.
    pub(crate) fn get(&self, peer: &str) -> Option<PeerLink> {
        self.links.get(peer).map(|outgoing| outgoing.link.clone())
    }

    /// Queues a frame for a peer, or drops it if the queue is full. The first dropped frame of a run is logged, and the
    /// number dropped once the queue accepts a frame again. A frame for an unknown peer is ignored.
    pub(crate) fn send(&mut self, peer: &str, frame: Frame) {
        let Some(outgoing) = self.links.get_mut(peer) else { return };
        let own_name = &self.own_name;
        if outgoing.link.try_send(frame).is_ok() {
            let dropped = std::mem::take(&mut outgoing.dropped_frames);
            if dropped > 0 {
                tracing::info!(node = %own_name, event = %"peer_frames_dropped", %peer, frames = dropped);
            }
            return;
        }
        outgoing.dropped_frames += 1;
        if outgoing.dropped_frames == 1 {
            tracing::info!(node = %own_name, event = %"peer_link_full", %peer);
        }
    }
}

/// The frame was not queued for sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the queue of frames for this peer is full")]
pub(crate) struct LinkFull;

/// Sends frames to one peer. The connection is closed when the last clone is dropped.
#[derive(Clone)]
pub(crate) struct PeerLink {
    frames: mpsc::Sender<Frame>,
    _task: Rc<AbortOnDrop>,
}

impl PeerLink {
    fn open(address: String, config: &LinkConfig) -> PeerLink {
        let (frames, queue) = mpsc::channel(config.max_queued_frames);
        let task = tokio::task::spawn_local(keep_connected(address, config.clone(), queue));
        PeerLink { frames, _task: Rc::new(task.into()) }
    }

    /// Queues a frame without waiting.
    pub(crate) fn try_send(&self, frame: Frame) -> Result<(), LinkFull> {
        self.frames.try_send(frame).map_err(|_| LinkFull)
    }
}

/// Connects to a peer, sends queued frames until the connection breaks, and reconnects after a pause, without end.
async fn keep_connected(address: String, config: LinkConfig, mut queue: mpsc::Receiver<Frame>) {
    loop {
        let connect = tokio::time::timeout(config.timeout, TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connect {
            // Frames queued while there was no connection are outdated.
            while queue.try_recv().is_ok() {}
            send_queued(stream, &config, &mut queue).await;
        }
        tokio::time::sleep(config.timeout / RECONNECT_TIMEOUT_DIVISOR).await;
    }
}

/// Sends `Hello` and then queued frames until the connection breaks or a write times out.
async fn send_queued(mut stream: TcpStream, config: &LinkConfig, queue: &mut mpsc::Receiver<Frame>) {
    // Without TCP_NODELAY frames are only delayed, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let mut buffer = BytesMut::new();
    Frame::Hello { node: config.own_name.clone() }.encode(&mut buffer);
    loop {
        let written = tokio::time::timeout(config.timeout, stream.write_all(&buffer)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        buffer.clear();
        let Some(frame) = queue.recv().await else { return };
        frame.encode(&mut buffer);
        while let Ok(frame) = queue.try_recv() {
            frame.encode(&mut buffer);
        }
    }
}

/// Accepts connections from peers and passes their frames on; dropping the future closes them all.
pub(crate) async fn accept_peers(listener: TcpListener, events: mpsc::Sender<PeerEvent>, sockets: SocketBudget) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= sockets.peer_connections() {
            continue;
        }
        let (events, socket) = (events.clone(), sockets.open());
        connections.spawn_local(async move {
            let _socket = socket;
            receive(stream, events).await;
        });
    }
}

/// Why receiving on a connection from a peer ended, other than by the peer closing it.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("cannot read from the connection: {0}; closing it")]
    Read(#[from] std::io::Error),
    #[error("the first frame is not the Hello frame that names the sender; closing the connection")]
    NoHello,
    #[error("the event loop has stopped; closing the connection")]
    Stopped,
}

/// Passes the frames of one connection to the event loop until the connection ends, and then reports its end.
async fn receive(mut stream: TcpStream, events: mpsc::Sender<PeerEvent>) {
    let mut sender = None;
    match receive_frames(&mut stream, &mut sender, &events).await {
        Err(ReceiveError::Frame(error)) => tracing::error!(event = %"peer_frame_invalid", error = error.to_string()),
        Err(error) => tracing::debug!(event = %"peer_connection_failed", error = error.to_string()),
        Ok(()) => {}
    }
    if let Some(sender) = sender {
        // Sending fails only while the process shuts down.
        let _ = events.send(PeerEvent::Disconnected(sender)).await;
    }
}

/// Passes frames to the event loop until the peer closes the connection. `sender` is set to the name in the peer's
/// `Hello` frame.
async fn receive_frames(
    stream: &mut TcpStream,
    sender: &mut Option<String>,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), ReceiveError> {
    let mut buffer = BytesMut::with_capacity(INITIAL_RECEIVE_BUFFER_BYTES);
    loop {
        while let Some(frame) = Frame::decode(&mut buffer)? {
            if let Frame::Hello { node } = frame {
                *sender = Some(node);
                continue;
            }
            let from = sender.clone().ok_or(ReceiveError::NoHello)?;
            let event = PeerEvent::Frame { from, frame };
            events.send(event).await.map_err(|_| ReceiveError::Stopped)?;
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
}
