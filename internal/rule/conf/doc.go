// Package conf holds the fleet's configuration: one set of defaults, the
// customers, keys, services, routes and database groups, and the named
// exceptions from the defaults.
//
// It is pure. Check finds every mistake at once; a Snapshot answers a request's
// questions without locks; Split and Join cut a configuration into pages so that
// a change moves little.
package conf
