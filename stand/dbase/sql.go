package dbase

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// sqlError is an error with the SQLSTATE that PostgreSQL gives it.
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

// command is one statement that the stand-in understands.
type command struct {
	run     func(s *session, args []string) (answer, error)
	args    []argument
	columns []string
	control bool
}

// argument is a literal or the number of a parameter.
type argument struct {
	literal string
	param   int
}

// answer is a statement's rows and its tag.
type answer struct {
	rows [][]string
	tag  string
}

const literal = `('(?:[^']|'')*'|\$\d+|\d+)`

type form struct {
	pattern *regexp.Regexp
	command command
}

func pattern(text string) *regexp.Regexp {
	text = strings.ReplaceAll(text, " ", `\s+`)
	text = strings.ReplaceAll(text, "~", `\s*`)
	text = strings.ReplaceAll(text, "%", literal+`(?:::text)?`)
	return regexp.MustCompile(`(?is)^\s*` + text + `\s*$`)
}

var forms = []form{
	{pattern(`select value from ledger where id~=~%`), command{run: selectValue, columns: []string{"value"}}},
	{pattern(`select count\(\*\) from ledger`), command{run: countRows, columns: []string{"count"}}},
	{pattern(`select id,~value from ledger(?: order by id)?`), command{run: selectAll, columns: []string{"id", "value"}}},
	{pattern(`select %`), command{run: echo, columns: []string{"?column?"}}},
	{pattern(`insert into ledger~(?:\(~id~,~value~\))?~values~\(~%~,~%~\)`), command{run: insert}},
	{pattern(`update ledger set value~=~% where id~=~%`), command{run: update}},
	{pattern(`delete from ledger where id~=~%`), command{run: remove}},
	{pattern(`(?:begin|start transaction)(?: .*)?`), command{run: begin, control: true}},
	{pattern(`(?:commit|end)(?: transaction| work)?`), command{run: commit, control: true}},
	{pattern(`(?:rollback|abort)(?: transaction| work)?`), command{run: rollback, control: true}},
	{pattern(`discard all`), command{run: discard, control: true}},
	{pattern(`set .*`), command{run: set, control: true}},
	{pattern(`select pg_sleep\(~%~\)`), command{run: sleep, columns: []string{"pg_sleep"}}},
	{pattern(`select \* from group_status\(\)`), command{run: groupStatus, columns: statusColumns}},
	{pattern(`select group_seal\(~%~,~%~\)`), command{run: groupSeal, columns: []string{"group_seal"}}},
	{pattern(`select group_promote\(~%~,~%~\)`), command{run: groupPromote, columns: []string{"group_promote"}}},
	{pattern(`select group_follow\(~%~,~%~\)`), command{run: groupFollow, columns: []string{"group_follow"}}},
}

var statusColumns = []string{"server", "role", "term", "sealed", "log_term", "received", "applied", "upstream_ms"}

// lookUp finds the form of a statement; an empty text gives a command without run.
func lookUp(text string) (command, error) {
	text = strings.TrimRight(strings.TrimSpace(stripComments(text)), "; \n\t")
	if text == "" {
		return command{}, nil
	}
	for _, f := range forms {
		found := f.pattern.FindStringSubmatch(text)
		if found == nil {
			continue
		}
		made := f.command
		made.args = arguments(found[1:])
		return made, nil
	}
	return command{}, errSyntax
}

var comment = regexp.MustCompile(`--[^\n]*|/\*[^*]*\*/`)

func stripComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	return comment.ReplaceAllString(text, "")
}

func arguments(found []string) []argument {
	args := make([]argument, 0, len(found))
	for _, text := range found {
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

func (c command) params() int {
	highest := 0
	for _, a := range c.args {
		highest = max(highest, a.param)
	}
	return highest
}

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

func selectValue(s *session, args []string) (answer, error) {
	value, found := s.read(args[0])
	if !found {
		return answer{tag: "SELECT 0"}, nil
	}
	return answer{rows: [][]string{{value}}, tag: "SELECT 1"}, nil
}

func countRows(s *session, _ []string) (answer, error) {
	rows := s.view()
	return answer{rows: [][]string{{strconv.Itoa(len(rows))}}, tag: "SELECT 1"}, nil
}

func selectAll(s *session, _ []string) (answer, error) {
	made := answer{}
	for _, row := range sortedRows(s.view()) {
		made.rows = append(made.rows, []string{row[0], row[1]})
	}
	made.tag = "SELECT " + strconv.Itoa(len(made.rows))
	return made, nil
}

func echo(_ *session, args []string) (answer, error) {
	return answer{rows: [][]string{{args[0]}}, tag: "SELECT 1"}, nil
}

func insert(s *session, args []string) (answer, error) {
	if err := s.lock(args[0]); err != nil {
		return answer{}, err
	}
	if _, found := s.read(args[0]); found {
		return answer{}, &sqlError{"23505", `duplicate key value violates unique constraint "ledger_pkey"`}
	}
	return answer{tag: "INSERT 0 1"}, s.write(change{id: args[0], value: args[1]})
}

func update(s *session, args []string) (answer, error) {
	if err := s.lock(args[1]); err != nil {
		return answer{}, err
	}
	if _, found := s.read(args[1]); !found {
		return answer{tag: "UPDATE 0"}, nil
	}
	return answer{tag: "UPDATE 1"}, s.write(change{id: args[1], value: args[0]})
}

func remove(s *session, args []string) (answer, error) {
	if err := s.lock(args[0]); err != nil {
		return answer{}, err
	}
	if _, found := s.read(args[0]); !found {
		return answer{tag: "DELETE 0"}, nil
	}
	return answer{tag: "DELETE 1"}, s.write(change{id: args[0], delete: true})
}

func begin(s *session, _ []string) (answer, error) {
	s.inTx = true
	return answer{tag: "BEGIN"}, nil
}

func commit(s *session, _ []string) (answer, error) {
	if s.failed {
		s.endTx()
		return answer{tag: "ROLLBACK"}, nil
	}
	err := s.commitTx()
	s.endTx()
	return answer{tag: "COMMIT"}, err
}

func rollback(s *session, _ []string) (answer, error) {
	s.endTx()
	return answer{tag: "ROLLBACK"}, nil
}

func discard(s *session, _ []string) (answer, error) {
	s.endTx()
	s.statements = map[string]*prepared{}
	return answer{tag: "DISCARD ALL"}, nil
}

func set(*session, []string) (answer, error) { return answer{tag: "SET"}, nil }

func sleep(_ *session, args []string) (answer, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return answer{}, &sqlError{"22P02", "invalid input syntax for type double precision"}
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return answer{rows: [][]string{{""}}, tag: "SELECT 1"}, nil
}

func groupStatus(s *session, _ []string) (answer, error) {
	r := s.server.store.status(s.server.faults.Lie.Load())
	row := []string{
		string(r.Server), string(r.Role), number(uint64(r.Term)), number(uint64(r.Sealed)),
		number(uint64(r.LogTerm)), r.Received.String(), r.Applied.String(), number(uint64(r.Upstream.Milliseconds())),
	}
	return answer{rows: [][]string{row}, tag: "SELECT 1"}, nil
}

func groupSeal(s *session, args []string) (answer, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	return truth(s.server.store.seal(ident.Term(term), args[1]))
}

func groupPromote(s *session, args []string) (answer, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	return truth(s.server.store.promote(ident.Term(term), args[1]))
}

func groupFollow(s *session, args []string) (answer, error) {
	term, _ := strconv.ParseUint(args[0], 10, 64)
	led := s.server.Status().Role == Primary
	followed := s.server.store.follow(ident.Term(term), ident.ServerID(args[1]))
	if led && followed {
		s.server.disconnect()
	}
	return truth(followed)
}

func truth(yes bool) (answer, error) {
	text := "f"
	if yes {
		text = "t"
	}
	return answer{rows: [][]string{{text}}, tag: "SELECT 1"}, nil
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
