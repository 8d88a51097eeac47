package fleet

import (
	"bytes"
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/dbase"
)

// testTimeout bounds each wait in these tests.
const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// sqlState returns the SQLSTATE of a server error, or the text of any other error.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

func put(t *testing.T, c *pgx.Conn, id, value string) error {
	t.Helper()
	_, err := c.Exec(testContext(t), "INSERT INTO ledger (id, value) VALUES ($1, $2)", id, value)
	return err
}

func get(t *testing.T, c *pgx.Conn, id string) (string, error) {
	t.Helper()
	var value string
	err := c.QueryRow(testContext(t), "SELECT value FROM ledger WHERE id = $1", id).Scan(&value)
	return value, err
}

// startWithLag starts the example deployment with every replica applying entries after the given lag.
func startWithLag(t *testing.T, lag time.Duration) *Fleet {
	t.Helper()
	f := start(t, Config{Seed: 2})
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			s.Faults().ApplyLag.Store(int64(lag))
		}
	}
	return f
}

// TestReadYourWritesAcrossInstances writes through one instance and reads through every
// instance, with and without the session's token, while all replicas lag by 30 s.
func TestReadYourWritesAcrossInstances(t *testing.T) {
	f := startWithLag(t, 30*time.Second)
	members := f.Members()
	writer := connect(t, f.URL(members[0], "dealers-hanoi", "stock"))
	if err := put(t, writer, "frame", "central"); err != nil {
		t.Fatal(err)
	}
	token := writer.PgConn().ParameterStatus("geraniumseam.token")
	for _, m := range members {
		for _, parameter := range []string{"", "&geraniumseam.token=" + token} {
			c := connect(t, f.URL(m, "dealers-hanoi", "stock")+parameter)
			if value, err := get(t, c, "frame"); err != nil || value != "central" {
				t.Errorf("read through %s with parameter %q: got %q, %v", m.ID, parameter, value, err)
			}
		}
	}
}

// TestMaxAgeReadsUseLaggingReplicas checks that a read with a maximum age of 10 minutes is
// served by a replica that lags by 30 s, and that an invalid maximum age is refused.
func TestMaxAgeReadsUseLaggingReplicas(t *testing.T) {
	f := startWithLag(t, 30*time.Second)
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	if err := put(t, c, "price", "100"); err != nil {
		t.Fatal(err)
	}
	ctx := testContext(t)
	if _, err := c.Exec(ctx, "SET geraniumseam.max_age = '10m'", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Fatal(err)
	}
	before := f.Groups["stock"].Primary().Statements()
	if _, err := get(t, c, "price"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("bounded-staleness read: got %v, want no row, as the replicas lag", err)
	}
	if after := f.Groups["stock"].Primary().Statements(); after != before {
		t.Error("the bounded-staleness read ran on the primary")
	}
	if _, err := c.Exec(ctx, "SET geraniumseam.max_age = 'soon'", pgx.QueryExecModeSimpleProtocol); sqlState(err) != "22023" {
		t.Errorf("invalid geraniumseam.max_age: got %v, want 22023", err)
	}
}

// TestUnreplicatedWritesAreNeitherAcknowledgedNorRead cuts replication from the primary and
// sends every read to it. A write that only the primary holds must not be acknowledged,
// and no read may return it.
func TestUnreplicatedWritesAreNeitherAcknowledgedNorRead(t *testing.T) {
	var baseline entry.Baseline
	baseline.PrimaryOnly = true
	f := start(t, Config{Seed: 3, Baseline: baseline, AdjustConfig: func(c *conf.Config) {
		c.Defaults.AckDeadline = 300 * time.Millisecond
		c.Defaults.Silence = time.Minute
		c.Defaults.StatementDeadline = 2 * time.Second
	}})
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	if err := put(t, c, "bike", "free"); err != nil {
		t.Fatal(err)
	}
	primary := f.Groups["stock"].Primary()
	for _, s := range f.Groups["stock"].Servers() {
		if s != primary {
			primary.Faults().Partition(s.ID(), true)
		}
	}
	_, err := c.Exec(testContext(t), "UPDATE ledger SET value = 'sold' WHERE id = 'bike'")
	if sqlState(err) != "08007" {
		t.Fatalf("write without replication: got %v, want 08007", err)
	}
	if primary.Rows()["bike"] != "sold" {
		t.Fatal("the primary did not run the write, so the test checks nothing")
	}
	if value, err := get(t, c, "bike"); value == "sold" {
		t.Fatalf("a read returned a write that only the primary holds: %v", err)
	}
	// The query may write, as through a view, so that nobody knows what it has done.
	tag, err := c.Exec(testContext(t), "SELECT value FROM ledger WHERE id = 'bike'", pgx.QueryExecModeSimpleProtocol)
	if sqlState(err) != "08007" {
		t.Errorf("read without replication: got %s, %v, want 08007", tag, err)
	}
}

// TestPinnedSessionReadsNoUnreplicatedWrites: outside a transaction, a session that keeps its connection
// must not read a write that only the primary holds either, nor be told that a query is done that may
// have written.
func TestPinnedSessionReadsNoUnreplicatedWrites(t *testing.T) {
	f := start(t, Config{Seed: 3, AdjustConfig: func(c *conf.Config) {
		c.Defaults.AckDeadline = 300 * time.Millisecond
		c.Defaults.Silence = time.Minute
	}})
	target := f.URL(f.Members()[0], "dealers-hanoi", "stock")
	writer, pinned := connect(t, target), connect(t, target)
	if err := put(t, writer, "bike", "free"); err != nil {
		t.Fatal(err)
	}
	query := func() (string, error) {
		var value string
		err := pinned.QueryRow(testContext(t), "SELECT value FROM ledger WHERE id = 'bike'", pgx.QueryExecModeSimpleProtocol).Scan(&value)
		return value, err
	}
	if _, err := pinned.Exec(testContext(t), "SET statement_timeout FROM CURRENT", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Fatal(err)
	}
	if value, err := query(); err != nil || value != "free" {
		t.Fatalf("got %q, %v", value, err)
	}
	primary := f.Groups["stock"].Primary()
	for _, s := range f.Groups["stock"].Servers() {
		if s != primary {
			primary.Faults().Partition(s.ID(), true)
		}
	}
	if _, err := writer.Exec(testContext(t), "UPDATE ledger SET value = 'sold' WHERE id = 'bike'"); sqlState(err) != "08007" || primary.Rows()["bike"] != "sold" {
		t.Fatalf("write without replication: got %v, the primary holds %v", err, primary.Rows())
	}
	if value, err := query(); value == "sold" || sqlState(err) != "08007" {
		t.Errorf("read without replication: got %q, %v; want 08007", value, err)
	}
}

// TestCommitThatKeepsItsConnectionIsNotAcknowledgedUnreplicated cuts replication from the primary
// and commits by messages that leave a pinned connection or another transaction behind, or fail after: none of the
// writes, which only the primary holds, may be acknowledged.
func TestCommitThatKeepsItsConnectionIsNotAcknowledgedUnreplicated(t *testing.T) {
	f := start(t, Config{Seed: 3, AdjustConfig: func(c *conf.Config) {
		c.Defaults.AckDeadline = 300 * time.Millisecond
		c.Defaults.Silence = time.Minute
	}})
	primary := f.Groups["stock"].Primary()
	setReplication := func(cut bool) {
		for _, s := range f.Groups["stock"].Servers() {
			if s != primary {
				primary.Faults().Partition(s.ID(), cut)
			}
		}
	}
	if err := put(t, connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock")), "twice", "0"); err != nil {
		t.Fatal(err)
	}
	const duplicate = "INSERT INTO ledger (id, value) VALUES ('twice', '1')"
	for at, texts := range [][]string{
		{"BEGIN; INSERT INTO ledger (id, value) VALUES ('d', '1'); COMMIT; BEGIN; " + duplicate},
		{"BEGIN; INSERT INTO ledger (id, value) VALUES ('e', '1'); COMMIT; " + duplicate},
		{"BEGIN", "INSERT INTO ledger (id, value) VALUES ('f', '1'); COMMIT; BEGIN; " + duplicate},
		{"BEGIN", "INSERT INTO ledger (id, value) VALUES ('g', '1'); COMMIT; " + duplicate},
		{"INSERT INTO ledger (id, value) VALUES ('a', '1'); SET statement_timeout FROM CURRENT"},
		{"BEGIN; INSERT INTO ledger (id, value) VALUES ('b', '1'); COMMIT; BEGIN"},
		{"BEGIN", "INSERT INTO ledger (id, value) VALUES ('c', '1'); COMMIT; BEGIN"},
	} {
		c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
		for _, text := range texts[:len(texts)-1] {
			if _, err := c.Exec(testContext(t), text, pgx.QueryExecModeSimpleProtocol); err != nil {
				t.Fatal(err)
			}
		}
		setReplication(true)
		_, err := c.Exec(testContext(t), texts[len(texts)-1], pgx.QueryExecModeSimpleProtocol)
		setReplication(false)
		if sqlState(err) != "08007" {
			t.Errorf("message %d, without replication: got %v, want 08007", at, err)
		}
	}
	if rows := primary.Rows(); len(rows) != 8 {
		t.Errorf("the primary holds %v, want eight rows, or the test checks nothing", rows)
	}
}

// TestWithdrawnKeyDisconnectsCallers withdraws a key while one of its callers is idle and
// another is in a transaction. Both must be disconnected, the transaction rolled back and
// new callers refused; a second key of the same customer keeps working.
func TestWithdrawnKeyDisconnectsCallers(t *testing.T) {
	f := start(t, Config{Seed: 4, AdjustConfig: func(c *conf.Config) {
		c.Keys["hanoi-second"] = conf.Key{Customer: "dealers-hanoi", Hash: conf.HashKey("second-key")}
	}})
	m := f.Members()[0]
	target := f.URL(m, "dealers-hanoi", "stock")
	idle, inside := connect(t, target), connect(t, target)
	second := connect(t, strings.Replace(target, f.Key("dealers-hanoi"), "second-key", 1))
	tx, err := inside.Begin(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(testContext(t), "INSERT INTO ledger (id, value) VALUES ('x', 'y')"); err != nil {
		t.Fatal(err)
	}
	version, err := f.Change(testContext(t), "test", func(c *conf.Config) { delete(c.Keys, "dealers-hanoi-first") })
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return !m.Instance.Snapshot().Version.Before(version) })
	waitFor(t, func() bool { return m.Instance.Callers() == 1 })
	for name, c := range map[string]*pgx.Conn{"idle": idle, "in a transaction": inside} {
		_, err := get(t, c, "x")
		if err == nil {
			t.Errorf("a caller that was %s can still run requests", name)
		}
		var ended *pgconn.PgError
		if !errors.As(err, &ended) || strings.Contains(ended.Hint, "transaction was rolled back") != (c == inside) {
			t.Errorf("a caller that was %s: got %v, told %+v", name, err, ended)
		}
	}
	if _, err := pgx.Connect(testContext(t), target); sqlState(err) != "28P01" && !strings.Contains(err.Error(), "28P01") {
		t.Errorf("new caller with the withdrawn key: got %v, want 28P01", err)
	}
	if _, err := get(t, second, "x"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("read with the second key: got %v, want no row, as the transaction must be rolled back", err)
	}
}

// TestIdleCallerOfRemovedRouteIsToldSo removes a route while one of its callers is idle; it was told that its key had
// been withdrawn, though the key still opens other routes.
func TestIdleCallerOfRemovedRouteIsToldSo(t *testing.T) {
	f := start(t, Config{Seed: 38, AdjustConfig: func(c *conf.Config) { c.Routes["side"] = conf.Route{Service: "stock", Worth: 1} }})
	m := f.Members()[0]
	idle, other := connect(t, f.URL(m, "dealers-hanoi", "side")), connect(t, f.URL(m, "dealers-hanoi", "stock"))
	if _, err := f.Change(testContext(t), "test", func(c *conf.Config) { delete(c.Routes, "side") }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return m.Instance.Callers() == 1 })
	_, err := get(t, idle, "x")
	var ended *pgconn.PgError
	if !errors.As(err, &ended) || ended.Code != "3D000" || !strings.Contains(ended.Detail, "reason=route-gone") {
		t.Errorf("a caller of a removed route: told %v (%+v), want route-gone", err, ended)
	}
	if _, err := get(t, other, "x"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("with the same key on another route: got %v, want no row", err)
	}
}

// waitFor polls until the condition holds, and fails the test after testTimeout.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold within the time limit")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStatementsOfLostTransactionAreRefused kills the primary inside a transaction. Until
// the caller ends the transaction, later statements must be refused and not run outside it.
func TestStatementsOfLostTransactionAreRefused(t *testing.T) {
	f := start(t, Config{Seed: 5})
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	ctx := testContext(t)
	run := func(text string) error {
		_, err := c.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	if err := run("BEGIN"); err != nil {
		t.Fatal(err)
	}
	if err := run("INSERT INTO ledger (id, value) VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	f.Groups["stock"].Primary().Kill()
	if err := run("INSERT INTO ledger (id, value) VALUES ('b', '1')"); sqlState(err) != "40001" {
		t.Errorf("first statement after the loss: got %v, want 40001", err)
	}
	if err := run("INSERT INTO ledger (id, value) VALUES ('c', '1')"); sqlState(err) != "25P02" {
		t.Errorf("second statement after the loss: got %v, want 25P02", err)
	}
	if err := run("ROLLBACK"); err != nil {
		t.Errorf("ROLLBACK after the loss: %v", err)
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, err := get(t, c, id); !errors.Is(err, pgx.ErrNoRows) {
			t.Errorf("row %s of the lost transaction: got %v, want no row", id, err)
		}
	}
}

// TestPreparedStatementsAcrossPooledConnections runs prepared statements of many callers,
// with database/sql and pgx, over fewer connections to the backend servers.
func TestPreparedStatementsAcrossPooledConnections(t *testing.T) {
	f := start(t, Config{Seed: 6})
	target := f.URL(f.Members()[0], "dealers-hanoi", "stock")
	db, err := sql.Open("pgx", target)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(12)
	ctx := testContext(t)
	insert, err := db.PrepareContext(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	for at := range 12 {
		go func() {
			id := fmt.Sprintf("row-%d", at)
			_, err := insert.ExecContext(ctx, id, "v")
			var value string
			for n := 0; err == nil && n < 5; n++ {
				err = db.QueryRowContext(ctx, "SELECT value FROM ledger WHERE id = $1", id).Scan(&value)
			}
			done <- err
		}()
	}
	for range 12 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	c := connect(t, target)
	batch := &pgx.Batch{}
	for at := range 3 {
		batch.Queue("SELECT value FROM ledger WHERE id = $1", fmt.Sprintf("row-%d", at))
	}
	batch.Queue("SELECT count(*) FROM ledger")
	results := c.SendBatch(ctx, batch)
	for range 3 {
		var value string
		if err := results.QueryRow().Scan(&value); err != nil || value != "v" {
			t.Errorf("batch: %q, %v", value, err)
		}
	}
	if err := results.Close(); err != nil {
		t.Error(err)
	}
}

// TestKeysAreNotLeaked checks that a customer's key appears neither in errors, journals and
// metrics nor in what the backend servers receive.
func TestKeysAreNotLeaked(t *testing.T) {
	f := start(t, Config{Seed: 7})
	m := f.Members()[0]
	c := connect(t, f.URL(m, "dealers-hanoi", "stock")+"&application_name=clerk")
	if err := put(t, c, "a", "1"); err != nil {
		t.Fatal(err)
	}
	key := f.Key("dealers-hanoi")
	_, err := pgx.Connect(testContext(t), f.URL(m, "dealers-hanoi", "nowhere"))
	if err == nil || strings.Contains(sqlState(err), key) {
		t.Errorf("unknown database: got %v, want an error without the key", err)
	}
	var out bytes.Buffer
	for _, member := range f.Members() {
		_ = json.NewEncoder(&out).Encode(member.Instance.Journal().Since(time.Time{}))
		families, err := member.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			out.WriteString(family.String())
		}
	}
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			out.WriteString(strings.Join(s.RecordedInput(), "\n"))
		}
	}
	if !strings.Contains(out.String(), "geraniumseam") {
		t.Fatal("nothing was gathered, so the test checks nothing")
	}
	if strings.Contains(out.String(), key) {
		t.Error("the output contains a key")
	}
}

// TestGracefulShutdownInterruptsNoRequest shuts an instance down while one caller is in a
// transaction and another sends requests back to back. The transaction must complete, and
// the other caller must be told that its request did not run.
func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	f := start(t, Config{Seed: 8})
	m := f.Members()[0]
	inside, busy := connect(t, f.URL(m, "dealers-hanoi", "stock")), connect(t, f.URL(m, "dealers-hanoi", "stock"))
	ctx := testContext(t)
	tx, err := inside.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error)
	go func() {
		for {
			_, err := busy.Exec(ctx, "UPDATE ledger SET value = 'x' WHERE id = 'none'")
			if err != nil {
				refused <- err
				return
			}
		}
	}()
	ended := make(chan struct{})
	go func() {
		f.Retire(context.Background(), m)
		close(ended)
	}()
	if err := <-refused; sqlState(err) != "57P01" {
		t.Errorf("busy caller: got %v, want 57P01", err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ('late', '1')"); err != nil {
		t.Errorf("statement in the open transaction: %v", err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit: %v", err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the instance did not shut down in time")
	}
}

// TestOldPrimaryRejoinsAsReplica restarts a killed primary after another server was promoted;
// it must follow the new primary and hold the acknowledged row.
func TestOldPrimaryRejoinsAsReplica(t *testing.T) {
	f := start(t, Config{Seed: 9})
	group := f.Groups["stock"]
	old := group.Primary()
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	if err := put(t, c, "kept", "1"); err != nil {
		t.Fatal(err)
	}
	old.Kill()
	waitFor(t, func() bool { return group.Primary() != old })
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		s := old.Status()
		return s.Role == dbase.Replica && s.Term > 1 && old.Rows()["kept"] == "1"
	})
}

// TestCancelStopsOnlyOwnStatement cancels the slow statement of one caller; the slow statement
// of another caller must complete.
func TestCancelStopsOnlyOwnStatement(t *testing.T) {
	f := start(t, Config{Seed: 10})
	m := f.Members()[0]
	one, two := connect(t, f.URL(m, "dealers-hanoi", "stock")), connect(t, f.URL(m, "dealers-hanoi", "stock"))
	slow := func(c *pgx.Conn, seconds string) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(testContext(t), "SELECT pg_sleep("+seconds+")", pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
		return done
	}
	first, second := slow(one, "15"), slow(two, "1")
	time.Sleep(200 * time.Millisecond)
	if err := one.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := <-first; err == nil {
		t.Error("the cancelled statement completed")
	}
	if err := <-second; err != nil {
		t.Errorf("statement of the other caller: %v", err)
	}
}

// TestOpenRouteNeedsNoKey reads through a route that allows access without a key.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	f := start(t, Config{Seed: 11})
	m := f.Members()[0]
	c := connect(t, fmt.Sprintf("postgres://passer-by@%s/board?sslmode=disable", m.Instance.Addr()))
	if _, err := get(t, c, "nothing"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("read through an open route: got %v, want no row", err)
	}
}

// TestMaximumAgeOfRouteIsShown: a session that had set no maximum age of its own was shown 0s, though its reads
// could be as old as its route allows; one that had reset it was shown the old value.
func TestMaximumAgeOfRouteIsShown(t *testing.T) {
	f := start(t, Config{Seed: 37})
	c := connect(t, fmt.Sprintf("postgres://passer-by@%s/board?sslmode=disable", f.Members()[0].Instance.Addr()))
	for _, step := range []struct{ set, want string }{
		{"", "5s"}, {"SET geraniumseam.max_age = '1s'", "1s"}, {"SET geraniumseam.max_age = ''", "5s"},
	} {
		if _, err := c.Exec(testContext(t), step.set, pgx.QueryExecModeSimpleProtocol); err != nil {
			t.Fatal(err)
		}
		var shown string
		err := c.QueryRow(testContext(t), "SHOW geraniumseam.max_age", pgx.QueryExecModeSimpleProtocol).Scan(&shown)
		if err != nil || shown != step.want {
			t.Errorf("after %q: shown %q, %v; want %q", step.set, shown, err, step.want)
		}
	}
}

// TestNotReadyWithoutConfiguration starts an instance while the platform is down; it must not
// become ready before it has loaded the configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	f := start(t, Config{Seed: 12})
	f.Platform.Faults().Outage.Store(true)
	m, err := f.Add("north-a")
	if err != nil {
		t.Fatal(err)
	}
	var notReady *entry.NotReadyError
	if err := m.Instance.Ready(); !errors.As(err, &notReady) {
		t.Fatalf("without a configuration: got %v, want a NotReadyError", err)
	}
	f.Platform.Faults().Outage.Store(false)
	waitFor(t, func() bool { return m.Instance.Ready() == nil })
}

// TestConfigurationVersionNeverDecreases changes the configuration several times and checks
// that the version in force on an instance never decreases.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := start(t, Config{Seed: 13})
	highest := map[ident.InstanceID]ident.Version{}
	for n := range 5 {
		version, err := f.Change(testContext(t), "test", func(c *conf.Config) { c.Defaults.QueueLength = 100 + n })
		if err != nil {
			t.Fatal(err)
		}
		waitFor(t, func() bool {
			all := true
			for _, m := range f.Members() {
				current := m.Instance.Snapshot().Version
				if current.Before(highest[m.ID]) {
					t.Fatalf("%s went from version %s back to %s", m.ID, highest[m.ID], current)
				}
				highest[m.ID] = current
				all = all && !current.Before(version)
			}
			return all
		})
	}
}

// TestIncidentIsStoredInPlatform kills a primary and checks that the platform stores a summary
// of the failover, which outlives the instances' journals.
func TestIncidentIsStoredInPlatform(t *testing.T) {
	f := start(t, Config{Seed: 14})
	f.Groups["stock"].Primary().Kill()
	var incidents objs.List
	waitFor(t, func() bool {
		var err error
		incidents, err = f.operatorClient.List(testContext(t), objs.Incidents)
		return err == nil && len(incidents.Items) > 0
	})
	var incident entry.Incident
	if err := json.Unmarshal(incidents.Items[0].Spec, &incident); err != nil {
		t.Fatal(err)
	}
	seen := map[jrnl.Kind]bool{}
	for _, e := range incident.Events {
		seen[e.Kind] = true
	}
	for _, kind := range []jrnl.Kind{jrnl.PrimarySuspected, jrnl.TermClaimed, jrnl.MajoritySealed, jrnl.ServerPromoted} {
		if !seen[kind] {
			t.Errorf("the incident has no event %s", kind)
		}
	}
}

// TestStatusReportsVersionInForce waits until the status of every data centre reports the
// version in force.
func TestStatusReportsVersionInForce(t *testing.T) {
	f := start(t, Config{Seed: 15})
	waitFor(t, func() bool {
		all, err := confs.Statuses(testContext(t), f.operatorClient)
		if err != nil || len(all) != len(f.Deployment().Instances) {
			return false
		}
		for _, s := range all {
			if s.Least != f.version {
				return false
			}
		}
		return true
	})
}
