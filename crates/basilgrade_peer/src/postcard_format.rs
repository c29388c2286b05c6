//! Encoding of typed messages as the payloads of frames.

use std::io;
use std::marker;
use std::pin;

use bytes::Bytes;
use bytes::BytesMut;
use serde::de;
use serde::ser;

/// Encodes sent messages of type `O` and decodes received ones of type `I` with postcard.
#[derive(Debug)]
pub struct PostcardFormat<I, O> {
    types: marker::PhantomData<fn(O) -> I>,
}

impl<I, O> Default for PostcardFormat<I, O> {
    fn default() -> Self {
        Self {
            types: marker::PhantomData,
        }
    }
}

fn invalid_data(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl<I: de::DeserializeOwned, O> tokio_serde::Deserializer<I> for PostcardFormat<I, O> {
    type Error = io::Error;

    fn deserialize(self: pin::Pin<&mut Self>, frame: &BytesMut) -> Result<I, Self::Error> {
        postcard::from_bytes(frame).map_err(invalid_data)
    }
}

impl<I, O: ser::Serialize> tokio_serde::Serializer<O> for PostcardFormat<I, O> {
    type Error = io::Error;

    fn serialize(self: pin::Pin<&mut Self>, message: &O) -> Result<Bytes, Self::Error> {
        postcard::to_stdvec(message)
            .map(Bytes::from)
            .map_err(invalid_data)
    }
}
