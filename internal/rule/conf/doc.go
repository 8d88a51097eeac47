// Package conf holds the fleet's configuration: one set of defaults, the
// customers, keys, services, routes and database groups, and the named
// exceptions from the defaults.
//
// The package does no I/O. Check reports all mistakes at once; a Snapshot is immutable
// and is read by requests without locks; Split and Join convert a configuration to and
// from pages, so that a small change rewrites and transfers few of them.
package conf
