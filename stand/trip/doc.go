// Package trip counts faults down to the moment they happen.
package trip
