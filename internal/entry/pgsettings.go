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

// The settings that the proxy handles itself.
const (
	settingPrefix   = "geraniumseam."
	tokenSetting    = settingPrefix + "token"
	maxAgeSetting   = settingPrefix + "max_age"
	instanceSetting = settingPrefix + "instance"
)

// maxAgeLimit is the largest value of the setting for the maximum age of reads.
const maxAgeLimit = 24 * time.Hour

// SettingError reports that a value is not valid for a session setting.
type SettingError struct {
	Name string
	Want string
}

// Error implements error.
func (e *SettingError) Error() string { return "invalid value for " + e.Name + ": want " + e.Want }

func isProxySetting(name string) bool { return strings.HasPrefix(name, settingPrefix) }

// validName reports whether the name of a setting can be used in a statement unquoted.
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

// setProxySetting sets one of the proxy's own settings; an empty value resets it.
func (s *pgSession) setProxySetting(name, value string) error {
	switch name {
	case tokenSetting:
		return s.setToken(value)
	case maxAgeSetting:
		if value == "" {
			s.hasMaxAge = false
			return nil
		}
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 || age > maxAgeLimit {
			return &SettingError{Name: name, Want: "a duration from 0s to 24h, such as 5s"}
		}
		s.maxAge, s.hasMaxAge = age, true
		return nil
	}
	return &SettingError{Name: name, Want: "one of " + tokenSetting + ", " + maxAgeSetting}
}

// setToken raises the session's floor to that of a token. A token of another group is ignored.
func (s *pgSession) setToken(value string) error {
	if value == "" {
		return nil
	}
	token, err := ident.ParseToken(value)
	if err != nil {
		return &SettingError{Name: tokenSetting, Want: "a token as the proxy gave it"}
	}
	if token.Group == s.access.Group {
		s.floor, s.floorKnown = s.floor.Raise(token.Floor), true
	}
	return nil
}

func (s *pgSession) showProxySetting(name string) (string, error) {
	switch name {
	case tokenSetting:
		return ident.Token{Group: s.access.Group, Floor: s.floor}.String(), nil
	case maxAgeSetting:
		access, _ := s.instance.configCache.Current().Revalidate(s.access)
		return s.readMaxAge(access).String(), nil
	case instanceSetting:
		return string(s.instance.conf.Instance), nil
	}
	return "", &SettingError{Name: name, Want: "one of " + tokenSetting + ", " + maxAgeSetting + ", " + instanceSetting}
}

// queryProxySetting answers SET and SHOW of the proxy's own settings. It returns whether it
// handled the statement, and whether the session continues.
func (s *pgSession) queryProxySetting(c stmt.Class) (handled, alive bool) {
	if c.Kind != stmt.Set && c.Kind != stmt.Show || !isProxySetting(c.Setting) || s.txFailed {
		return false, true
	}
	value, err := c.Value, error(nil)
	if c.Kind == stmt.Set {
		err = s.setProxySetting(c.Setting, strings.Join(append([]string{c.Value}, c.More...), ","))
	} else {
		value, err = s.showProxySetting(c.Setting)
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

// textOID is the object ID of the type text in PostgreSQL.
const textOID = 25

func (s *pgSession) sendRow(name, value string) {
	s.wire.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
	s.wire.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

// recordSet records a SET that the server accepted, to replay it on other connections.
func (s *pgSession) recordSet(w *owner.Work, r owner.Result) {
	if w.Kind != stmt.Set || r.ErrorCode != "" {
		return
	}
	c := s.batch.class
	if isProxySetting(c.Setting) {
		if len(c.More) == 0 {
			_ = s.setProxySetting(c.Setting, c.Value)
		}
		return
	}
	if c.Reset {
		s.forgetSetting(c.Setting)
		return
	}
	s.recordSetting(proto.Setting{Name: c.Setting, Value: c.Value, More: c.More})
}

// recordSetting records a setting for replay.
func (s *pgSession) recordSetting(setting proto.Setting) {
	s.forgetSetting(setting.Name)
	if setting.Name != "application_name" {
		s.settings = append(s.settings, setting)
	}
}

// forgetSetting removes a setting from those that are replayed. Requests under way keep theirs.
func (s *pgSession) forgetSetting(name string) {
	kept := make([]proto.Setting, 0, len(s.settings)+1)
	for _, known := range s.settings {
		if known.Name != name {
			kept = append(kept, known)
		}
	}
	s.settings = kept
}

// isDisconnect reports whether an error means only that the caller has disconnected: the end of
// the stream, a closed connection or a network error, including an expired read deadline.
func isDisconnect(err error) bool {
	var timeout net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.As(err, &timeout)
}
