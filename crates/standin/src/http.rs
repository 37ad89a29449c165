//! All of them on sockets.
