// Package certs loads certificates, reloads them when their files change, and
// makes throw-away ones for demonstrations and tests.
package certs
