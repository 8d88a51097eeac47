package pgcon

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
)

// Driver connects to PostgreSQL servers with the proxy's own credentials.
type Driver struct {
	Dialer   proto.Dialer
	User     string
	Password string
}

// PerCustomer implements proto.Driver.
func (*Driver) PerCustomer() bool { return false }

// ChecksFloor implements proto.Driver.
func (*Driver) ChecksFloor() bool { return false }

// Fenced implements proto.Driver: a server refuses the orders of all but the claimant that has sealed it last.
func (*Driver) Fenced() bool { return false }

// The SQLSTATEs too_many_connections and read_only_sql_transaction.
const (
	codeTooManyConnections = "53300"
	codeReadOnly           = "25006"
)

const (
	// headerSize is the size of a message's type and length fields, lengthSize that of the latter, in bytes.
	headerSize = 5
	lengthSize = 4
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 8 << 10
	// maxStatements bounds the prepared statements kept on one connection.
	maxStatements = 256
	// maxMessage bounds one message of a server that holds data or texts, maxShortMessage any other one and those
	// during start-up, in bytes.
	maxMessage      = 1 << 30
	maxShortMessage = 64 << 10
	// bodyStep is how much of a body is allocated before its bytes have arrived, in bytes.
	bodyStep = 64 << 10
)

// Conn is a connection to a backend server. Except for Interrupt it is not safe for concurrent use.
type Conn struct {
	link   *proto.Link
	reader *bufio.Reader
	// prepared holds the names of the prepared statements on the connection.
	prepared map[string]bool
	// settings is the SET statements in effect, or unknownSettings.
	settings string
	// out and exchange are reused between requests.
	out      []byte
	exchange exchange
	// lastMarker is the number of the last marker that was sent.
	lastMarker markerID
	// streamed is set once the beginning of an answer was passed on before its marker.
	streamed bool
	// controls is set on a connection for control functions, which stays in use after surplus answers: a new one
	// doesn't vouch for what the server was told before.
	controls bool
	// txStatus is the transaction status that the server last reported.
	txStatus byte
	// Opened is when the connection was established.
	Opened time.Time
}

// Dial opens a connection and authenticates.
func (d *Driver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, &proto.DialError{Server: t.Server, Cause: err, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	conn := &Conn{
		link: proto.NewLink(t, raw), reader: bufio.NewReaderSize(raw, readBuffer),
		prepared: map[string]bool{}, Opened: clock.Now(),
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := conn.startUp(d, t); err != nil {
		conn.link.FindError(err)
		raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return conn, nil
}

// startUp authenticates and waits for the server to become ready.
func (c *Conn) startUp(d *Driver, t proto.Target) error {
	frontend := pgproto3.NewFrontend(c.reader, c.link)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": d.User, "database": string(t.Group), "application_name": "geraniumseam"},
	})
	if err := frontend.Flush(); err != nil {
		return &proto.DialError{Server: c.link.Server(), Cause: err}
	}
	authenticated := false
	for {
		kind, body, err := c.readShortFrame()
		if err != nil {
			return &proto.DialError{Server: c.link.Server(), Cause: err}
		}
		switch {
		case kind == 'R' && !authenticated:
			if authenticated, err = c.authenticate(frontend, body, d.Password); err != nil {
				return &proto.DialError{Server: c.link.Server(), Cause: err}
			}
		case kind == 'E':
			code := errorCode(body)
			return &proto.DialError{Server: c.link.Server(), Code: code, NoCapacity: code == codeTooManyConnections, Cause: &startUpError{code}}
		case kind == 'Z' && authenticated:
			return nil
		case kind == 'N' || kind == 'v' || authenticated && (kind == 'S' || kind == 'K'):
		default:
			return &proto.DialError{Server: c.link.Server(), Cause: &proto.ProtocolError{What: fmt.Sprintf("message of type %q is not due during start-up", kind)}}
		}
	}
}

// startUpError reports that a server refused a connection.
type startUpError struct{ code string }

// Error implements error.
func (e *startUpError) Error() string { return "server refused the connection with SQLSTATE " + e.code }

// Types of authentication request.
const (
	authOK        = 0
	authCleartext = 3
)

// authenticate answers an authentication request; it reports whether the server is satisfied.
func (c *Conn) authenticate(frontend *pgproto3.Frontend, body []byte, password string) (bool, error) {
	const methodSize = 4
	if len(body) < methodSize {
		return false, &proto.ProtocolError{What: "authentication request shorter than 4 bytes"}
	}
	switch binary.BigEndian.Uint32(body) {
	case authOK:
		return true, nil
	case authCleartext:
		frontend.Send(&pgproto3.PasswordMessage{Password: password})
		return false, frontend.Flush()
	}
	return false, &unsupportedError{"an authentication method other than none or a cleartext password"}
}

// readShortFrame reads one whole message of start-up.
func (c *Conn) readShortFrame() (byte, []byte, error) {
	kind, size, err := c.readHeader()
	if err != nil {
		return 0, nil, err
	}
	if size > maxShortMessage {
		return 0, nil, &proto.ProtocolError{Violation: proto.TooLong, What: "message during start-up larger than 64 KiB"}
	}
	body, err := c.appendBody(nil, size)
	return kind, body, err
}

// readHeader reads a message's type and the size of its body.
func (c *Conn) readHeader() (byte, int, error) {
	head, err := c.reader.Peek(headerSize)
	if err != nil {
		return 0, 0, err
	}
	kind := head[0]
	size := int(binary.BigEndian.Uint32(head[1:])) - lengthSize
	if size < 0 {
		return 0, 0, &proto.ProtocolError{What: "message length field below 4"}
	}
	if size > maxSize(kind) {
		return 0, 0, &proto.ProtocolError{Violation: proto.TooLong, What: fmt.Sprintf("message of type %q is %d bytes long", kind, size)}
	}
	_, err = c.reader.Discard(headerSize)
	return kind, size, err
}

// maxSize bounds the body of a message of the given type.
func maxSize(kind byte) int {
	switch kind {
	case 'D', 'T', 't', 'E', 'N', 'A', 'S':
		return maxMessage
	}
	return maxShortMessage
}

// appendBody reads a message's body and appends it to a buffer, which grows as bytes arrive.
func (c *Conn) appendBody(to []byte, size int) ([]byte, error) {
	for size > 0 {
		step := min(size, bodyStep)
		at := len(to)
		to = slices.Grow(to, step)[:at+step]
		if _, err := io.ReadFull(c.reader, to[at:]); err != nil {
			return to, err
		}
		size -= step
	}
	return to, nil
}

// errorCode returns the SQLSTATE in the body of an ErrorResponse, XX000
// (internal_error) if the body is malformed.
func errorCode(body []byte) string {
	var e pgproto3.ErrorResponse
	if e.Decode(body) != nil {
		return "XX000"
	}
	return e.Code
}

// Server returns the server's ID.
func (c *Conn) Server() ident.ServerID { return c.link.Server() }

// Close ends the connection at once.
func (c *Conn) Close() { _ = c.link.Close() }

// Interrupt aborts the running request because the connection seems dead; unlike the
// other methods it may be called from another goroutine.
func (c *Conn) Interrupt() { c.link.Interrupt() }
