// Package clock reads the clock that goes on while a machine is suspended, for
// everything that guards a promise: leases, ages, shares.
package clock
