// Package netem emulates a network between data centres: it wraps dialers so that
// connections have latency and data centres can be partitioned.
package netem
