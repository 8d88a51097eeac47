// Package entry implements an entry instance: it accepts connections from callers and
// wires together the components that serve them.
package entry
