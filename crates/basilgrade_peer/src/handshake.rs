//! Mutual authentication at the start of a connection.
//!
//! The server sends a nonce. The client answers with a nonce of its own and a keyed hash over
//! both; only after checking it does the server send its keyed hash. A peer without the secret
//! therefore receives nothing but the first nonce.

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
const TO_CLIENT_LABEL: &str = "basilgrade 1 frames to client";
const TO_SERVER_LABEL: &str = "basilgrade 1 frames to server";

/// Bytes of a nonce and of a keyed hash.
pub const NONCE_LENGTH: usize = 32;

/// Time for the whole handshake; a stranger must not hold a connection open for longer.
const TIMEOUT: time::Duration = time::Duration::from_secs(3);

fn nonce() -> [u8; NONCE_LENGTH] {
    let mut nonce = [0; NONCE_LENGTH];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Authenticates to the server and checks that it knows the secret, too.
///
/// # Errors
///
/// [`error::LinkError`]; the connection is not usable afterwards.
pub async fn connect<S>(
    stream: &mut S,
    secret: &secret::Secret,
) -> Result<codec::SealedCodec, error::LinkError>
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let exchange = async {
        let mut theirs = [0; NONCE_LENGTH];
        stream.read_exact(&mut theirs).await?;
        let ours = nonce();
        let proof = secret.hash(CLIENT_LABEL, &[&theirs, &ours]).finalize();
        stream.write_all(&ours).await?;
        stream.write_all(&proof.into_bytes()).await?;
        stream.flush().await?;
        let mut answer = [0; NONCE_LENGTH];
        stream.read_exact(&mut answer).await?;
        secret
            .hash(SERVER_LABEL, &[&theirs, &ours])
            .verify_slice(&answer)
            .map_err(|_| error::LinkError::Unauthenticated)?;
        Ok(codec::SealedCodec::new(
            secret.derive(TO_SERVER_LABEL, &[&theirs, &ours]),
            secret.derive(TO_CLIENT_LABEL, &[&theirs, &ours]),
        ))
    };
    time::timeout(TIMEOUT, exchange)
        .await
        .unwrap_or(Err(error::LinkError::Timeout))
}

/// Checks that the client knows the secret and proves the same to it.
///
/// # Errors
///
/// [`error::LinkError`]; the connection is not usable afterwards.
pub async fn accept<S>(
    stream: &mut S,
    secret: &secret::Secret,
) -> Result<codec::SealedCodec, error::LinkError>
where
    S: io::AsyncRead + io::AsyncWrite + Unpin,
{
    let exchange = async {
        let ours = nonce();
        stream.write_all(&ours).await?;
        stream.flush().await?;
        let mut theirs = [0; NONCE_LENGTH];
        stream.read_exact(&mut theirs).await?;
        let mut proof = [0; NONCE_LENGTH];
        stream.read_exact(&mut proof).await?;
        secret
            .hash(CLIENT_LABEL, &[&ours, &theirs])
            .verify_slice(&proof)
            .map_err(|_| error::LinkError::Unauthenticated)?;
        let answer = secret.hash(SERVER_LABEL, &[&ours, &theirs]).finalize();
        stream.write_all(&answer.into_bytes()).await?;
        stream.flush().await?;
        Ok(codec::SealedCodec::new(
            secret.derive(TO_CLIENT_LABEL, &[&ours, &theirs]),
            secret.derive(TO_SERVER_LABEL, &[&ours, &theirs]),
        ))
    };
    time::timeout(TIMEOUT, exchange)
        .await
        .unwrap_or(Err(error::LinkError::Timeout))
}
