// Package review turns journal events into an explanation: what happened, what
// the system did about it and why, what it cost whom, and what remains unknown.
package review
