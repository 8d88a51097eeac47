// Package oper serves an instance's operator API over HTTP: metrics, health and
// readiness checks, status, and the journal.
package oper
