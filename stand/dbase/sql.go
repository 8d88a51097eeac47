package dbase

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// sqlError is an error with its PostgreSQL SQLSTATE.
type sqlError struct {
	code    string
	message string
}

// Error implements error.
func (e *sqlError) Error() string { return e.message }

var (
	errReadOnly = &sqlError{"25006", "cannot execute in a read-only transaction"}
	errSyntax   = &sqlError{"42601", "syntax error: the stand-in does not know this statement"}
	errAborted  = &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	errDeadlock = &sqlError{"40P01", "deadlock detected"}
	errPassword = &sqlError{"28P01", "password authentication failed"}
	errTooMany  = &sqlError{"53300", "sorry, too many clients already"}
	errNoStmt   = &sqlError{"26000", "prepared statement does not exist"}
	errNoPortal = &sqlError{"34000", "portal does not exist"}
)

// command is a parsed statement.
type command struct {
	text string
	run  func(s *session, args []string) (result, error)
	args []argument
	// columns names the columns of the result; none for statements without a result set.
	columns []string
	// control marks statements that run in an aborted transaction as well.
	control bool
	// endsTx marks COMMIT and ROLLBACK.
	endsTx bool
}

// argument is a literal, or a parameter if param is not 0.
type argument struct {
	literal string
	param   int
}

// result is the result of a statement: its rows and its command tag.
type result struct {
	rows [][]string
	tag  string
}

// literal matches a string literal, a parameter or a number.
const literal = `('(?:[^']|'')*'|\$\d+|\d+)`

// grammarRule maps statements that match a pattern to a command.
type grammarRule struct {
	pattern *regexp.Regexp
	command command
}

// compilePattern compiles the pattern of a statement: a space stands for white space, ~ for optional
// white space and % for an argument.
func compilePattern(text string) *regexp.Regexp {
	text = strings.ReplaceAll(text, " ", `\s+`)
	text = strings.ReplaceAll(text, "~", `\s*`)
	text = strings.ReplaceAll(text, "%", literal+`(?:::text)?`)
	return regexp.MustCompile(`(?is)^\s*` + text + `\s*$`)
}

const insertPattern = `insert into ledger~(?:\(~id~,~value~\))?~values~\(~%~,~%~\)`

// grammar lists the supported statements; the first match counts.
var grammar = []grammarRule{
	{compilePattern(`select value from ledger where id~=~%`), command{run: selectValue, columns: []string{"value"}}},
	{compilePattern(`select count\(\*\) from ledger`), command{run: countRows, columns: []string{"count"}}},
	{compilePattern(`select id,~value from ledger(?: order by id)?`), command{run: selectAll, columns: []string{"id", "value"}}},
	{compilePattern(`select %`), command{run: echo, columns: []string{"?column?"}}},
	{compilePattern(insertPattern), command{run: insert}},
	{compilePattern(`insert into pledges~(?:\(~id~,~value~\))?~values~\(~%~,~%~\)`), command{run: insertPledge}},
	{compilePattern(`call add_pair\(~%~,~%~\)`), command{run: callPair}},
	{compilePattern(`call add_pair_then_raise\(~%~,~%~,~%~\)`), command{run: callPairThenRaise}},
	{compilePattern(`do \$\$~begin (.*)~end~;?~\$\$`), command{run: do}},
	{compilePattern(`update ledger set value~=~% where id~=~%`), command{run: update}},
	{compilePattern(`delete from ledger where id~=~%`), command{run: remove}},
	{compilePattern(`select append_value\(~%~,~%~\)`), command{run: appendValue, columns: []string{"append_value"}}},
	{compilePattern(`select pg_try_advisory_lock\(~%~\)`), command{run: tryAdvisoryLock, columns: []string{"pg_try_advisory_lock"}}},
	{compilePattern(`select pg_advisory_lock\(~%~\)`), command{run: advisoryLock, columns: []string{"pg_advisory_lock"}}},
	{compilePattern(`copy ledger from stdin(?: .*)?`), command{run: copyIn}},
	{compilePattern(`copy ledger to stdout(?: .*)?`), command{run: copyOut}},
	{compilePattern(`(?:begin|start transaction)(?: .*)? read only(?: .*)?`), command{run: beginReadOnly}},
	{compilePattern(`(?:begin|start transaction)(?: .*)?`), command{run: begin}},
	{compilePattern(`savepoint (\w+)`), command{run: setSavepoint}},
	{compilePattern(`release(?: savepoint)? (\w+)`), command{run: releaseSavepoint}},
	{compilePattern(`rollback(?: transaction| work)? to(?: savepoint)? (\w+)`), command{run: rollbackTo, control: true}},
	{compilePattern(`(?:commit|end)(?: transaction| work)?`), command{run: commit, control: true, endsTx: true}},
	{compilePattern(`(?:rollback|abort)(?: transaction| work)?`), command{run: rollback, control: true, endsTx: true}},
	{compilePattern(`discard all`), command{run: discard, control: true}},
	{compilePattern(`load %`), command{run: load}},
	{compilePattern(`set transaction read only`), command{run: setReadOnly}},
	{compilePattern(`set session characteristics as transaction read only`), command{run: setDefaultReadOnly}},
	{compilePattern(`set .*`), command{run: set, control: true}},
	{compilePattern(`select pg_sleep\(~%~\)`), command{run: sleep, columns: []string{"pg_sleep"}}},
	{compilePattern(`select \* from group_status\(\)`), command{run: groupStatus, columns: statusColumns}},
	{compilePattern(`select group_seal\(~%~,~%~\)`), command{run: groupSeal, columns: []string{"group_seal"}}},
	{compilePattern(`select group_promote\(~%~,~%~\)`), command{run: groupPromote, columns: []string{"group_promote"}}},
	{compilePattern(`select group_follow\(~%~,~%~\)`), command{run: groupFollow, columns: []string{"group_follow"}}},
}

var statusColumns = []string{"server", "role", "term", "sealed", "log_term", "received", "applied", "upstream_ms"}

// parseStatement parses a statement; for an empty text it returns a command without run.
func parseStatement(original string) (command, error) { return parse(original, grammar) }

func parse(original string, rules []grammarRule) (command, error) {
	text := strings.TrimRight(strings.TrimSpace(stripComments(original)), "; \n\t")
	if text == "" {
		return command{}, nil
	}
	for _, f := range rules {
		match := f.pattern.FindStringSubmatch(text)
		if match == nil {
			continue
		}
		parsed := f.command
		parsed.text, parsed.args = original, arguments(match[1:])
		return parsed, nil
	}
	return command{}, errSyntax
}

// splitStatements splits a text at the semicolons outside of dollar quotes.
func splitStatements(text string) []string {
	parts := []string{""}
	for at, piece := range strings.Split(text, "$$") {
		last := len(parts) - 1
		if at%2 == 1 {
			parts[last] += "$$" + piece + "$$"
			continue
		}
		statements := strings.Split(piece, ";")
		parts[last] += statements[0]
		parts = append(parts, statements[1:]...)
	}
	return parts
}

var comment = regexp.MustCompile(`--[^\n]*|/\*[^*]*\*/`)

func stripComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	return comment.ReplaceAllString(text, "")
}

// arguments converts the submatches of a pattern to arguments.
func arguments(submatches []string) []argument {
	args := make([]argument, 0, len(submatches))
	for _, text := range submatches {
		if number, isParam := strings.CutPrefix(text, "$"); isParam {
			index, _ := strconv.Atoi(number)
			args = append(args, argument{param: index})
			continue
		}
		text = strings.TrimSuffix(strings.TrimPrefix(text, "'"), "'")
		args = append(args, argument{literal: strings.ReplaceAll(text, "''", "'")})
	}
	return args
}

// params returns the number of parameters.
func (c command) params() int {
	highest := 0
	for _, a := range c.args {
		highest = max(highest, a.param)
	}
	return highest
}

// bind returns the arguments with parameters replaced by their values.
func (c command) bind(values []string) []string {
	args := make([]string, 0, len(c.args))
	for _, a := range c.args {
		switch {
		case a.param == 0:
			args = append(args, a.literal)
		case a.param <= len(values):
			args = append(args, values[a.param-1])
		default:
			args = append(args, "")
		}
	}
	return args
}

func selectValue(s *session, args []string) (result, error) {
	value, found := s.read(args[0])
	if !found {
		return result{tag: "SELECT 0"}, nil
	}
	return result{rows: [][]string{{value}}, tag: "SELECT 1"}, nil
}

func countRows(s *session, _ []string) (result, error) {
	rows := s.view()
	return result{rows: [][]string{{strconv.Itoa(len(rows))}}, tag: "SELECT 1"}, nil
}

func selectAll(s *session, _ []string) (result, error) {
	res := result{}
	for _, row := range sortedRows(s.view()) {
		res.rows = append(res.rows, []string{row[0], row[1]})
	}
	res.tag = "SELECT " + strconv.Itoa(len(res.rows))
	return res, nil
}

func echo(_ *session, args []string) (result, error) {
	return result{rows: [][]string{{args[0]}}, tag: "SELECT 1"}, nil
}

func insert(s *session, args []string) (result, error) {
	if err := s.lock(args[0]); err != nil {
		return result{}, err
	}
	if _, found := s.read(args[0]); found {
		return result{}, &sqlError{"23505", `duplicate key value violates unique constraint "ledger_pkey"`}
	}
	return result{tag: "INSERT 0 1"}, s.write(change{id: args[0], value: args[1]})
}

func update(s *session, args []string) (result, error) {
	if err := s.lock(args[1]); err != nil {
		return result{}, err
	}
	if _, found := s.read(args[1]); !found {
		return result{tag: "UPDATE 0"}, nil
	}
	return result{tag: "UPDATE 1"}, s.write(change{id: args[1], value: args[0]})
}

func remove(s *session, args []string) (result, error) {
	if err := s.lock(args[0]); err != nil {
		return result{}, err
	}
	if _, found := s.read(args[0]); !found {
		return result{tag: "DELETE 0"}, nil
	}
	return result{tag: "DELETE 1"}, s.write(change{id: args[0], delete: true})
}

func begin(s *session, _ []string) (result, error) {
	s.inTx = true
	return result{tag: "BEGIN"}, nil
}

func commit(s *session, _ []string) (result, error) {
	if s.failed {
		s.endTx()
		return result{tag: "ROLLBACK"}, nil
	}
	err := s.commitTx()
	s.endTx()
	return result{tag: "COMMIT"}, err
}

func rollback(s *session, _ []string) (result, error) {
	s.endTx()
	return result{tag: "ROLLBACK"}, nil
}

func discard(s *session, _ []string) (result, error) {
	s.endTx()
	s.releaseAdvisoryLocks()
	s.statements = map[string]*prepared{}
	s.readOnly, s.defaultReadOnly = false, false
	return result{tag: "DISCARD ALL"}, nil
}

func set(*session, []string) (result, error) { return result{tag: "SET"}, nil }

func sleep(_ *session, args []string) (result, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return result{}, &sqlError{"22P02", "invalid input syntax for type double precision"}
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return result{rows: [][]string{{""}}, tag: "SELECT 1"}, nil
}

func groupStatus(s *session, _ []string) (result, error) {
	r := s.server.store.status(s.server.faults.ReportUnapplied.Load())
	row := []string{
		string(r.Server), string(r.Role), formatUint(uint64(r.Term)), formatUint(uint64(r.Sealed)),
		formatUint(uint64(r.LogTerm)), r.Received.String(), r.Applied.String(), formatUint(uint64(r.UpstreamSilence.Milliseconds())),
	}
	return result{rows: [][]string{row}, tag: "SELECT 1"}, nil
}

func groupSeal(s *session, args []string) (result, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	return boolResult(s.server.store.seal(ident.Term(term), args[1]))
}

func groupPromote(s *session, args []string) (result, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	return boolResult(s.server.store.promote(ident.Term(term), args[1]))
}

func groupFollow(s *session, args []string) (result, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	wasPrimary := s.server.Status().Role == Primary
	followed := s.server.store.follow(ident.Term(term), ident.ServerID(args[1]))
	if wasPrimary && followed {
		s.server.closeConns()
	}
	return boolResult(followed)
}

// boolResult returns a boolean as a result of one row.
func boolResult(value bool) (result, error) {
	text := "f"
	if value {
		text = "t"
	}
	return result{rows: [][]string{{text}}, tag: "SELECT 1"}, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
