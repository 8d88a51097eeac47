// Package dbase stands in for the platform's database groups: a primary and
// replicas that speak the PostgreSQL protocol, keep one table in memory and can
// be told to fail.
//
// It knows the table ledger(id text primary key, value text) and the control
// functions group_status, group_seal, group_promote and group_follow.
package dbase
