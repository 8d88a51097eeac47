// Package rept is a proxy for HTTP/1.1 on loopback that gives each answer again on the connection
// on which it came: at once, and when the next request arrives there.
package rept
