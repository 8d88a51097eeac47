package dbase

import "strings"

var (
	errTermination = &sqlError{"2D000", "invalid transaction termination"}
	errDeferred    = &sqlError{"23505", `duplicate key value violates unique constraint "pledges_id_key"`}
)

// procedures maps the names that CALL knows to bodies.
var procedures = map[string]string{
	"add_pair":            "INSERT INTO ledger VALUES ($1, '1'); COMMIT; INSERT INTO ledger VALUES ($2, '1')",
	"add_pair_then_raise": "INSERT INTO ledger VALUES ($1, '1'); COMMIT; INSERT INTO ledger VALUES ($2, '1'); RAISE SQLSTATE $3",
}

// bodyGrammar lists the statements supported in procedures and DO blocks.
var bodyGrammar = []grammarRule{
	{compilePattern(insertPattern), command{run: insert}},
	{compilePattern(`commit`), command{run: commitInBody}},
	{compilePattern(`raise sqlstate %`), command{run: raise}},
}

func callPair(s *session, args []string) (result, error) {
	return result{tag: "CALL"}, s.runBody(procedures["add_pair"], args)
}

func callPairThenRaise(s *session, args []string) (result, error) {
	return result{tag: "CALL"}, s.runBody(procedures["add_pair_then_raise"], args)
}

func do(s *session, args []string) (result, error) {
	return result{tag: "DO"}, s.runBody(args[0], nil)
}

// runBody runs the statements of a procedure or a DO block.
func (s *session) runBody(body string, values []string) error {
	for text := range strings.SplitSeq(body, ";") {
		c, err := parse(text, bodyGrammar)
		if err != nil {
			return err
		}
		if c.run == nil {
			continue
		}
		if _, err := c.run(s, c.bind(values)); err != nil {
			return err
		}
	}
	return nil
}

// commitInBody commits outside a transaction block, also what the message has run before. Several
// statements of a simple query form a block.
func commitInBody(s *session, _ []string) (result, error) {
	if s.inTx || s.implicitBlock {
		return result{}, errTermination
	}
	err := s.commitTx()
	s.endTx()
	return result{}, err
}

func raise(_ *session, args []string) (result, error) {
	return result{}, &sqlError{args[0], "raised"}
}

// insertPledge inserts a row whose unique constraint is checked by the commit.
func insertPledge(s *session, args []string) (result, error) {
	if err := s.lock(args[0]); err != nil {
		return result{}, err
	}
	return result{tag: "INSERT 0 1"}, s.write(change{id: args[0], value: args[1], deferred: true})
}

// checkDeferred checks the deferred constraints of the buffered changes.
func (s *session) checkDeferred() error {
	present := map[string]bool{}
	for _, c := range s.changes {
		if c.deferred && (present[c.id] || s.server.store.has(c.id)) {
			return errDeferred
		}
		present[c.id] = !c.delete
	}
	return nil
}
