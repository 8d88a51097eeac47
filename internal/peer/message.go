package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// Range of supported protocol versions; a link is rejected unless the ranges of both ends
// overlap.
const (
	minProtocol = 1
	maxProtocol = 1
)

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
	List     ident.Version `cbor:"5,keyasint,omitempty"`
	ListHash uint64        `cbor:"6,keyasint,omitempty"`
	// Servers is the version of the sender's list of backend servers.
	Servers ident.Version `cbor:"7,keyasint,omitempty"`
}

// Opinion reports whether a backend server answers the sender.
type Opinion struct {
	Group   ident.GroupID  `cbor:"1,keyasint"`
	Server  ident.ServerID `cbor:"2,keyasint"`
	Answers bool           `cbor:"3,keyasint"`
}

// TokensAsk requests tokens of a customer's rate; the response is TokensGive.
type TokensAsk struct {
	Want quota.Want `cbor:"1,keyasint"`
}

// TokensGive grants tokens to the requester.
type TokensGive struct {
	Given quota.Given `cbor:"1,keyasint"`
}

// ConfigAsk requests the head of the configuration in use, and the pages named; Have is the
// version that the sender has. The response is ConfigGive.
type ConfigAsk struct {
	Have  ident.Version   `cbor:"1,keyasint"`
	Pages []conf.PageName `cbor:"2,keyasint,omitempty"`
}

// ConfigGive has the head of the configuration in use and the requested pages.
type ConfigGive struct {
	Version ident.Version            `cbor:"1,keyasint"`
	Head    conf.Head                `cbor:"2,keyasint"`
	Pages   map[conf.PageName][]byte `cbor:"3,keyasint,omitempty"`
}

// ServersAsk requests the list of backend servers; the response is ServersGive.
type ServersAsk struct{}

// ServersGive has the list of backend servers.
type ServersGive struct {
	Listing conf.Listing `cbor:"1,keyasint"`
}

// ShareAsk requests or renews leases on rate shares at the instance that writes the table
// of shares; the response is ShareGive.
type ShareAsk struct {
	Asks []share.Ask `cbor:"1,keyasint"`
}

// ShareGive has the granted leases.
type ShareGive struct {
	Grants []share.Grant `cbor:"1,keyasint"`
}

// Bequest hands rate shards over to their next holder; the response is Accepted.
type Bequest struct {
	Estate quota.Estate `cbor:"1,keyasint"`
}

// Accepted confirms that the new holder has taken over the shards.
type Accepted struct{}

// MembersAsk requests the platform's list of instances; the response is MembersGive.
type MembersAsk struct{}

// MembersGive has the list of instances and its version.
type MembersGive struct {
	Version ident.Version  `cbor:"1,keyasint"`
	Members []membr.Member `cbor:"2,keyasint"`
}

// Suspect propagates a suspicion of one instance about another, or its withdrawal.
type Suspect struct {
	Suspicion membr.Suspicion `cbor:"1,keyasint"`
}

// CancelAsk forwards a caller's cancel request to the instance that issued the process
// number and secret in it.
type CancelAsk struct {
	Process uint32 `cbor:"1,keyasint"`
	Secret  uint32 `cbor:"2,keyasint"`
}

// JournalAsk requests the journal events since a time; the response is JournalGive.
type JournalAsk struct {
	Since time.Time `cbor:"1,keyasint"`
}

// JournalGive has the journal events.
type JournalGive struct {
	Events []jrnl.Event `cbor:"1,keyasint"`
}

// TxEnd requests the rollback of a transaction that the sender had open.
type TxEnd struct {
	Group ident.GroupID `cbor:"1,keyasint"`
	Tx    owner.TxID    `cbor:"2,keyasint"`
}

func (Hello) isMessage()       {}
func (Heartbeat) isMessage()   {}
func (Opinion) isMessage()     {}
func (TokensAsk) isMessage()   {}
func (TokensGive) isMessage()  {}
func (ConfigAsk) isMessage()   {}
func (ConfigGive) isMessage()  {}
func (CancelAsk) isMessage()   {}
func (JournalAsk) isMessage()  {}
func (JournalGive) isMessage() {}
func (TxEnd) isMessage()       {}
func (ShareAsk) isMessage()    {}
func (Suspect) isMessage()     {}
func (Bequest) isMessage()     {}
func (Accepted) isMessage()    {}
func (ShareGive) isMessage()   {}
func (MembersAsk) isMessage()  {}
func (MembersGive) isMessage() {}
func (ServersAsk) isMessage()  {}
func (ServersGive) isMessage() {}

// kind is the type of a frame on the wire; numbers are never reused.
type kind uint8

const (
	kindHello       kind = 1
	kindHeartbeat   kind = 2
	kindOpinion     kind = 3
	kindTokensAsk   kind = 4
	kindTokensGive  kind = 5
	kindConfigAsk   kind = 6
	kindConfigGive  kind = 7
	kindCancelAsk   kind = 8
	kindJournalAsk  kind = 9
	kindJournalGive kind = 10
	kindTxEnd       kind = 11
	kindShareAsk    kind = 12
	kindShareGive   kind = 13
	kindMembersAsk  kind = 14
	kindMembersGive kind = 15
	kindSuspect     kind = 16
	kindServersAsk  kind = 17
	kindServersGive kind = 18
	kindBequest     kind = 24
	kindAccepted    kind = 25
	kindWork        kind = 20
	kindChunk       kind = 21
	kindResult      kind = 22
	kindStop        kind = 23
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
}

// result is the last frame of a streamed response.
type result struct {
	Result owner.Result `cbor:"1,keyasint"`
	Bytes  []byte       `cbor:"2,keyasint,omitempty"`
}

func kindOf(m Message) kind {
	switch m.(type) {
	case Hello:
		return kindHello
	case Heartbeat:
		return kindHeartbeat
	case Opinion:
		return kindOpinion
	case TokensAsk:
		return kindTokensAsk
	case TokensGive:
		return kindTokensGive
	case ConfigAsk:
		return kindConfigAsk
	case ConfigGive:
		return kindConfigGive
	case CancelAsk:
		return kindCancelAsk
	case JournalAsk:
		return kindJournalAsk
	case JournalGive:
		return kindJournalGive
	case TxEnd:
		return kindTxEnd
	case Suspect:
		return kindSuspect
	case Bequest:
		return kindBequest
	case Accepted:
		return kindAccepted
	case ShareAsk:
		return kindShareAsk
	case ShareGive:
		return kindShareGive
	case MembersAsk:
		return kindMembersAsk
	case MembersGive:
		return kindMembersGive
	case ServersAsk:
		return kindServersAsk
	case ServersGive:
		return kindServersGive
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
	case kindOpinion:
		return decodeAs[Opinion](body)
	case kindTokensAsk:
		return decodeAs[TokensAsk](body)
	case kindTokensGive:
		return decodeAs[TokensGive](body)
	case kindConfigAsk:
		return decodeAs[ConfigAsk](body)
	case kindConfigGive:
		return decodeAs[ConfigGive](body)
	case kindCancelAsk:
		return decodeAs[CancelAsk](body)
	case kindJournalAsk:
		return decodeAs[JournalAsk](body)
	case kindJournalGive:
		return decodeAs[JournalGive](body)
	case kindTxEnd:
		return decodeAs[TxEnd](body)
	case kindSuspect:
		return decodeAs[Suspect](body)
	case kindBequest:
		return decodeAs[Bequest](body)
	case kindAccepted:
		return decodeAs[Accepted](body)
	case kindShareAsk:
		return decodeAs[ShareAsk](body)
	case kindShareGive:
		return decodeAs[ShareGive](body)
	case kindMembersAsk:
		return decodeAs[MembersAsk](body)
	case kindMembersGive:
		return decodeAs[MembersGive](body)
	case kindServersAsk:
		return decodeAs[ServersAsk](body)
	case kindServersGive:
		return decodeAs[ServersGive](body)
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
