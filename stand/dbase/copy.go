package dbase

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

var errCopyFailed = &sqlError{"57014", "COPY from stdin failed"}

// copyIn inserts the rows that the caller sends, each one CopyData message.
func copyIn(s *session, _ []string) (result, error) {
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := s.backend.Flush(); err != nil {
		return result{}, err
	}
	for rows := 0; ; {
		message, err := s.backend.Receive()
		if err != nil {
			return result{}, err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			id, value, _ := strings.Cut(strings.TrimSuffix(string(m.Data), "\n"), "\t")
			if _, err := insert(s, []string{id, value}); err != nil {
				return result{}, err
			}
			rows++
		case *pgproto3.CopyDone:
			return result{tag: "COPY " + strconv.Itoa(rows)}, nil
		case *pgproto3.CopyFail:
			return result{}, errCopyFailed
		}
	}
}

func copyOut(s *session, _ []string) (result, error) {
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	rows := sortedRows(s.view())
	for _, row := range rows {
		s.backend.Send(&pgproto3.CopyData{Data: []byte(row[0] + "\t" + row[1] + "\n")})
	}
	s.backend.Send(&pgproto3.CopyDone{})
	return result{tag: "COPY " + strconv.Itoa(len(rows))}, nil
}
