// Package bench offers a deployment bounded open-loop load, injections it with
// faults by name, checks every answer against the promises and reports the
// measures.
package bench
