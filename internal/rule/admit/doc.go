// Package admit decides which requests wait for a backend server, which are refused at
// once and how many run concurrently.
//
// Each file handles one kind of overload: limiter.go a server that is slow or refuses some
// of its requests, queue.go a burst and a customer that sends many times its usual rate,
// primary.go the loss of the primary, connections.go a server that accepts few connections
// for the number of instances. All of it is pure: callers pass in the time and random numbers.
package admit
