// Package proto defines what the session engine and the wire protocols of backend
// servers (dialects) share: requests, whose content only a dialect interprets, the
// connections that run them, and the ways in which a request can end.
package proto
