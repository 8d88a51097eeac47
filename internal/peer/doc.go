// Package peer links the instances: WebSocket connections that carry CBOR.
//
// A link carries requests to a group's owner, questions with one answer, and
// one-way news. Links are opened when they are needed, authenticated on both
// ends, and closed when the other side falls silent. Messages carry a version;
// unknown fields and kinds of a neighbouring release are passed over.
package peer
