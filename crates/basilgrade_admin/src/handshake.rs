//! Mutual authentication of operators' tools and daemons before the first RPC message.
//!
//! The server sends a magic value and a random nonce. The client responds with a nonce of its own
//! and an HMAC-SHA-256 of both nonces under the shared secret. The server closes the connection if
//! the HMAC is wrong; otherwise it sends an HMAC of its own, which the client checks.
//!
//! The HMACs of the two directions have different labels, so that an HMAC cannot be reflected to
//! its sender. The nonces are random, so that a recorded HMAC cannot be replayed.

use std::io;

use hmac::Mac;
use quick_error::quick_error;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

/// Identifies the protocol and its version, so that a client detects a connection to a wrong port.
const MAGIC: [u8; 8] = *b"bgadmin1";
const CLIENT_LABEL: &[u8] = b"basilgrade admin 1 client";
const SERVER_LABEL: &[u8] = b"basilgrade admin 1 server";
const NONCE_LENGTH: usize = 32;
const MAC_LENGTH: usize = 32;

/// The length in bytes of the challenge, which is all that an unauthenticated client receives.
pub const CHALLENGE_LENGTH: usize = MAGIC.len() + NONCE_LENGTH;

type Nonce = [u8; NONCE_LENGTH];

quick_error! {
    /// The reason why the handshake failed.
    #[derive(Debug)]
    pub enum HandshakeError {
        /// The connection failed or timed out during the handshake.
        Io(error: io::Error) {
            display("connection failed during authentication: {}", error)
            from()
        }
        /// The server does not use the protocol of the admin interface.
        Protocol {
            display("the address is not an admin address; use the `admin-address` of the daemon")
        }
        /// Client and server have different secrets.
        Secret {
            display("authentication failed because the secrets of tool and daemon differ; use the daemon's `secret`")
        }
    }
}

/// Authenticates a client on a new connection and proves to it that this server knows `secret`.
///
/// # Errors
///
/// If the client does not know the secret or the connection fails. If the client was not
/// authenticated, nothing but the challenge was sent to it.
pub async fn accept<S>(stream: &mut S, secret: &[u8]) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let server_nonce: Nonce = rand::random();
    let mut challenge = [0; CHALLENGE_LENGTH];
    challenge[..MAGIC.len()].copy_from_slice(&MAGIC);
    challenge[MAGIC.len()..].copy_from_slice(&server_nonce);
    stream.write_all(&challenge).await?;
    let mut client_nonce: Nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut client_nonce).await?;
    let mut client_mac = [0; MAC_LENGTH];
    stream.read_exact(&mut client_mac).await?;
    mac(secret, CLIENT_LABEL, &server_nonce, &client_nonce)
        .verify_slice(&client_mac)
        .map_err(|_| HandshakeError::Secret)?;
    let server_mac = mac(secret, SERVER_LABEL, &server_nonce, &client_nonce)
        .finalize()
        .into_bytes();
    stream.write_all(&server_mac).await?;
    Ok(())
}

/// Proves to the server that this client knows `secret`, and authenticates the server.
///
/// # Errors
///
/// If client and server have different secrets, if the server uses another protocol, or if the
/// connection fails.
pub async fn connect<S>(stream: &mut S, secret: &[u8]) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::Protocol);
    }
    let mut server_nonce: Nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut server_nonce).await?;
    let client_nonce: Nonce = rand::random();
    let client_mac = mac(secret, CLIENT_LABEL, &server_nonce, &client_nonce)
        .finalize()
        .into_bytes();
    let mut response = [0; NONCE_LENGTH + MAC_LENGTH];
    response[..NONCE_LENGTH].copy_from_slice(&client_nonce);
    response[NONCE_LENGTH..].copy_from_slice(&client_mac);
    stream.write_all(&response).await?;
    let mut server_mac = [0; MAC_LENGTH];
    match stream.read_exact(&mut server_mac).await {
        Ok(_) => {}
        // The server closes the connection if the HMAC of the client is wrong.
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            return Err(HandshakeError::Secret);
        }
        Err(error) => return Err(error.into()),
    }
    mac(secret, SERVER_LABEL, &server_nonce, &client_nonce)
        .verify_slice(&server_mac)
        .map_err(|_| HandshakeError::Secret)
}

fn mac(secret: &[u8], label: &[u8], server: &Nonce, client: &Nonce) -> hmac::Hmac<sha2::Sha256> {
    // `new_from_slice` cannot fail, as HMAC accepts keys of any length. The settings reject short
    // secrets.
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(secret)
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    mac.update(label);
    mac.update(server);
    mac.update(client);
    mac
}
