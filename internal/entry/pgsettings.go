package entry

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// The settings that the proxy itself understands.
const (
	ownPrefix  = "geraniumseam."
	tokenName  = ownPrefix + "token"
	maxAgeName = ownPrefix + "max_age"
	tracesName = ownPrefix + "instance"
)

// longestAge bounds the stated age of a read.
const longestAge = 24 * time.Hour

// SettingError says that a session setting cannot take a value.
type SettingError struct {
	Name string
	Want string
}

// Error implements error.
func (e *SettingError) Error() string { return "invalid value for " + e.Name + ": want " + e.Want }

func isOwn(name string) bool { return strings.HasPrefix(name, ownPrefix) }

// validName reports whether a setting's name can be written into a statement as it is.
func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, c := range name {
		if c != '_' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// setOwn gives one of the proxy's own settings a value; an empty one resets it.
func (s *pgSession) setOwn(name, value string) error {
	switch name {
	case tokenName:
		return s.setToken(value)
	case maxAgeName:
		if value == "" {
			s.hasMaxAge = false
			return nil
		}
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 || age > longestAge {
			return &SettingError{Name: name, Want: "a duration from 0s to 24h, such as 5s"}
		}
		s.maxAge, s.hasMaxAge = age, true
		return nil
	}
	return &SettingError{Name: name, Want: "one of " + tokenName + ", " + maxAgeName}
}

// setToken raises the session's floor; a token of another group says nothing about this one.
func (s *pgSession) setToken(value string) error {
	if value == "" {
		return nil
	}
	token, err := ident.ParseToken(value)
	if err != nil {
		return &SettingError{Name: tokenName, Want: "a token as the proxy gave it"}
	}
	if token.Group == s.access.Group {
		s.floor, s.settled = s.floor.Raise(token.Floor), true
	}
	return nil
}

func (s *pgSession) showOwn(name string) (string, error) {
	switch name {
	case tokenName:
		return ident.Token{Group: s.access.Group, Floor: s.floor}.String(), nil
	case maxAgeName:
		return s.maxAge.String(), nil
	case tracesName:
		return string(s.instance.conf.Instance), nil
	}
	return "", &SettingError{Name: name, Want: "one of " + tokenName + ", " + maxAgeName + ", " + tracesName}
}

// queryOwn answers SET and SHOW of the proxy's own settings.
func (s *pgSession) queryOwn(c stmt.Class) (handled, alive bool) {
	if c.Kind != stmt.Set && c.Kind != stmt.Show || !isOwn(c.Setting) || s.lostTx {
		return false, true
	}
	value, err := c.Value, error(nil)
	if c.Kind == stmt.Set {
		err = s.setOwn(c.Setting, c.Value)
	} else {
		value, err = s.showOwn(c.Setting)
	}
	var bad *SettingError
	switch {
	case errors.As(err, &bad):
		s.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "22023", Message: bad.Error()})
	case c.Kind == stmt.Set:
		s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	default:
		s.sendRow(c.Setting, value)
	}
	return true, s.ready()
}

const textOID = 25

func (s *pgSession) sendRow(name, value string) {
	s.wire.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
	s.wire.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

// noteSettings remembers a SET that the server accepted, to replay it on other connections.
func (s *pgSession) noteSettings(w *owner.Work, r owner.Result) {
	if w.Kind != stmt.Set || r.ErrorCode != "" {
		return
	}
	c := s.batch.class
	if isOwn(c.Setting) {
		_ = s.setOwn(c.Setting, c.Value)
		return
	}
	s.remember(c.Setting, c.Value)
}

// remember keeps a setting for replay; an empty value forgets it.
func (s *pgSession) remember(name, value string) {
	kept := make([]proto.Setting, 0, len(s.settings)+1)
	for _, known := range s.settings {
		if known.Name != name {
			kept = append(kept, known)
		}
	}
	if value != "" && name != "application_name" {
		kept = append(kept, proto.Setting{Name: name, Value: value})
	}
	s.settings = kept
}

// isDeparture reports an error that only says the caller is gone.
func isDeparture(err error) bool {
	var timeout net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.As(err, &timeout)
}
