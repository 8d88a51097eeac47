// Package entry is one entry instance: it takes callers' connections and wires
// the parts that serve them.
package entry
