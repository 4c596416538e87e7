//! Links between the controllers: each sends on connections that it opened itself and receives on those
//! that the others opened.

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

/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Bytes that the buffer of an incoming link begins with.
const INITIAL_RECEIVE_BUFFER: usize = 4096;
/// Part of the timeout after which a lost connection is opened again.
const RECONNECT_TIMEOUT_DIVISOR: u32 = 4;

/// What comes in from a peer.
pub(crate) enum PeerEvent {
    /// A frame.
    Frame {
        /// The sender's name.
        from: String,
        /// What it says.
        frame: Frame,
    },
    /// A connection that the peer had opened broke.
    Disconnected(String),
}

/// How links to peers are kept.
#[derive(Debug, Clone)]
pub(crate) struct LinkConfig {
    /// Name of this controller, which each connection begins with.
    pub(crate) own_name: String,
    /// Longest time for connecting, and for the peer to take what is written.
    pub(crate) timeout: Duration,
    /// Most frames that wait for one peer; more are dropped, as in a network.
    pub(crate) max_queued_frames: usize,
}

/// The links to all peers, by name.
pub(crate) struct PeerLinks {
    own_name: String,
    links: HashMap<String, OutgoingLink>,
}

struct OutgoingLink {
    link: PeerLink,
    /// Frames dropped since the link last accepted one.
    dropped_frames: u64,
}

impl PeerLinks {
    /// Opens a link to each peer and keeps it open.
    pub(crate) fn open(peers: &[PeerAddress], config: &LinkConfig) -> PeerLinks {
        let open = |peer: &PeerAddress| {
            let link = PeerLink::open(peer.address.clone(), config);
            (peer.name.clone(), OutgoingLink { link, dropped_frames: 0 })
        };
        PeerLinks { own_name: config.own_name.clone(), links: peers.iter().map(open).collect() }
    }

    /// The link to a peer, if there is such a peer.
    pub(crate) fn get(&self, peer: &str) -> Option<PeerLink> {
        self.links.get(peer).map(|outgoing| outgoing.link.clone())
    }

    /// Sends a frame. What a link does not accept is dropped, as in a network, and logged.
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

/// A link's queue is full: the frame was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the link's queue is full")]
pub(crate) struct LinkFull;

/// Sends frames to one peer; closed when its last clone is dropped.
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

    /// Queues a frame.
    pub(crate) fn try_send(&self, frame: Frame) -> Result<(), LinkFull> {
        self.frames.try_send(frame).map_err(|_| LinkFull)
    }
}

/// Connects to a peer again and again, and sends what is queued while there is a connection.
async fn keep_connected(address: String, config: LinkConfig, mut queue: mpsc::Receiver<Frame>) {
    loop {
        let connect = tokio::time::timeout(config.timeout, TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connect {
            // What waited while there was no connection is outdated.
            while queue.try_recv().is_ok() {}
            send_queued(stream, &config, &mut queue).await;
        }
        tokio::time::sleep(config.timeout / RECONNECT_TIMEOUT_DIVISOR).await;
    }
}

/// Sends frames until the connection breaks.
async fn send_queued(mut stream: TcpStream, config: &LinkConfig, queue: &mut mpsc::Receiver<Frame>) {
    // Only a matter of speed.
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

/// Accepts connections from peers until it is dropped, which closes them all.
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

/// Why no more frames are received on a connection.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("cannot read: {0}")]
    Read(#[from] std::io::Error),
    #[error("the first frame is not a hello")]
    NoHello,
    #[error("the process is ending")]
    Stopped,
}

/// Hands on what a peer sends until its connection ends.
async fn receive(mut stream: TcpStream, events: mpsc::Sender<PeerEvent>) {
    let mut sender = None;
    match receive_frames(&mut stream, &mut sender, &events).await {
        Err(ReceiveError::Frame(error)) => tracing::error!(event = %"peer_frame_invalid", error = error.to_string()),
        Err(error) => tracing::debug!(event = %"peer_connection_failed", error = error.to_string()),
        Ok(()) => {}
    }
    if let Some(sender) = sender {
        // Fails only when the process ends.
        let _ = events.send(PeerEvent::Disconnected(sender)).await;
    }
}

/// Hands on frames until the peer closes the connection; `sender` is set by its hello.
async fn receive_frames(
    stream: &mut TcpStream,
    sender: &mut Option<String>,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), ReceiveError> {
    let mut buffer = BytesMut::with_capacity(INITIAL_RECEIVE_BUFFER);
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
