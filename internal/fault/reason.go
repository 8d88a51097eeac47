package fault

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the reason why a request was refused or retried, or why its outcome is unknown.
type Reason uint8

// The reasons.
const (
	None                Reason = iota // none
	KeyRefused                        // key-refused
	KeyWithdrawn                      // key-withdrawn
	KeyUnchecked                      // key-unchecked
	PlaintextKey                      // plaintext-key
	BadStartup                        // bad-startup
	BadMessage                        // bad-message
	NotSupported                      // not-supported
	RateExceeded                      // rate-exceeded
	RateUnavailable                   // rate-unavailable
	QueueFull                         // queue-full
	QueueLate                         // queue-late
	NoServer                          // no-server
	NoPrimary                         // no-primary
	NoOwner                           // no-owner
	FloorUnreached                    // floor-unreached
	ConnectFailed                     // connect-failed
	ServerFull                        // server-full
	ServerReadOnly                    // server-read-only
	ServerStopping                    // server-stopping
	ConnectionLost                    // connection-lost
	AnswerLost                        // answer-lost
	AnswerUnconfirmed                 // answer-unconfirmed
	PrimaryReplaced                   // primary-replaced
	TransactionLost                   // transaction-lost
	TransactionIdle                   // transaction-idle
	PeerLost                          // peer-lost
	DeadlinePassed                    // deadline-passed
	Cancelled                         // cancelled
	ShuttingDown                      // shutting-down
	AnswerTooLarge                    // answer-too-large
	ConnectionSilent                  // connection-silent
	ServerBusy                        // server-busy
	ServerFailed                      // server-failed
	RouteGone                         // route-gone
	NotReady                          // not-ready
	OtherOwnerPreferred               // better-placed
	MessageTooLong                    // message-too-long
	MessageCut                        // message-cut
	Evacuated                         // evacuated
	NoHomeServer                      // no-home-server
	reasonCount
)

// Reasons returns every reason but None.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := None + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// sqlStates gives the SQLSTATE for each reason of a request that did not run.
var sqlStates = map[Reason]string{
	KeyRefused: "28P01", KeyWithdrawn: "28000", KeyUnchecked: "28000", PlaintextKey: "28000",
	BadStartup: "08P01", BadMessage: "08P01", MessageTooLong: "08P01", MessageCut: "08P01", NotSupported: "0A000",
	RateExceeded: "53400", RateUnavailable: "53400", QueueFull: "53300", QueueLate: "53300",
	NoServer: "57P03", NoPrimary: "57P03", NoOwner: "57P03", FloorUnreached: "57P03",
	ConnectFailed: "57P03", ServerFull: "53300", ServerReadOnly: "57P03", ServerStopping: "57P03",
	ConnectionLost: "08006", PrimaryReplaced: "57P03", TransactionLost: "40001", TransactionIdle: "25P03",
	PeerLost: "57P03", DeadlinePassed: "57014", Cancelled: "57014", ShuttingDown: "57P01", AnswerTooLarge: "54000",
	ConnectionSilent: "08006", ServerBusy: "53300", ServerFailed: "57P03", RouteGone: "3D000", NotReady: "57P03", Evacuated: "57P03", NoHomeServer: "57P03", OtherOwnerPreferred: "57P03",
}

// UnknownSQLState is the SQLSTATE of every request whose outcome is unknown.
const UnknownSQLState = "08007"

// Fault describes a request that was refused or whose outcome is unknown.
type Fault struct {
	Reason  Reason
	Outcome Outcome
	Trace   ident.TraceID
	// RetryAfter is the time after which a retry is likely to succeed; 0 if unknown. It is told only
	// to callers whose request has not run.
	RetryAfter time.Duration
	// TxRolledBack is set if the caller's open transaction was rolled back with the request.
	TxRolledBack bool
	// Fatal is set if the caller's connection ends with the fault.
	Fatal bool
	// Evidence describes the data on which the decision is based and its age, for the log.
	Evidence string
}

// Error implements error.
func (f *Fault) Error() string { return f.message() }

// SQLState returns the SQLSTATE that is sent to the caller.
func (f *Fault) SQLState() string {
	if f.Outcome.Unknown() {
		return UnknownSQLState
	}
	if state, ok := sqlStates[f.Reason]; ok {
		return state
	}
	return "XX000"
}

func (f *Fault) message() string {
	switch {
	case f.Outcome.NotRun():
		return fmt.Sprintf("not run: %s", f.Reason)
	case f.Outcome.Unknown():
		return fmt.Sprintf("outcome unknown: %s", f.Reason)
	default:
		return f.Reason.String()
	}
}

// Response returns the fault as an error message of the PostgreSQL protocol.
func (f *Fault) Response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.Fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.SQLState(), Message: f.message(),
		Detail: f.detail(), Hint: f.hint(),
	}
}

func (f *Fault) detail() string {
	text := fmt.Sprintf("reason=%s outcome=%s trace=%s", f.Reason, f.Outcome.Label(), f.Trace)
	if f.RetryAfter > 0 && f.Outcome.NotRun() {
		text += fmt.Sprintf(" retry-after=%s", f.RetryAfter.Round(time.Millisecond))
	}
	return text
}

func (f *Fault) hint() string {
	switch {
	case f.Outcome.NotRun() && f.TxRolledBack:
		return "The transaction was rolled back; it can be run again from its beginning."
	case f.Outcome.NotRun():
		return "Nothing of this request took effect; it can be sent again."
	case f.Outcome.Unknown():
		return "This request may have taken effect; look before sending it again."
	}
	return ""
}
