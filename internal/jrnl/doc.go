// Package jrnl keeps what the system did and why: typed events in a bounded
// ring, each counted and logged as it happens.
package jrnl
