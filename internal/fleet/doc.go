// Package fleet runs a whole deployment in one process on loopback: stand-ins for
// the platform and the database groups, and real entry instances. It serves the
// demo, benchmarks and failure tests.
package fleet
