// Package dbase is a stand-in for the platform's database groups: a primary and
// replicas that speak the PostgreSQL protocol, keep one table in memory and
// support fault injection.
//
// It supports the table ledger(id text primary key, value text) and the control
// functions group_status, group_seal, group_promote and group_follow.
package dbase
