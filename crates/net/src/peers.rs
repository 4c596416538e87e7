//! Links between the controllers: each node sends on connections that it opened itself and listens
//! on those that the others opened.

use crate::sockets::Sockets;
use bytes::BytesMut;
use shaleshunt_peer::Frame;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What a link brings.
pub enum Heard {
    /// A frame from a peer.
    Frame(String, Frame),
    /// A connection from a peer broke.
    Lost(String),
}

/// Where to send frames for one peer.
pub type Link = mpsc::Sender<Frame>;

/// Opens and keeps a link to a peer, for which at most `queue` frames wait.
pub fn dial(me: String, address: String, patience: Duration, queue: usize) -> Link {
    let (tell, mut told) = mpsc::channel::<Frame>(queue);
    tokio::task::spawn_local(async move {
        loop {
            let connect = tokio::time::timeout(patience, TcpStream::connect(&address)).await;
            if let Ok(Ok(mut stream)) = connect {
                let _ = stream.set_nodelay(true);
                // What waited while there was no link is old.
                while told.try_recv().is_ok() {}
                let mut buf = BytesMut::new();
                Frame::Hello { node: me.clone() }.encode(&mut buf);
                loop {
                    let wrote = tokio::time::timeout(patience, stream.write_all(&buf)).await;
                    if !matches!(wrote, Ok(Ok(()))) {
                        break;
                    }
                    buf.clear();
                    let Some(frame) = told.recv().await else { return };
                    frame.encode(&mut buf);
                    while let Ok(frame) = told.try_recv() {
                        frame.encode(&mut buf);
                    }
                }
            }
            tokio::time::sleep(patience / 4).await;
        }
    });
    tell
}

/// Listens for peers.
pub async fn listen(listener: TcpListener, heard: mpsc::Sender<Heard>, sockets: Sockets) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > sockets.peers() {
            continue;
        }
        let (heard, open, socket) = (heard.clone(), open.clone(), sockets.open());
        tokio::task::spawn_local(async move {
            let _open = (open, socket);
            link(stream, heard).await;
        });
    }
}

async fn link(mut stream: TcpStream, heard: mpsc::Sender<Heard>) {
    let mut buf = BytesMut::with_capacity(4096);
    let mut from: Option<String> = None;
    'read: loop {
        loop {
            match Frame::decode(&mut buf) {
                Ok(Some(Frame::Hello { node })) => from = Some(node),
                Ok(Some(frame)) => {
                    let Some(from) = &from else { break 'read };
                    if heard.send(Heard::Frame(from.clone(), frame)).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(e) => {
                    tracing::error!(event = %"peer_frame_invalid", error = e.to_string());
                    break 'read;
                }
            }
        }
        match stream.read_buf(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => break,
        }
    }
    if let Some(from) = from {
        let _ = heard.send(Heard::Lost(from)).await;
    }
}
