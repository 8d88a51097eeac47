package entry

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestBatchWithoutExecuteMayWrite: a Bind runs the input functions of the parameters' types, for
// example the checks of a domain, and folds calls of functions, so a batch that ends with it may write.
func TestBatchWithoutExecuteMayWrite(t *testing.T) {
	s := &pgSession{}
	s.appendParse(&pgproto3.Parse{Name: "insert", Query: "INSERT INTO ledger (id, value) VALUES ($1, $2)"})
	if s.batch.mayWrite || s.batch.mayCommit {
		t.Errorf("Parse: may write %t, may commit %t", s.batch.mayWrite, s.batch.mayCommit)
	}
	s.appendParse(&pgproto3.Parse{Name: "begin", Query: "BEGIN"})
	s.appendBind(&pgproto3.Bind{PreparedStatement: "begin"})
	if s.batch.mayWrite || s.batch.mayCommit {
		t.Errorf("Bind of BEGIN: may write %t, may commit %t", s.batch.mayWrite, s.batch.mayCommit)
	}
	s.appendBind(&pgproto3.Bind{PreparedStatement: "insert"})
	if !s.batch.mayWrite || s.batch.mayCommit {
		t.Errorf("Parse, Bind: may write %t, may commit %t; want a batch that may write", s.batch.mayWrite, s.batch.mayCommit)
	}
}

// TestStatementsWithDifferentTextsHaveDifferentNames: the types of a statement's parameters were hashed like more of its
// text, so that a caller could prepare another text under the name of a statement that others use.
func TestStatementsWithDifferentTextsHaveDifferentNames(t *testing.T) {
	const spaces = 0x20202020
	short := statementName("DELETE FROM ledger", []uint32{spaces})
	if long := statementName("DELETE FROM ledger    ", nil); short == long {
		t.Errorf("both are named %s", short)
	}
}

// TestRollbackOfLostTransactionAnswersEachMessage: the batch that ended a transaction which the proxy had lost got
// ParseComplete for a Close, and CommandComplete after the answers to later messages.
func TestRollbackOfLostTransactionAnswersEachMessage(t *testing.T) {
	var out bytes.Buffer
	s := &pgSession{Session: &Session{status: TxFailed}, wire: pgproto3.NewBackend(nil, &out), txFailed: true}
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Close{ObjectType: 'S', Name: "old"}, &pgproto3.Parse{Name: "end", Query: "ROLLBACK"},
		&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "end"}, &pgproto3.Describe{ObjectType: 'P', Name: "p"},
		&pgproto3.Execute{Portal: "p"}, &pgproto3.Close{ObjectType: 'P', Name: "p"}, &pgproto3.Close{ObjectType: 'S', Name: "end"}, &pgproto3.Sync{},
	} {
		if !s.handle(m) {
			t.Fatalf("the session ended at %T", m)
		}
	}
	kinds := ""
	for data := out.Bytes(); len(data) > 0; data = data[1+binary.BigEndian.Uint32(data[1:]):] {
		kinds += string(data[0])
	}
	if want := "312nC33Z"; kinds != want {
		t.Errorf("answered with %s, want %s", kinds, want)
	}
}
