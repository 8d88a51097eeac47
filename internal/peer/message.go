package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// Range of supported protocol versions; a link is rejected unless the ranges of both ends
// overlap.
const (
	minProtocol = 1
	maxProtocol = exactVersions
	// exactVersions is the first version in which the configuration's version may be beyond what fits in one number.
	exactVersions = 2
)

// forProtocol returns the message as a peer of the given protocol version reads it. Earlier releases cut the number of
// a configuration, and would end the link over one that is not cut.
func forProtocol(m any, protocol int) any {
	if protocol >= exactVersions {
		return m
	}
	switch m := m.(type) {
	case Heartbeat:
		m.Version = m.Version.Cut()
		return m
	case ConfigRequest:
		m.Have = m.Have.Cut()
		return m
	case ConfigResponse:
		m.Version = m.Version.Cut()
		return m
	default:
		return m
	}
}

// Message is a message between instances.
type Message interface{ isMessage() }

// Hello is the first message of each end of a link, with the range of protocol versions
// that it supports.
type Hello struct {
	MinProtocol int              `cbor:"1,keyasint"`
	MaxProtocol int              `cbor:"2,keyasint"`
	Instance    ident.InstanceID `cbor:"3,keyasint"`
	Center      ident.CenterID   `cbor:"4,keyasint"`
}

// Heartbeat shows that the sender is alive and which versions of shared state it has.
type Heartbeat struct {
	// Version is the configuration version in use at the sender.
	Version ident.Version `cbor:"1,keyasint"`
	// Checked is how long ago the sender last confirmed that Version is the platform's
	// latest.
	Checked time.Duration `cbor:"2,keyasint"`
	// Leaving is set if the sender is shutting down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// List is the version of the sender's list of instances, ListHash the hash of its
	// content.
	List     ident.Version `cbor:"5,keyasint,omitzero"`
	ListHash uint64        `cbor:"6,keyasint,omitempty"`
	// Servers is the version of the sender's list of backend servers.
	Servers ident.Version `cbor:"7,keyasint,omitzero"`
	// EpochSeconds is how long the sender has known the platform's epoch, up to
	// MaxEpochSeconds.
	EpochSeconds uint8 `cbor:"8,keyasint,omitempty"`
	// Sent is when the sender's link sent the heartbeat, by the sender's clock, in milliseconds.
	Sent uint64 `cbor:"9,keyasint,omitempty"`
	// Echo is Sent of the last heartbeat that the sender has received over the link, 0 if there was
	// none, and EchoAge the milliseconds since it received that one.
	Echo    uint64 `cbor:"10,keyasint,omitempty"`
	EchoAge uint64 `cbor:"11,keyasint,omitempty"`
	// Evacuations is the version of the sender's list of evacuated data centres.
	Evacuations ident.Version `cbor:"12,keyasint,omitzero"`
	// Transit is the longest time that the heartbeat may have been on its way, set by the link that
	// received it; UnknownTransit if nothing bounds it.
	Transit time.Duration `cbor:"-"`
}

// UnknownTransit is the Transit of a heartbeat whose sender had not heard from the receiver yet.
const UnknownTransit = time.Duration(-1)

// MaxEpochSeconds is the longest age of an epoch that a heartbeat reports.
const MaxEpochSeconds = 60

// Epoch returns the platform's epoch that the sender's lists are of.
func (b Heartbeat) Epoch() ident.Epoch { return ident.Latest(b.List, b.Servers).Epoch() }

// ServerReport reports whether a backend server answers the sender.
type ServerReport struct {
	Group   ident.GroupID  `cbor:"1,keyasint"`
	Server  ident.ServerID `cbor:"2,keyasint"`
	Answers bool           `cbor:"3,keyasint"`
}

// TokensRequest requests tokens of a customer's rate; the response is TokensResponse.
type TokensRequest struct {
	TokenRequest quota.TokenRequest `cbor:"1,keyasint"`
}

// TokensResponse grants tokens to the requester.
type TokensResponse struct {
	TokenResponse quota.TokenResponse `cbor:"1,keyasint"`
}

// ConfigRequest requests the head of the configuration in use, and the pages named; Have is the
// version that the sender has. The response is ConfigResponse.
type ConfigRequest struct {
	Have  ident.Version   `cbor:"1,keyasint"`
	Pages []conf.PageName `cbor:"2,keyasint,omitempty"`
}

// ConfigResponse has the head of the configuration in use and the requested pages.
type ConfigResponse struct {
	Version ident.Version            `cbor:"1,keyasint"`
	Head    conf.Head                `cbor:"2,keyasint"`
	Pages   map[conf.PageName][]byte `cbor:"3,keyasint,omitempty"`
}

// EvacuationsRequest requests the list of evacuated data centres; the response is EvacuationsResponse.
type EvacuationsRequest struct{}

// EvacuationsResponse has the list of evacuated data centres.
type EvacuationsResponse struct {
	Evacuations conf.Evacuations `cbor:"1,keyasint"`
}

// ServersRequest requests the list of backend servers; the response is ServersResponse.
type ServersRequest struct{}

// ServersResponse has the list of backend servers.
type ServersResponse struct {
	Listing conf.Listing `cbor:"1,keyasint"`
}

// ShareRequest requests or renews leases on rate shares at the instance that writes the table
// of shares; the response is ShareResponse.
type ShareRequest struct {
	Requests []share.Request `cbor:"1,keyasint"`
}

// ShareResponse has the granted leases.
type ShareResponse struct {
	Grants []share.Grant `cbor:"1,keyasint"`
}

// ShareHandover hands rate shards over to their next holder; the response is HandoverAck.
type ShareHandover struct {
	Handover quota.Handover `cbor:"1,keyasint"`
}

// HandoverAck confirms that the new holder has taken over the shards.
type HandoverAck struct{}

// MembersRequest requests the platform's list of instances; the response is MembersResponse.
type MembersRequest struct{}

// MembersResponse has the list of instances and its version.
type MembersResponse struct {
	Version ident.Version  `cbor:"1,keyasint"`
	Members []membr.Member `cbor:"2,keyasint"`
}

// RecordRequest requests a group's record that was read from the platform's store at most MaxAge ago; the response
// is RecordResponse, or none if the store does not answer.
type RecordRequest struct {
	Group ident.GroupID `cbor:"1,keyasint"`
	// MaxAge is 0 in requests of earlier releases, which take the record for one that is read on the request.
	MaxAge time.Duration `cbor:"2,keyasint,omitempty"`
}

// RecordResponse has a group's record and its version.
type RecordResponse struct {
	Record  group.Record  `cbor:"1,keyasint"`
	Version ident.Version `cbor:"2,keyasint"`
	// Age is how long before the request arrived the read was begun; 0 if it was begun later, as in earlier releases.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// SuspicionReport propagates a suspicion of one instance about another, or its withdrawal.
type SuspicionReport struct {
	Suspicion membr.Suspicion `cbor:"1,keyasint"`
}

// RemoteCancel forwards a caller's cancel request to the instance that issued the process
// number and secret in it.
type RemoteCancel struct {
	Process uint32 `cbor:"1,keyasint"`
	Secret  uint32 `cbor:"2,keyasint"`
}

// JournalRequest requests the journal events since a time; the response is JournalResponse.
type JournalRequest struct {
	Since time.Time `cbor:"1,keyasint"`
}

// JournalResponse has the journal events.
type JournalResponse struct {
	Events []jrnl.Event `cbor:"1,keyasint"`
}

// TxRollback requests the rollback of a transaction that the sender had open.
type TxRollback struct {
	Group ident.GroupID `cbor:"1,keyasint"`
	Tx    owner.TxID    `cbor:"2,keyasint"`
}

// Retire asks to close a link that the sender does not need and has taken out of use.
type Retire struct{}

// RetireAnswer is the answer to Retire, and the last message of its sender on the link if it agrees.
type RetireAnswer struct {
	Agreed bool `cbor:"1,keyasint,omitempty"`
}

func (Hello) isMessage()               {}
func (Heartbeat) isMessage()           {}
func (ServerReport) isMessage()        {}
func (TokensRequest) isMessage()       {}
func (TokensResponse) isMessage()      {}
func (ConfigRequest) isMessage()       {}
func (ConfigResponse) isMessage()      {}
func (RemoteCancel) isMessage()        {}
func (JournalRequest) isMessage()      {}
func (JournalResponse) isMessage()     {}
func (TxRollback) isMessage()          {}
func (ShareRequest) isMessage()        {}
func (SuspicionReport) isMessage()     {}
func (ShareHandover) isMessage()       {}
func (HandoverAck) isMessage()         {}
func (ShareResponse) isMessage()       {}
func (MembersRequest) isMessage()      {}
func (MembersResponse) isMessage()     {}
func (ServersRequest) isMessage()      {}
func (ServersResponse) isMessage()     {}
func (EvacuationsRequest) isMessage()  {}
func (EvacuationsResponse) isMessage() {}
func (RecordRequest) isMessage()       {}
func (RecordResponse) isMessage()      {}
func (Retire) isMessage()              {}
func (RetireAnswer) isMessage()        {}

// kind is the type of a frame on the wire; numbers are never reused.
type kind uint8

const (
	kindHello               kind = 1
	kindHeartbeat           kind = 2
	kindServerReport        kind = 3
	kindTokensRequest       kind = 4
	kindTokensResponse      kind = 5
	kindConfigRequest       kind = 6
	kindConfigResponse      kind = 7
	kindRemoteCancel        kind = 8
	kindJournalRequest      kind = 9
	kindJournalResponse     kind = 10
	kindTxRollback          kind = 11
	kindShareRequest        kind = 12
	kindShareResponse       kind = 13
	kindMembersRequest      kind = 14
	kindMembersResponse     kind = 15
	kindSuspicionReport     kind = 16
	kindServersRequest      kind = 17
	kindServersResponse     kind = 18
	kindShareHandover       kind = 24
	kindHandoverAck         kind = 25
	kindRecordRequest       kind = 28
	kindRecordResponse      kind = 29
	kindRetire              kind = 26
	kindRetireAnswer        kind = 27
	kindEvacuationsRequest  kind = 30
	kindEvacuationsResponse kind = 31
	kindWork                kind = 20
	kindChunk               kind = 21
	kindResult              kind = 22
	kindCancel              kind = 23
)

// frame is one CBOR item on a link; a WebSocket message has one or more.
type frame struct {
	Kind   kind            `cbor:"1,keyasint"`
	Stream uint64          `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// chunk is a part of a streamed response.
type chunk struct {
	Bytes []byte `cbor:"1,keyasint"`
	// Number counts the chunks of a response from 1; earlier releases don't count them.
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// result is the last frame of a streamed response.
type result struct {
	Result *owner.Result `cbor:"1,keyasint"`
	Bytes  []byte        `cbor:"2,keyasint,omitempty"`
	// Chunks is the number of numbered chunks before it.
	Chunks uint64 `cbor:"3,keyasint,omitempty"`
}

func kindOf(m Message) kind {
	switch m.(type) {
	case Hello:
		return kindHello
	case Heartbeat:
		return kindHeartbeat
	case ServerReport:
		return kindServerReport
	case TokensRequest:
		return kindTokensRequest
	case TokensResponse:
		return kindTokensResponse
	case ConfigRequest:
		return kindConfigRequest
	case ConfigResponse:
		return kindConfigResponse
	case RemoteCancel:
		return kindRemoteCancel
	case JournalRequest:
		return kindJournalRequest
	case JournalResponse:
		return kindJournalResponse
	case TxRollback:
		return kindTxRollback
	case SuspicionReport:
		return kindSuspicionReport
	case ShareHandover:
		return kindShareHandover
	case HandoverAck:
		return kindHandoverAck
	case RecordRequest:
		return kindRecordRequest
	case RecordResponse:
		return kindRecordResponse
	case ShareRequest:
		return kindShareRequest
	case ShareResponse:
		return kindShareResponse
	case MembersRequest:
		return kindMembersRequest
	case MembersResponse:
		return kindMembersResponse
	case ServersRequest:
		return kindServersRequest
	case ServersResponse:
		return kindServersResponse
	case EvacuationsRequest:
		return kindEvacuationsRequest
	case EvacuationsResponse:
		return kindEvacuationsResponse
	case Retire:
		return kindRetire
	case RetireAnswer:
		return kindRetireAnswer
	}
	return 0
}

// decode decodes a message; it returns nil for a kind that this release does not know.
func decode(k kind, body []byte) (Message, error) {
	switch k {
	case kindHello:
		return decodeAs[Hello](body)
	case kindHeartbeat:
		return decodeAs[Heartbeat](body)
	case kindServerReport:
		return decodeAs[ServerReport](body)
	case kindTokensRequest:
		return decodeAs[TokensRequest](body)
	case kindTokensResponse:
		return decodeAs[TokensResponse](body)
	case kindConfigRequest:
		return decodeAs[ConfigRequest](body)
	case kindConfigResponse:
		return decodeAs[ConfigResponse](body)
	case kindRemoteCancel:
		return decodeAs[RemoteCancel](body)
	case kindJournalRequest:
		return decodeAs[JournalRequest](body)
	case kindJournalResponse:
		return decodeAs[JournalResponse](body)
	case kindTxRollback:
		return decodeAs[TxRollback](body)
	case kindSuspicionReport:
		return decodeAs[SuspicionReport](body)
	case kindShareHandover:
		return decodeAs[ShareHandover](body)
	case kindHandoverAck:
		return decodeAs[HandoverAck](body)
	case kindShareRequest:
		return decodeAs[ShareRequest](body)
	case kindShareResponse:
		return decodeAs[ShareResponse](body)
	case kindMembersRequest:
		return decodeAs[MembersRequest](body)
	case kindMembersResponse:
		return decodeAs[MembersResponse](body)
	case kindServersRequest:
		return decodeAs[ServersRequest](body)
	case kindServersResponse:
		return decodeAs[ServersResponse](body)
	case kindRecordRequest:
		return decodeAs[RecordRequest](body)
	case kindRecordResponse:
		return decodeAs[RecordResponse](body)
	case kindEvacuationsRequest:
		return decodeAs[EvacuationsRequest](body)
	case kindEvacuationsResponse:
		return decodeAs[EvacuationsResponse](body)
	case kindRetire:
		return decodeAs[Retire](body)
	case kindRetireAnswer:
		return decodeAs[RetireAnswer](body)
	}
	return nil, nil
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, &Error{Cause: BadMessage, Detail: err.Error()}
	}
	return m, nil
}

// maxItems is the maximum number of elements of an array or map in a message.
const maxItems = 1 << 20

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeFrame(k kind, stream uint64, body any) ([]byte, error) {
	f := frame{Kind: k, Stream: stream}
	if body != nil {
		data, err := encMode.Marshal(body)
		if err != nil {
			return nil, &Error{Cause: BadMessage, Detail: err.Error()}
		}
		f.Body = data
	}
	return encMode.Marshal(f)
}
