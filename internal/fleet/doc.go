// Package fleet runs a whole deployment in one process on loopback: the stand-ins
// of the platform and of the database groups, and real entry instances. It is for
// demonstrations, measurements and tests of failures.
package fleet
