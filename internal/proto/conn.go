package proto

import (
	"context"
	"net"
	"time"

	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// Dialer opens network connections; tests replace it to inject faults.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Target says which server to connect to, and on whose behalf.
type Target struct {
	Server  ident.ServerID
	Address string
	Group   ident.GroupID
	// Customer is whom the connection serves, for drivers with one customer per
	// connection; empty for a connection of the proxy's own.
	Customer ident.CustomerID
	// Report receives what the connection finds wrong with the server's messages; it may be nil and must not block.
	Report func(Finding)
}

// Driver connects to servers that speak one dialect.
type Driver interface {
	// Dial opens a connection.
	Dial(ctx context.Context, t Target) (Conn, error)
	// PerCustomer reports whether a connection serves one customer only.
	PerCustomer() bool
	// ChecksFloor reports whether servers check Request.RequiredFloor.
	ChecksFloor() bool
	// Fenced reports whether servers count terms themselves and know no claimants, so that orders to lead need the
	// number of a recorded claim.
	Fenced() bool
	// Promote makes a sealed server the primary of the term.
	Promote(ctx context.Context, c Conn, t Target, o PromotionOrder) (Promotion, error)
}

// PromotionOrder is the order to promote a server to primary of a term.
type PromotionOrder struct {
	Term     ident.Term
	Claimant group.Claimant
	// Fence is the number that the order carries; ClaimValid reports, before each attempt, whether the claim
	// under which it is given is still valid and the server as it was sealed. Until is when the claim
	// expires, by internal/clock; zero means never.
	Fence      uint64
	ClaimValid func() bool
	Until      time.Time
}

// Promotion is the outcome of a PromotionOrder.
type Promotion struct {
	// Accepted is set if the order was accepted; otherwise it was refused or its claim has expired.
	Accepted bool
	// Unsettled is set if an attempt was sent and not answered, so that it may still take effect.
	Unsettled bool
}

// Conn is a connection to a server. Except for Interrupt it is not safe for concurrent use.
type Conn interface {
	// Run sends a request and passes its answer to sink. After a *RunError the
	// connection is unusable; otherwise it can be reused if Condition returns Usable.
	Run(ctx context.Context, r *Request, sink Sink) (Answer, error)
	// Status queries the server's status in its group. With a *DoubtError the status may be one that the connection
	// has reported before.
	Status(ctx context.Context) (group.Status, error)
	// Seal makes the server refuse every term below the given one; false means that the
	// server refused the seal.
	Seal(ctx context.Context, term ident.Term, claimant group.Claimant) (bool, error)
	// Follow makes the server replicate from the primary of the term.
	Follow(ctx context.Context, term ident.Term, primary ident.ServerID) error
	// Release unseals a server, so that it follows its primary again.
	Release(ctx context.Context) error
	// Condition returns whether the connection can be reused, and why not.
	Condition() Condition
	// Exhausted reports whether the connection has been used so much that it should be closed instead of reused.
	Exhausted() bool
	// Distrust makes the connection take no answer that could be a copy of an earlier one, because the server is
	// known to repeat answers.
	Distrust()
	// InvalidateSettings makes the next use of the connection reset its session settings first.
	InvalidateSettings()
	// Interrupt aborts the running request because the connection seems dead; it may be
	// called from another goroutine.
	Interrupt()
	// Close ends the connection at once.
	Close()
}
