// Package lproxy is a TCP proxy on loopback that delays, drops, refuses and resets connections,
// and delays, cuts and loses the answers to chosen data, or any data in one direction.
package lproxy
