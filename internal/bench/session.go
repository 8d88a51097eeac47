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

// The kinds of request that a deployment's mix names.
const (
	kindLook    = "look"
	kindReserve = "reserve"
	kindMove    = "move"
	kindUpdate  = "update"
	kindBoard   = "board"
)

const (
	boardAge    = 5 * time.Second
	connectTime = 3 * time.Second
	requestTime = 15 * time.Second
	// roamPart is how many requests in a hundred begin by moving to another instance.
	roamPart = 5
	tokenKey = "geraniumseam.token"
	ageKey   = "geraniumseam.max_age"
)

// caller is one session of a customer: it owns two rows and roams between instances.
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
	serial   int
	// kinds counts the outcomes by kind of request.
	tally *tally
}

func (c *caller) close() {
	if c.conn == nil {
		return
	}
	if t := c.conn.PgConn().ParameterStatus(tokenKey); t != "" {
		c.token = t
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connect goes to some instance; half of the time it shows the token of its session.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.close()
	members := slices.DeleteFunc(c.run.fleet.Members(), func(m *fleet.Member) bool { return m.Instance.Ready() != nil })
	if len(members) == 0 {
		return errNoMember
	}
	m := members[c.random.IntN(len(members))]
	target := c.run.fleet.URL(m, c.customer, c.database)
	if c.token != "" && c.random.IntN(2) == 0 {
		target += "&" + url.QueryEscape(tokenKey) + "=" + url.QueryEscape(c.token)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	conn, err := pgx.Connect(ctx, target)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

var errNoMember = &fleetEmptyError{}

type fleetEmptyError struct{}

// Error implements error.
func (*fleetEmptyError) Error() string { return "no instance is left" }

// one runs a single request of a random kind.
func (c *caller) one(ctx context.Context, due time.Time) {
	if c.random.IntN(100) < roamPart {
		c.close()
	}
	kind := c.mix[c.random.IntN(len(c.mix))]
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		c.tally.note(kind, c.judge(err, false), err, time.Since(due))
		return
	}
	outcome, err := c.askOnce(ctx, kind)
	if outcome == NotRun && reasonOf(err) == fault.ShuttingDown.String() {
		c.tally.reconnect()
		c.close()
		if err = c.connect(ctx); err == nil {
			outcome, err = c.askOnce(ctx, kind)
		}
	}
	c.tally.note(kind, outcome, err, time.Since(due))
}

// askOnce runs a request and notes what it spent.
func (c *caller) askOnce(ctx context.Context, kind string) (Outcome, error) {
	sent := time.Now()
	outcome, tokens, err := c.ask(ctx, kind)
	for range tokens {
		c.run.checker.spent(c.customer, sent)
	}
	return outcome, err
}

// ask runs a request and returns its outcome and how many statements were let through.
func (c *caller) ask(ctx context.Context, kind string) (Outcome, int, error) {
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

func (c *caller) look(ctx context.Context) (Outcome, int, error) {
	r := c.rows[c.random.IntN(len(c.rows))]
	text, found, err := c.fetch(ctx, r.id)
	if err != nil {
		return c.judge(err, false), tokensOf(err), err
	}
	c.run.checker.read(r, text, found)
	return Acked, 1, nil
}

func (c *caller) fetch(ctx context.Context, id string) (string, bool, error) {
	var text string
	err := c.conn.QueryRow(ctx, "SELECT value FROM ledger WHERE id = $1", id).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return "", false, nil
	}
	return text, err == nil, err
}

// reserve inserts a row that exists only once: a non-idempotent request.
func (c *caller) reserve(ctx context.Context) (Outcome, int, error) {
	c.serial++
	r := c.run.checker.newRow(c.group, fmt.Sprintf("%s-r%d", c.name, c.serial))
	n := c.run.checker.propose(r)
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", r.id, value(r.id, n))
	outcome := c.judge(err, true)
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == "23505" {
		c.run.checker.Violate(DoubledRun, "%s was inserted once and is there already", r.id)
	}
	c.run.checker.wrote(r, n, outcome)
	return outcome, tokensOf(err), err
}

func (c *caller) update(ctx context.Context, r *row) (Outcome, int, error) {
	n := c.run.checker.propose(r)
	tag, err := c.conn.Exec(ctx, "UPDATE ledger SET value = $1 WHERE id = $2", value(r.id, n), r.id)
	outcome := c.judge(err, true)
	if err == nil && tag.RowsAffected() == 0 {
		outcome = Failed
		c.run.checker.Violate(LostWrite, "%s is gone", r.id)
	}
	c.run.checker.wrote(r, n, outcome)
	return outcome, tokensOf(err), err
}

// move changes both rows in one transaction.
func (c *caller) move(ctx context.Context) (Outcome, int, error) {
	tokens := 0
	a, b := c.run.checker.propose(c.rows[0]), c.run.checker.propose(c.rows[1])
	steps := []struct {
		text string
		args []any
	}{
		{"BEGIN", nil},
		{"UPDATE ledger SET value = $1 WHERE id = $2", []any{value(c.rows[0].id, a), c.rows[0].id}},
		{"UPDATE ledger SET value = $1 WHERE id = $2", []any{value(c.rows[1].id, b), c.rows[1].id}},
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
			outcome = c.judge(err, last)
			c.rollback(last)
			break
		}
		if !last {
			tokens++
		}
	}
	c.run.checker.wrote(c.rows[0], a, outcome)
	c.run.checker.wrote(c.rows[1], b, outcome)
	return outcome, tokens, err
}

func (c *caller) rollback(committing bool) {
	if committing || c.conn == nil || c.conn.IsClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTime)
	defer cancel()
	if _, err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
		c.close()
	}
}

// board reads a row of another session and accepts data of a stated age.
func (c *caller) board(ctx context.Context) (Outcome, int, error) {
	r := c.run.anyRow(c.group, c.random)
	if r == nil {
		return c.look(ctx)
	}
	if _, err := c.conn.Exec(ctx, "SET "+ageKey+" = '5s'", pgx.QueryExecModeSimpleProtocol); err != nil {
		return c.judge(err, false), 0, err
	}
	acked, at := c.run.checker.known(r)
	asked := time.Now()
	text, found, err := c.fetch(ctx, r.id)
	if err == nil {
		c.run.checker.aged(r, text, found, asked, boardAge, acked, at)
	}
	outcome := c.judge(err, false)
	if c.conn != nil {
		if _, reset := c.conn.Exec(ctx, "RESET "+ageKey, pgx.QueryExecModeSimpleProtocol); reset != nil {
			c.close()
		}
	}
	return outcome, tokensOf(err), err
}

// judge tells from an error what the caller knows about its request.
func (c *caller) judge(err error, writes bool) Outcome {
	if err == nil {
		return Acked
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		switch {
		case refused.Code == fault.UnknownState:
			return Unknown
		case strings.Contains(refused.Detail, "outcome=not-run"):
			return NotRun
		case strings.Contains(refused.Detail, "reason="):
			c.run.checker.Violate(Unexplained, "%s: %s", refused.Code, refused.Detail)
		}
		return Failed
	}
	c.close()
	if writes {
		return Unknown
	}
	return NotRun
}

// tokensOf returns how many tokens a single statement spent, as far as its caller can tell.
func tokensOf(err error) int {
	var refused *pgconn.PgError
	if err == nil {
		return 1
	}
	if errors.As(err, &refused) && !strings.Contains(refused.Detail, "outcome=not-run") {
		return 1
	}
	return 0
}

// reasonOf returns the reason that a refusal gave.
func reasonOf(err error) string {
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		return "connection"
	}
	_, rest, ok := strings.Cut(refused.Detail, "reason=")
	if !ok {
		return "server-" + refused.Code
	}
	reason, _, _ := strings.Cut(rest, " ")
	return reason
}
