// Package peer connects the instances by WebSocket links that carry CBOR frames.
//
// A link carries forwarded requests with streamed responses, queries with one response,
// and one-way notifications. Links are opened on demand, authenticated by a shared
// secret and, with TLS, by the certificates of both ends, and closed when the peer stops
// sending. The handshake agrees on a protocol version; message fields and kinds that only a
// newer release knows are ignored.
package peer
