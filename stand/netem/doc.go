// Package netem wraps dialers so that connections between data centres take time
// and can be cut, by place or one by one.
package netem
