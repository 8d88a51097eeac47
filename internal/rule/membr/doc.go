// Package membr tracks which instances are alive and assigns work to them.
//
// Assignment is an optimisation only: two instances with different views may
// assign the same work differently, so operations that must not happen twice
// are protected elsewhere.
package membr
