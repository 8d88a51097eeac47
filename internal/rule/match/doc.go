// Package match decides which request of a connection an answer belongs to, where answers do not name their request.
//
// It relies on three premises: a server answers the requests of a connection in order, each at least once, or the
// connection ends; any further answer is a copy of one given before on the connection, whenever it comes; and the
// signature of a run is given to no other run.
package match
