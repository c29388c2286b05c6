//! Mutual authentication before the first RPC message.
//!
//! The server sends a challenge. The client answers with its own challenge and an HMAC-SHA-256 of
//! both under the shared secret. The server closes the connection unless the code is right, and
//! then proves that it knows the secret as well. The codes of the two directions differ, so
//! neither side can be answered with its own code, and a recorded code fits no later challenge.

use std::io;

use hmac::Mac;
use quick_error::quick_error;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

/// Names the protocol and its version, so that a wrong port is recognised.
const MAGIC: [u8; 8] = *b"bgadmin1";
const CLIENT_LABEL: &[u8] = b"basilgrade admin 1 client";
const SERVER_LABEL: &[u8] = b"basilgrade admin 1 server";
const NONCE_LENGTH: usize = 32;
const MAC_LENGTH: usize = 32;

/// The bytes that an unauthenticated client receives.
pub const CHALLENGE_LENGTH: usize = MAGIC.len() + NONCE_LENGTH;

type Nonce = [u8; NONCE_LENGTH];

quick_error! {
    /// Why the other side is not trusted.
    #[derive(Debug)]
    pub enum HandshakeError {
        /// The connection failed.
        Io(error: io::Error) {
            display("connection failed during authentication: {}", error)
            from()
        }
        /// The other side speaks another protocol.
        Protocol {
            display("the address is not an admin address; use `admin-address` of the daemon")
        }
        /// The secrets differ.
        Secret {
            display("authentication failed; use the daemon's `secret`")
        }
    }
}

/// Authenticates a client that has just connected.
///
/// # Errors
///
/// If the client does not know the secret or the connection fails. Nothing but the challenge has
/// been sent then.
pub async fn accept<S>(stream: &mut S, secret: &[u8]) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own: Nonce = rand::random();
    let mut challenge = [0; CHALLENGE_LENGTH];
    challenge[..MAGIC.len()].copy_from_slice(&MAGIC);
    challenge[MAGIC.len()..].copy_from_slice(&own);
    stream.write_all(&challenge).await?;
    let mut other: Nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut other).await?;
    let mut code = [0; MAC_LENGTH];
    stream.read_exact(&mut code).await?;
    mac(secret, CLIENT_LABEL, &own, &other)
        .verify_slice(&code)
        .map_err(|_| HandshakeError::Secret)?;
    let proof = mac(secret, SERVER_LABEL, &own, &other)
        .finalize()
        .into_bytes();
    stream.write_all(&proof).await?;
    Ok(())
}

/// Authenticates the server that a client has connected to.
///
/// # Errors
///
/// If either side does not accept the other, or the connection fails.
pub async fn connect<S>(stream: &mut S, secret: &[u8]) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::Protocol);
    }
    let mut other: Nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut other).await?;
    let own: Nonce = rand::random();
    let proof = mac(secret, CLIENT_LABEL, &other, &own)
        .finalize()
        .into_bytes();
    let mut answer = [0; NONCE_LENGTH + MAC_LENGTH];
    answer[..NONCE_LENGTH].copy_from_slice(&own);
    answer[NONCE_LENGTH..].copy_from_slice(&proof);
    stream.write_all(&answer).await?;
    let mut code = [0; MAC_LENGTH];
    match stream.read_exact(&mut code).await {
        Ok(_) => {}
        // The server closes the connection if it does not accept the code.
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            return Err(HandshakeError::Secret);
        }
        Err(error) => return Err(error.into()),
    }
    mac(secret, SERVER_LABEL, &other, &own)
        .verify_slice(&code)
        .map_err(|_| HandshakeError::Secret)
}

fn mac(secret: &[u8], label: &[u8], server: &Nonce, client: &Nonce) -> hmac::Hmac<sha2::Sha256> {
    // HMAC takes keys of any length, so this cannot fail; an empty key would be refused by the
    // settings.
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(secret)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(label);
    mac.update(server);
    mac.update(client);
    mac
}
