// Package trip counts faults down to the moment they strike.
package trip
