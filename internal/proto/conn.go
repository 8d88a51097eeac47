package proto

import (
	"context"
	"net"

	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// Dialer opens connections; tests put faults here.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Target says which server to connect to, and on whose behalf.
type Target struct {
	Server  ident.ServerID
	Address string
	Group   ident.GroupID
	// Customer is told to servers whose connections belong to one customer each.
	Customer ident.CustomerID
}

// Driver connects to servers in one dialect.
type Driver interface {
	// Dial opens a connection.
	Dial(ctx context.Context, t Target) (Conn, error)
	// PerCustomer reports whether a connection serves one customer only.
	PerCustomer() bool
	// Proves reports whether a request can ask the server to hold Request.After.
	Proves() bool
	// Promote makes a sealed server lead the term; false means that it refused.
	Promote(ctx context.Context, c Conn, t Target, o Order) (bool, error)
}

// Order tells a server to lead a term.
type Order struct {
	Term     ident.Term
	Claimant group.Claimant
	// Claim numbers the claim that covers the order; Covered reports whether it still does.
	Claim   uint64
	Covered func() bool
}

// Conn is a connection to a server; but for Interrupt it is not safe for concurrent use.
type Conn interface {
	// Run sends a request and hands its answer to sink. On a *RunError the
	// connection is of no more use; everything else left it clean or closed.
	Run(ctx context.Context, r *Request, sink Sink) (Answer, error)
	// Status asks the server for its place in its group.
	Status(ctx context.Context) (group.Status, error)
	// Seal makes the server follow no term below the given one; false means that it refused.
	Seal(ctx context.Context, term ident.Term, claimant group.Claimant) (bool, error)
	// Follow points the server at the primary of a term.
	Follow(ctx context.Context, term ident.Term, primary ident.ServerID) error
	// Release lets a sealed server follow its primary again.
	Release(ctx context.Context) error
	// Clean reports whether the connection is open and nothing unasked has arrived on it.
	Clean() bool
	// Crowded reports that so much state is kept on the connection that it is better closed.
	Crowded() bool
	// Taint makes the next use of the connection reset its settings first.
	Taint()
	// Interrupt stops the request that runs because the connection seems to have gone
	// silent; it may be called by another goroutine.
	Interrupt()
	// Close ends the connection at once.
	Close()
}
