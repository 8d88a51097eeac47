package pgcon

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// markerID is the number of a marker; a connection uses each one once.
type markerID uint64

const (
	// typeBits is how many bits of a marker's number one parameter type carries. Their top bit is set, as
	// 0 and small numbers name types.
	typeBits = 31
	topBit   = 1 << typeBits
	typeMask = topBit - 1
)

// types returns the parameter types that spell the number.
func (m markerID) types() [2]uint32 {
	return [2]uint32{topBit | uint32(m>>typeBits)&typeMask, topBit | uint32(m)&typeMask}
}

// appendMarker appends the messages of a marker: the Parse of an empty statement, and its Describe. The server
// answers with the parameter types as they were given. It executes nothing, takes no snapshot and does so in a
// failed transaction as well.
func appendMarker(to []byte, m markerID) []byte {
	types := m.types()
	parse := pgproto3.Parse{ParameterOIDs: types[:]}
	to, _ = parse.Encode(to)
	describe := pgproto3.Describe{ObjectType: 'S'}
	to, _ = describe.Encode(to)
	return to
}

// appendSync appends a Sync.
func appendSync(to []byte) []byte {
	to, _ = (&pgproto3.Sync{}).Encode(to)
	return to
}

// describes reports whether the body of a ParameterDescription spells the marker's number.
func (m markerID) describes(body []byte) bool {
	const countSize, typeSize = 2, 4
	types := m.types()
	return len(body) == countSize+len(types)*typeSize && binary.BigEndian.Uint16(body) == uint16(len(types)) &&
		binary.BigEndian.Uint32(body[countSize:]) == types[0] && binary.BigEndian.Uint32(body[countSize+typeSize:]) == types[1]
}
