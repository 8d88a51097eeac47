package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/pkg/ident"
)

// The kinds of request in a deployment's mix.
const (
	kindLook    = "look"
	kindReserve = "reserve"
	kindMove    = "move"
	kindUpdate  = "update"
	kindBoard   = "board"
)

const (
	// boardMaxAge is the maximum age of data that a board request accepts.
	boardMaxAge    = 5 * time.Second
	connectTimeout = 3 * time.Second
	requestTimeout = 15 * time.Second
	// roamPercent is the percentage of requests before which a session reconnects to a random instance.
	roamPercent   = 5
	tokenSetting  = "geraniumseam.token"
	maxAgeSetting = "geraniumseam.max_age"
)

// caller is one session of a customer. It is the only writer of its two rows and reconnects
// to random instances.
type caller struct {
	run      *run
	name     string
	customer ident.CustomerID
	database string
	group    ident.GroupID
	random   *rand.Rand
	mix      []string
	rows     [2]*row
	conn     *pgx.Conn
	token    string
	// serial numbers the rows that the session inserts by reserve requests.
	serial int
	// tally counts the requests of the session's customer.
	tally *tally
}

func (c *caller) close() {
	if c.conn == nil {
		return
	}
	if t := c.conn.PgConn().ParameterStatus(tokenSetting); t != "" {
		c.token = t
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connect opens a connection to a random ready instance if none is open; half of the time it
// passes the session's token.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.close()
	members := slices.DeleteFunc(c.run.fleet.Members(), func(m *fleet.Member) bool { return m.Instance.Ready() != nil })
	if len(members) == 0 {
		return errNoInstance
	}
	m := members[c.random.IntN(len(members))]
	target := c.run.fleet.URL(m, c.customer, c.database)
	if c.token != "" && c.random.IntN(2) == 0 {
		target += "&" + url.QueryEscape(tokenSetting) + "=" + url.QueryEscape(c.token)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, target)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

var errNoInstance = &noInstanceError{}

type noInstanceError struct{}

// Error implements error.
func (*noInstanceError) Error() string { return "no instance of the fleet is ready" }

// runRequest runs one request of a random kind and records its outcome. A request that an instance
// refuses because it is shutting down is sent to another instance once.
func (c *caller) runRequest(ctx context.Context, due time.Time) {
	if c.random.IntN(100) < roamPercent {
		c.close()
	}
	kind := c.mix[c.random.IntN(len(c.mix))]
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		c.tally.record(kind, c.outcomeOf(err, false), err, time.Since(due))
		return
	}
	outcome, err := c.executeRecorded(ctx, kind)
	if outcome == NotRun && refusalReason(err) == fault.ShuttingDown.String() {
		c.tally.countMoved()
		c.close()
		if err = c.connect(ctx); err == nil {
			outcome, err = c.executeRecorded(ctx, kind)
		}
	}
	c.tally.record(kind, outcome, err, time.Since(due))
}

// executeRecorded runs a request and records the rate tokens that it spent.
func (c *caller) executeRecorded(ctx context.Context, kind string) (Outcome, error) {
	sent := time.Now()
	outcome, tokens, err := c.execute(ctx, kind)
	for range tokens {
		c.run.checker.recordAdmitted(c.customer, sent)
	}
	return outcome, err
}

// execute runs a request and returns its outcome and the number of rate tokens that it spent.
func (c *caller) execute(ctx context.Context, kind string) (Outcome, int, error) {
	switch kind {
	case kindReserve:
		return c.reserve(ctx)
	case kindMove:
		return c.move(ctx)
	case kindUpdate:
		return c.update(ctx, c.rows[c.random.IntN(len(c.rows))])
	case kindBoard:
		return c.board(ctx)
	default:
		return c.look(ctx)
	}
}

// look reads one of the session's own rows.
func (c *caller) look(ctx context.Context) (Outcome, int, error) {
	r := c.rows[c.random.IntN(len(c.rows))]
	text, found, err := c.readRow(ctx, r.id)
	if err != nil {
		return c.outcomeOf(err, false), tokensSpent(err), err
	}
	c.run.checker.checkRead(r, text, found)
	return Acked, 1, nil
}

// readRow reads the value of a row; false means that no such row was found.
func (c *caller) readRow(ctx context.Context, id string) (string, bool, error) {
	var text string
	err := c.conn.QueryRow(ctx, "SELECT value FROM ledger WHERE id = $1", id).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return "", false, nil
	}
	return text, err == nil, err
}

// reserve inserts a new row, a request that is not idempotent: a second run fails on the primary key.
func (c *caller) reserve(ctx context.Context) (Outcome, int, error) {
	c.serial++
	r := c.run.checker.newRow(c.group, fmt.Sprintf("%s-r%d", c.name, c.serial))
	n := c.run.checker.nextValue(r)
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", r.id, formatValue(r.id, n))
	outcome := c.outcomeOf(err, true)
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == "23505" {
		c.run.checker.Violate(DoubledRun, "%s was inserted once but exists already", r.id)
	}
	c.run.checker.recordWrite(r, n, outcome)
	return outcome, tokensSpent(err), err
}

// update changes one row of the session.
func (c *caller) update(ctx context.Context, r *row) (Outcome, int, error) {
	n := c.run.checker.nextValue(r)
	tag, err := c.conn.Exec(ctx, "UPDATE ledger SET value = $1 WHERE id = $2", formatValue(r.id, n), r.id)
	outcome := c.outcomeOf(err, true)
	if err == nil && tag.RowsAffected() == 0 {
		outcome = Failed
		c.run.checker.Violate(LostAcknowledgedWrite, "%s was inserted but no longer exists", r.id)
	}
	c.run.checker.recordWrite(r, n, outcome)
	return outcome, tokensSpent(err), err
}

// move updates both rows of the session in one transaction.
func (c *caller) move(ctx context.Context) (Outcome, int, error) {
	tokens := 0
	a, b := c.run.checker.nextValue(c.rows[0]), c.run.checker.nextValue(c.rows[1])
	steps := []struct {
		text string
		args []any
	}{
		{"BEGIN", nil},
		{"UPDATE ledger SET value = $1 WHERE id = $2", []any{formatValue(c.rows[0].id, a), c.rows[0].id}},
		{"UPDATE ledger SET value = $1 WHERE id = $2", []any{formatValue(c.rows[1].id, b), c.rows[1].id}},
		{"COMMIT", nil},
	}
	outcome := Acked
	var err error
	for at, step := range steps {
		last := at == len(steps)-1
		var tag pgconn.CommandTag
		tag, err = c.conn.Exec(ctx, step.text, step.args...)
		if err == nil && last && tag.String() != "COMMIT" {
			outcome = Failed
		}
		if err != nil {
			outcome = c.outcomeOf(err, last)
			c.rollback(last)
			break
		}
		if !last {
			tokens++
		}
	}
	c.run.checker.recordWrite(c.rows[0], a, outcome)
	c.run.checker.recordWrite(c.rows[1], b, outcome)
	return outcome, tokens, err
}

// rollback ends a transaction after a failed statement other than COMMIT.
func (c *caller) rollback(committing bool) {
	if committing || c.conn == nil || c.conn.IsClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if _, err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
		c.close()
	}
}

// board reads a random row of the group with a maximum age.
func (c *caller) board(ctx context.Context) (Outcome, int, error) {
	r := c.run.randomRow(c.group, c.random)
	if r == nil {
		return c.look(ctx)
	}
	if _, err := c.conn.Exec(ctx, "SET "+maxAgeSetting+" = '5s'", pgx.QueryExecModeSimpleProtocol); err != nil {
		return c.outcomeOf(err, false), 0, err
	}
	acked, ackedAt := c.run.checker.lastAcked(r)
	sent := time.Now()
	text, found, err := c.readRow(ctx, r.id)
	if err == nil {
		c.run.checker.checkBoundedRead(r, text, found, sent, boardMaxAge, acked, ackedAt)
	}
	outcome := c.outcomeOf(err, false)
	if c.conn != nil {
		if _, resetErr := c.conn.Exec(ctx, "RESET "+maxAgeSetting, pgx.QueryExecModeSimpleProtocol); resetErr != nil {
			c.close()
		}
	}
	return outcome, tokensSpent(err), err
}

// outcomeOf derives the outcome of a request from its error, as far as the caller can tell.
func (c *caller) outcomeOf(err error, writes bool) Outcome {
	if err == nil {
		return Acked
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		switch {
		case pgErr.Code == fault.UnknownSQLState:
			return Unknown
		case strings.Contains(pgErr.Detail, "outcome=not-run"):
			return NotRun
		case strings.Contains(pgErr.Detail, "reason="):
			c.run.checker.Violate(UnexplainedRefusal, "%s: %s", pgErr.Code, pgErr.Detail)
		}
		return Failed
	}
	c.close()
	if writes {
		return Unknown
	}
	return NotRun
}

// tokensSpent returns how many rate tokens a single statement spent, as far as the caller can tell.
func tokensSpent(err error) int {
	var pgErr *pgconn.PgError
	if err == nil {
		return 1
	}
	if errors.As(err, &pgErr) && !strings.Contains(pgErr.Detail, "outcome=not-run") {
		return 1
	}
	return 0
}

// refusalReason returns the reason in the detail of a refusal; for any other error, "connection" or
// "server-" and the SQLSTATE.
func refusalReason(err error) string {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return "connection"
	}
	_, rest, ok := strings.Cut(pgErr.Detail, "reason=")
	if !ok {
		return "server-" + pgErr.Code
	}
	reason, _, _ := strings.Cut(rest, " ")
	return reason
}
