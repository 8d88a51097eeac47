package group

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Claimant identifies one run of an instance; a restarted instance is a new claimant.
type Claimant string

// Record is the state of a group that is stored on the platform.
type Record struct {
	Term     ident.Term     `json:"term"`
	Primary  ident.ServerID `json:"primary,omitempty"`
	Claimant Claimant       `json:"claimant"`
	// Settled is set once the primary has been promoted in the term.
	Settled bool `json:"settled"`
	// Claim numbers the claims of a fenced group; ReplacedTerm is the term whose
	// primary the claim is to replace.
	Claim        uint64     `json:"claim,omitempty"`
	ReplacedTerm ident.Term `json:"from,omitempty"`
	// Earlier counts the claims before this one that were to replace the same term.
	Earlier int `json:"earlier,omitempty"`
	// Members are the servers of a fenced group that a claim has to seal, except the primary.
	// Only what a member has received counts for acknowledgements.
	Members []Member `json:"members,omitempty"`
	// Former are members that are being removed: claims have to seal them, but they prove nothing any more.
	Former []FormerMember `json:"former,omitempty"`
	// Candidates are the servers of which the last claim may have ordered one to lead.
	Candidates []Member `json:"candidates,omitempty"`
	// Holder is the instance that claimed last, in whatever run. Fence is the number that its orders carry: the
	// number of the claim with which it took the place of another holder.
	Holder ident.InstanceID `json:"holder,omitempty"`
	Fence  uint64           `json:"fence,omitempty"`
	// Epoch is the epoch of the platform's store at the last claim; records of earlier releases have none.
	Epoch ident.Epoch `json:"epoch,omitempty"`
	// Ordering is set before Holder sends an order, until each order that it has sent is known to be settled.
	Ordering bool `json:"ordering,omitempty"`
}

// Event is an input to a Machine.
type Event interface{ isEvent() }

// Tick reports that time has passed; it drives deadlines and failure detection.
type Tick struct{}

// Polled reports a server's answer to a status poll.
type Polled struct {
	Status Status
	// Asked is when the poll was sent; zero means just now.
	Asked time.Time
}

// PollFailed reports that a server did not answer a status poll.
type PollFailed struct {
	Server ident.ServerID
	// NewConn is set if a new connection failed as well, so that one dead connection is not
	// mistaken for a dead server.
	NewConn bool
	// Refused is set if the host refused the connection because nothing listens on the port.
	Refused bool
}

// PeerView reports whether a server answers another instance.
type PeerView struct {
	Instance ident.InstanceID
	Server   ident.ServerID
	Answers  bool
}

// Recorded reports the record that is stored on the platform; zero if it is unknown.
type Recorded struct {
	Record Record
	// Version is the version of the record's object; 0 if the group is not fenced.
	Version ident.Version
}

// Claimed is the result of a Claim: granted, not answered by the platform, or otherwise
// lost to the claim in Record.
type Claimed struct {
	Term ident.Term
	// Granted is set if the claim was granted.
	Granted bool
	// PlatformDown is set if the platform did not answer.
	PlatformDown bool
	// Restored is set if the platform's store came back from an older copy before or during the
	// claim.
	Restored bool
	// Record is the platform's record after the claim, Version that of its object.
	Record  Record
	Version ident.Version
}

// Sealed is the result of a Seal; OK is false if the server refused or did not answer, and Status then
// holds only its name.
type Sealed struct {
	Term   ident.Term
	OK     bool
	Status Status
}

// Promoted is the result of a Promote; OK is false if the server was not promoted.
type Promoted struct {
	Term   ident.Term
	Server ident.ServerID
	OK     bool
}

func (Tick) isEvent()       {}
func (Polled) isEvent()     {}
func (PollFailed) isEvent() {}
func (PeerView) isEvent()   {}
func (Recorded) isEvent()   {}
func (Claimed) isEvent()    {}
func (Sealed) isEvent()     {}
func (Promoted) isEvent()   {}

// Action is an output of a Machine for its caller to carry out.
type Action interface{ isAction() }

// Claim asks for a term by a conditional update of the platform's record.
type Claim struct {
	Record Record
	// LastClaim is the number of the last claim that the claimant knew of.
	LastClaim uint64
	// Epoch is the epoch of the platform's store in which the claim is made.
	Epoch ident.Epoch
	// Outwaited is the number of the last claim, if its orders may still be under way and the claimant has
	// waited for as long as one can take.
	Outwaited uint64
}

// Seal asks a server to follow no term below Held, for the attempt that is numbered Term.
type Seal struct {
	Server ident.ServerID
	Term   ident.Term
	// Held is Term, or in a fenced group the term that its next primary will lead, since the
	// promotion ends seals up to that term only.
	Held     ident.Term
	Claimant Claimant
}

// Promote asks a sealed server to become the primary of Term.
type Promote struct {
	Server   ident.ServerID
	Term     ident.Term
	Claimant Claimant
	Claim    uint64
	// Fence is the number that the order carries.
	Fence uint64
	// Sealed is what the server reported when it was sealed, in a fenced group.
	Sealed Status
	// NotBefore is the earliest time to send the order, so that read leases at the old
	// primary have expired; zero means at once.
	NotBefore time.Time
	// Until is when the claim stops covering the order; zero means never.
	Until time.Time
}

// Allows reports whether the order may be sent to a server with the given status. A server that has started
// again since it was sealed has lost its seal, and perhaps its log.
func (p Promote) Allows(s Status) bool {
	return s.Sealed >= p.Sealed.Sealed && (s.LogTerm > p.Sealed.LogTerm || s.LogTerm == p.Sealed.LogTerm && s.Received >= p.Sealed.Received)
}

// ChangeMembers changes the members in the platform's record by a conditional update.
type ChangeMembers struct {
	// Term is the current term. Members are added only if no claim on it or on a later one is
	// recorded, or just the one numbered Claim and ClaimExpired is set.
	Term         ident.Term
	Claim        uint64
	ClaimExpired bool
	// Epoch is the epoch of the platform's store in which members may be added.
	Epoch ident.Epoch
	Added []Member
	// Retired are members that become former ones.
	Retired []Member
	// Removed are members that have started again, Forgotten former members that no instance relies on any more.
	Removed   []Member
	Forgotten []FormerMember
}

// Publish stores the new primary in the platform's record.
type Publish struct{ Record Record }

// Follow makes a server replicate from the primary of a term.
type Follow struct {
	Server  ident.ServerID
	Term    ident.Term
	Primary ident.ServerID
}

// Release removes a server's seal, so that it follows its primary again.
type Release struct{ Server ident.ServerID }

// JournalEntry asks for an entry in the journal.
type JournalEntry struct {
	Decision NoteKind
	Server   ident.ServerID
	Term     ident.Term
	// Evidence describes the observations behind the entry.
	Evidence string
}

func (Claim) isAction()         {}
func (Seal) isAction()          {}
func (Promote) isAction()       {}
func (ChangeMembers) isAction() {}
func (Publish) isAction()       {}
func (Follow) isAction()        {}
func (Release) isAction()       {}
func (JournalEntry) isAction()  {}

//go:generate go tool stringer -type=NoteKind -linecomment -output=notekind_string.go

// NoteKind is the kind of a journal entry.
type NoteKind uint8

// The kinds of journal entries.
const (
	Suspected        NoteKind = iota // primary-suspected
	Recovered                        // primary-recovered
	Claiming                         // term-claimed
	ClaimLost                        // claim-lost
	ClaimNotRecorded                 // claim-without-platform
	Sealing                          // majority-sealed
	SealFailed                       // seal-failed
	Promoting                        // server-promoted
	Confirmed                        // primary-confirmed
	Repointed                        // server-repointed
	TailDropped                      // tail-discarded
)

// Timing holds the time-outs of a Machine.
type Timing struct {
	// Silence is how long a primary may be unreachable before it is suspected.
	Silence time.Duration
	// PathSilence is how long a primary that its replicas still hear from may be
	// unreachable for all instances.
	PathSilence time.Duration
	// Stagger is the delay that each rank adds before an instance acts.
	Stagger time.Duration
	// StepTime is the deadline of each step of a promotion attempt.
	StepTime time.Duration
}
