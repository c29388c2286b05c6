//! Mutual authentication of daemons at the start of a connection.
//!
//! The server sends a nonce. The client responds with a nonce of its own and an HMAC of both nonces
//! under the shared secret. The server verifies this HMAC before it sends its own, so that a client
//! that does not know the secret receives nothing but the nonce of the server.

use hmac::Mac;
use rand::Rng;
use tokio::io;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time;

use crate::codec;
use crate::error;
use crate::secret;

const CLIENT_LABEL: &str = "basilgrade 1 client";
const SERVER_LABEL: &str = "basilgrade 1 server";
const FRAMES_TO_CLIENT_LABEL: &str = "basilgrade 1 frames to client";
const FRAMES_TO_SERVER_LABEL: &str = "basilgrade 1 frames to server";

/// The length in bytes of a nonce; an HMAC-SHA-256 has the same length.
pub const NONCE_LENGTH: usize = 32;

/// The time limit of the whole handshake, after which a connection that is not authenticated is
/// closed.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

fn random_nonce() -> [u8; NONCE_LENGTH] {
    let mut nonce = [0; NONCE_LENGTH];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Proves to the server that this client knows `secret`, and authenticates the server.
///
/// # Errors
///
/// [`error::LinkError`]; the connection is not usable afterwards.
pub async fn connect<S>(
    stream: &mut S,
    secret: &secret::Secret,
) -> Result<codec::AuthenticatedCodec, error::LinkError>
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let handshake = async {
        let mut server_nonce = [0; NONCE_LENGTH];
        stream.read_exact(&mut server_nonce).await?;
        let client_nonce = random_nonce();
        let client_mac = secret
            .mac(CLIENT_LABEL, &[&server_nonce, &client_nonce])
            .finalize();
        stream.write_all(&client_nonce).await?;
        stream.write_all(&client_mac.into_bytes()).await?;
        stream.flush().await?;
        let mut server_mac = [0; NONCE_LENGTH];
        stream.read_exact(&mut server_mac).await?;
        secret
            .mac(SERVER_LABEL, &[&server_nonce, &client_nonce])
            .verify_slice(&server_mac)
            .map_err(|_| error::LinkError::Unauthenticated)?;
        Ok(codec::AuthenticatedCodec::new(
            secret.derive(FRAMES_TO_SERVER_LABEL, &[&server_nonce, &client_nonce]),
            secret.derive(FRAMES_TO_CLIENT_LABEL, &[&server_nonce, &client_nonce]),
        ))
    };
    time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .unwrap_or(Err(error::LinkError::Timeout))
}

/// Authenticates the client, and then proves to it that this server knows `secret`.
///
/// # Errors
///
/// [`error::LinkError`]; the connection is not usable afterwards.
pub async fn accept<S>(
    stream: &mut S,
    secret: &secret::Secret,
) -> Result<codec::AuthenticatedCodec, error::LinkError>
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let handshake = async {
        let server_nonce = random_nonce();
        stream.write_all(&server_nonce).await?;
        stream.flush().await?;
        let mut client_nonce = [0; NONCE_LENGTH];
        stream.read_exact(&mut client_nonce).await?;
        let mut client_mac = [0; NONCE_LENGTH];
        stream.read_exact(&mut client_mac).await?;
        secret
            .mac(CLIENT_LABEL, &[&server_nonce, &client_nonce])
            .verify_slice(&client_mac)
            .map_err(|_| error::LinkError::Unauthenticated)?;
        let server_mac = secret
            .mac(SERVER_LABEL, &[&server_nonce, &client_nonce])
            .finalize();
        stream.write_all(&server_mac.into_bytes()).await?;
        stream.flush().await?;
        Ok(codec::AuthenticatedCodec::new(
            secret.derive(FRAMES_TO_CLIENT_LABEL, &[&server_nonce, &client_nonce]),
            secret.derive(FRAMES_TO_SERVER_LABEL, &[&server_nonce, &client_nonce]),
        ))
    };
    time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .unwrap_or(Err(error::LinkError::Timeout))
}
