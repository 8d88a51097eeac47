// Package certs loads TLS certificates, reloads them when their files change, and
// generates short-lived ones for demonstrations and tests.
package certs
