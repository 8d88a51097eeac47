package fleet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

const (
	lostDeadline = 500 * time.Millisecond
	// lostDelay is how much later than the deadline a late answer comes.
	lostDelay   = 200 * time.Millisecond
	lostWorkers = 32
	lostTries   = 3
)

// lostStep is one message: its statements, and whether the extended protocol carries them.
type lostStep struct {
	statements []string
	prepared   bool
}

func parseLostSteps(text string) []lostStep {
	var steps []lostStep
	for message := range strings.SplitSeq(text, "|") {
		message, prepared := strings.CutPrefix(strings.TrimSpace(message), "prepared ")
		if message == "" {
			continue
		}
		step := lostStep{prepared: prepared}
		for statement := range strings.SplitSeq(message, ";") {
			step.statements = append(step.statements, strings.TrimSpace(statement))
		}
		steps = append(steps, step)
	}
	return steps
}

// lostCase is one case: statement number lost of message number at loses its answer at a point.
type lostCase struct {
	number        int
	state, script string
	before, steps []lostStep
	at, lost      int
	point         dbase.Point
	member        *Member
	place, end    string
}

// key names what the case has in common with those at other points and through other instances.
func (k *lostCase) key() string {
	return fmt.Sprintf("%s, %s, %s of message %d", k.script, k.state, k.steps[k.at].statements[k.lost], k.at+1)
}

// lostCases returns the product of the axes in testdata/lost-answers.
func lostCases(t *testing.T, places map[string]*Member) []*lostCase {
	t.Helper()
	content, err := os.ReadFile("testdata/lost-answers")
	if err != nil {
		t.Fatal(err)
	}
	axes := map[string][][2]string{}
	for line := range strings.Lines(string(content)) {
		axis, rest, found := strings.Cut(strings.TrimSpace(line), " ")
		if found && axis != "#" {
			name, value, _ := strings.Cut(rest, " ")
			axes[axis] = append(axes[axis], [2]string{name, value})
		}
	}
	var cases []*lostCase
	ends := []string{"COMMIT", "ROLLBACK"}
	add := func(k lostCase) {
		for at, place := range slices.Sorted(maps.Keys(places)) {
			one := k
			one.number, one.place, one.member = len(cases), place, places[place]
			one.end = ends[(at+len(cases)/len(places))%len(ends)]
			cases = append(cases, &one)
		}
	}
	for _, script := range axes["script"] {
		for _, state := range axes["state"] {
			k := lostCase{state: state[0], script: script[0], before: parseLostSteps(state[1]), steps: parseLostSteps(script[1])}
			for at, step := range k.steps {
				for lost := range step.statements {
					for _, point := range axes["point"] {
						k.at, k.lost, k.point = at, lost, dbase.Point(point[0])
						writes := (&lostCaller{}).rowsOf(step.statements[lost])
						if k.point == "none" && at+lost > 0 || k.point == dbase.Refused && len(writes) == 0 && step.statements[lost] != "COMMIT" {
							continue
						}
						if k.point != "none" && !slices.Contains(dbase.Points(), k.point) {
							t.Fatalf("unknown point %s", k.point)
						}
						add(k)
					}
				}
			}
		}
	}
	return cases
}

// told is what a caller has been told of a row. notRun and rolledBack promise that it is not kept.
type told string

const (
	pending    told = "pending"
	kept       told = "kept"
	notRun     told = "not-run"
	rolledBack told = "rolled-back"
	unknown    told = "unknown"
	// doubtful is unknown, but the transaction is still open for the caller, who can end it.
	doubtful told = "doubtful"
)

// lostCaller is the caller of one case, who keeps account of what it is told.
type lostCaller struct {
	conn   net.Conn
	front  *pgproto3.Frontend
	prefix string
	// status is that of the last ReadyForQuery, 0 once the connection is closed.
	status byte
	rows   map[string]told
	codes  []string
}

// rowsOf returns the rows that a statement writes; CALL and DO commit the first of theirs themselves.
func (c *lostCaller) rowsOf(statement string) []string {
	words := strings.Fields(statement)
	switch words[0] {
	case "ADD", "APPEND":
		return []string{c.prefix + words[1]}
	case "CALL", "DO":
		return []string{c.prefix + words[1], c.prefix + words[2]}
	}
	return nil
}

func (c *lostCaller) set(next told, rows ...string) {
	for _, id := range rows {
		c.rows[id] = next
	}
}

// change tells the caller something new of all rows of which it was told one of before.
func (c *lostCaller) change(next told, before ...told) {
	for id, was := range c.rows {
		if slices.Contains(before, was) {
			c.rows[id] = next
		}
	}
}

// text returns a statement's SQL, with the marker if it is not empty.
func (c *lostCaller) text(statement, marker string) string {
	rows := c.rowsOf(statement)
	sqlstate := strings.Join(strings.Fields(statement)[1+len(rows):], " ")
	switch verb, name, _ := strings.Cut(statement, " "); verb {
	case "ADD":
		statement = fmt.Sprintf("INSERT INTO ledger (id, value) VALUES ('%s', '+')", rows[0])
	case "APPEND":
		statement = fmt.Sprintf("SELECT append_value('%s', '+')", rows[0])
	case "PLEDGE":
		statement = fmt.Sprintf("INSERT INTO pledges (id, value) VALUES ('%s', '+')", c.prefix+name)
	case "CALL":
		statement = lostCall(rows, sqlstate)
	case "DO":
		statement = lostBlock(rows, sqlstate)
	}
	if marker != "" {
		// At the end, for a text that starts with a comment is not classified as a single statement.
		statement += " /* " + marker + " */"
	}
	return statement
}

// lostCall returns a CALL of a procedure that commits between two rows, and then raises a SQLSTATE
// unless it is empty; lostBlock returns a DO block that does the same.
func lostCall(rows []string, sqlstate string) string {
	if sqlstate == "" {
		return fmt.Sprintf("CALL add_pair('%s', '%s')", rows[0], rows[1])
	}
	return fmt.Sprintf("CALL add_pair_then_raise('%s', '%s', '%s')", rows[0], rows[1], sqlstate)
}

func lostBlock(rows []string, sqlstate string) string {
	body := fmt.Sprintf("INSERT INTO ledger VALUES ('%s', '+'); COMMIT; INSERT INTO ledger VALUES ('%s', '+');", rows[0], rows[1])
	if sqlstate != "" {
		body += fmt.Sprintf(" RAISE SQLSTATE '%s';", sqlstate)
	}
	return "DO $$ BEGIN " + body + " END $$"
}

// run sends a message, whose statement number lost gets the marker, and takes in the answer; it
// reports whether the answer had no error.
func (c *lostCaller) run(step lostStep, lost int, marker string) bool {
	texts := make([]string, len(step.statements))
	for at, statement := range step.statements {
		texts[at] = c.text(statement, "")
		if at == lost {
			texts[at] = c.text(statement, marker)
		}
	}
	c.send(step.prepared, texts)
	var tags []string
	var failed *pgproto3.ErrorResponse
	c.status = 0
	for c.status == 0 {
		m, err := c.front.Receive()
		if err != nil {
			break
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			tags = append(tags, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			answer := *m
			failed = &answer
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
		}
	}
	c.learn(step.statements, tags, failed)
	return failed == nil && c.status != 0
}

func (c *lostCaller) send(prepared bool, texts []string) {
	if !prepared {
		c.front.Send(&pgproto3.Query{String: strings.Join(texts, "; ")})
		_ = c.front.Flush()
		return
	}
	for at, text := range texts {
		name := fmt.Sprintf("s%d", at)
		literal := regexp.MustCompile(`\('(.*)', '(.*)'\)`)
		bind := &pgproto3.Bind{PreparedStatement: name}
		if match := literal.FindStringSubmatch(text); match != nil {
			text = literal.ReplaceAllString(text, "($$1, $$2)")
			bind.Parameters = [][]byte{[]byte(match[1]), []byte(match[2])}
		}
		c.front.Send(&pgproto3.Parse{Name: name, Query: text})
		c.front.Send(bind)
		c.front.Send(&pgproto3.Execute{})
	}
	c.front.Send(&pgproto3.Sync{})
	_ = c.front.Flush()
}

var outcomeDetail = regexp.MustCompile(`reason=(\S+) outcome=(\S+)`)

// learn takes in what an answer says of the rows that the message and the open transaction wrote.
func (c *lostCaller) learn(statements, tags []string, failed *pgproto3.ErrorResponse) {
	outcome := "done"
	if failed != nil {
		outcome = "failed"
		code := failed.Code
		if match := outcomeDetail.FindStringSubmatch(failed.Detail); match != nil {
			code, outcome = failed.Code+" "+match[1]+" "+match[2], match[2]
		}
		if strings.Contains(failed.Message, "pledges") {
			// Its constraint is violated by what the script runs once.
			code += " of the commit"
		}
		c.codes = append(c.codes, code)
	}
	if outcome == "not-run" {
		tags = nil
	}
	ended := c.status != 'T' && c.status != 'E'
	for at, statement := range statements {
		rows := c.rowsOf(statement)
		writes := len(rows) > 0
		switch {
		case at >= len(tags) && outcome == "unknown" && writes:
			c.set(doubtful, rows...)
		case at >= len(tags) && outcome == "unknown" && statement == "COMMIT":
			c.change(doubtful, pending)
		case at >= len(tags) && outcome == "unknown" && strings.HasPrefix(statement, "BEGIN") && slices.Contains(statements[:at], "COMMIT"):
			// What the caller is told of the open transaction is said of the later one.
			c.change(unknown, doubtful)
		case at == len(tags) && outcome == "failed" && len(rows) > 1 && c.status == 'I' && failed.Code != "2D000":
			// Outside a block it may have committed, with what ran before it, and failed then.
			c.change(unknown, pending)
			c.set(unknown, rows[0])
			c.set(notRun, rows[1])
		case at >= len(tags) && (outcome == "failed" || outcome == "not-run") && writes:
			c.set(notRun, rows...)
		case writes:
			c.set(pending, rows...)
		case at >= len(tags):
		case tags[at] == "COMMIT":
			c.change(kept, pending)
		case statement == "COMMIT":
			// The answer ROLLBACK to a COMMIT says that nothing of the transaction is kept.
			c.change(rolledBack, pending, doubtful)
		case statement == "ROLLBACK":
			c.change(rolledBack, pending)
		}
	}
	switch {
	case !ended:
	case outcome == "done" && c.status == 'I':
		c.change(kept, pending)
		c.change(unknown, doubtful)
	case outcome == "not-run":
		c.change(notRun, pending)
	case outcome == "failed" && c.status == 'I':
		c.change(rolledBack, pending)
	default:
		c.change(unknown, pending, doubtful)
	}
}

// open connects the caller of a case and brings its session into the case's state.
func (k *lostCase) open(f *Fleet, try int) (*lostCaller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, f.URL(k.member, "dealers-hanoi", "stock"))
	if err != nil {
		return nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	c := &lostCaller{conn: hijacked.Conn, front: hijacked.Frontend, prefix: fmt.Sprintf("c%05d-%d-", k.number, try), status: 'I', rows: map[string]told{}}
	_ = c.conn.SetDeadline(time.Now().Add(testTimeout))
	for _, step := range k.before {
		statements := slices.Clone(step.statements)
		for at := range statements {
			statements[at] = strings.ReplaceAll(statements[at], "CASE", fmt.Sprint(k.number*lostTries+try))
		}
		if !c.run(lostStep{statements: statements}, -1, "") {
			c.conn.Close()
			return nil, fmt.Errorf("state %s: %v", k.state, c.codes)
		}
	}
	return c, nil
}

// play plays a case and returns its caller; reached tells whether the fault happened.
func (k *lostCase) play(f *Fleet) (c *lostCaller, reached bool, err error) {
	for try := range lostTries {
		if c, err = k.open(f, try); err == nil {
			break
		}
	}
	if err != nil {
		return nil, false, err
	}
	defer c.conn.Close()
	loss := &dbase.Loss{Marker: fmt.Sprintf("lost %05d", k.number), At: k.point, Delay: lostDeadline + lostDelay}
	if k.point != "none" {
		for _, s := range f.Groups["stock"].Servers() {
			s.Faults().Lose(loss)
		}
	}
	well := true
	for at, step := range k.steps {
		lost := -1
		if at == k.at {
			lost = k.lost
		}
		if well = c.run(step, lost, loss.Marker); !well {
			break
		}
	}
	if c.status != 0 && (!well || c.status != 'I') {
		c.run(lostStep{statements: []string{k.end}}, -1, "")
	}
	c.change(unknown, pending, doubtful)
	return c, k.point == "none" || loss.Taken(), nil
}

// recentEvents describes what an instance did in the last seconds.
func recentEvents(m *Member) string {
	var text strings.Builder
	for _, e := range m.Instance.Journal().Since(time.Now().Add(-3 * time.Second)) {
		fmt.Fprintf(&text, "\n%s %s %s %s %s", e.At.Format(time.StampMilli), e.Kind, e.Server, e.Reason, e.Evidence)
	}
	return text.String()
}

// wrongs compares what the caller was told with what the servers hold.
func (c *lostCaller) wrongs(writes []map[string]int, primary int) []string {
	var wrong []string
	for id, told := range c.rows {
		most := 0
		for _, counts := range writes {
			most = max(most, counts[id])
		}
		switch {
		case most > 1 || slices.Contains(c.codes, "23505"):
			wrong = append(wrong, "ran twice")
		case most > 0 && (told == notRun || told == rolledBack):
			wrong = append(wrong, fmt.Sprintf("told %s and kept", told))
		case writes[primary][id] == 0 && told == kept:
			wrong = append(wrong, "acknowledged and lost")
		}
	}
	slices.Sort(wrong)
	return slices.Compact(wrong)
}

// lostPlaces returns an owner of the group and an instance of its data centre that runs work there.
func lostPlaces(t *testing.T, f *Fleet) map[string]*Member {
	t.Helper()
	owners := map[ident.CenterID]*Member{}
	for _, m := range f.Members() {
		if slices.Contains(m.Instance.Host().Groups(), "stock") {
			owners[m.Center] = m
		}
	}
	for _, m := range f.Members() {
		if o := owners[m.Center]; o != nil && o != m {
			return map[string]*Member{"local": o, "peer": m}
		}
	}
	t.Fatal("no data centre has an owner and another instance")
	return nil
}

// TestCommittedInsertIsNotReportedAsNotRun loses the answer to each statement of the scripts in
// testdata/lost-answers and compares what the caller is told with what the servers hold: what was
// told not to have run, or to be rolled back, must not be kept, what was acknowledged must be, and
// nothing may run twice.
func TestCommittedInsertIsNotReportedAsNotRun(t *testing.T) {
	d, err := Load("hoang-lien")
	if err != nil {
		t.Fatal(err)
	}
	d.Latency, d.ServiceTime, d.ConnectTime = time.Millisecond, 0, 0
	for id, g := range d.Config.Groups {
		g.Connections, g.Slots = 600, 100
		d.Config.Groups[id] = g
	}
	f := start(t, Config{Deployment: d, Seed: 29, AdjustConfig: func(c *conf.Config) {
		c.Defaults.StatementDeadline = lostDeadline
		c.Customers["dealers-hanoi"] = conf.Customer{Rate: 1e6, Burst: 1e6, Weight: 1}
	}})
	cases := lostCases(t, lostPlaces(t, f))
	callers, reached := make([]*lostCaller, len(cases)), make([]bool, len(cases))
	queue := make(chan *lostCase)
	var wg sync.WaitGroup
	for range lostWorkers {
		wg.Go(func() {
			for k := range queue {
				var err error
				if callers[k.number], reached[k.number], err = k.play(f); err != nil {
					t.Errorf("case %s at %s: %v%s", k.key(), k.point, err, recentEvents(k.member))
				}
			}
		})
	}
	for _, k := range cases {
		queue <- k
	}
	close(queue)
	wg.Wait()
	time.Sleep(lostDeadline + lostDelay)

	servers := f.Groups["stock"].Servers()
	primary := slices.Index(servers, f.Groups["stock"].Primary())
	writes := make([]map[string]int, len(servers))
	for at, s := range servers {
		writes[at] = s.Writes()
	}
	found := map[string][]string{}
	counts := map[string]int{}
	misses, bad, total := 0, 0, map[string]int{}
	for _, k := range cases {
		c := callers[k.number]
		if c == nil {
			continue
		}
		if !reached[k.number] {
			misses++
		}
		wrongs := c.wrongs(writes, primary)
		if len(wrongs) > 0 {
			bad++
		}
		for _, wrong := range wrongs {
			total[wrong]++
			key := wrong + ": " + k.key()
			counts[key]++
			found[key] = append(found[key], string(k.point), k.place, strings.Join(c.codes, ", then "))
		}
	}
	if misses > len(cases)/20 {
		t.Errorf("in %d of %d cases the fault did not happen, so the test checks too little", misses, len(cases))
	}
	t.Logf("%d cases, the fault did not happen in %d; %d are wrong: %v", len(cases), misses, bad, total)
	for _, key := range slices.Sorted(maps.Keys(found)) {
		slices.Sort(found[key])
		t.Errorf("%s: %d cases: %s", key, counts[key], strings.Join(slices.Compact(found[key]), "; "))
	}
}
