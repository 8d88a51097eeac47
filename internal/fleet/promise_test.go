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

// bounded is the longest that any test here waits for anything.
const bounded = 20 * time.Second

func limited(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bounded)
	t.Cleanup(cancel)
	return ctx
}

func code(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return fmt.Sprint(err)
}

func put(t *testing.T, c *pgx.Conn, id, value string) error {
	t.Helper()
	_, err := c.Exec(limited(t), "INSERT INTO ledger (id, value) VALUES ($1, $2)", id, value)
	return err
}

func get(t *testing.T, c *pgx.Conn, id string) (string, error) {
	t.Helper()
	var value string
	err := c.QueryRow(limited(t), "SELECT value FROM ledger WHERE id = $1", id).Scan(&value)
	return value, err
}

// lagging starts the example with every replica applying late.
func lagging(t *testing.T, lag time.Duration) *Fleet {
	t.Helper()
	f := start(t, Config{Seed: 2})
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			s.Faults().ApplyLag.Store(int64(lag))
		}
	}
	return f
}

// TestRoamingSessionsReadTheirWrites writes at one instance and reads at every
// other, with the token and without, while all replicas are far behind.
func TestRoamingSessionsReadTheirWrites(t *testing.T) {
	f := lagging(t, 30*time.Second)
	members := f.Members()
	writer := connect(t, f.URL(members[0], "dealers-hanoi", "stock"))
	if err := put(t, writer, "frame", "central"); err != nil {
		t.Fatal(err)
	}
	token := writer.PgConn().ParameterStatus("geraniumseam.token")
	for _, m := range members {
		for _, with := range []string{"", "&geraniumseam.token=" + token} {
			c := connect(t, f.URL(m, "dealers-hanoi", "stock")+with)
			if value, err := get(t, c, "frame"); err != nil || value != "central" {
				t.Errorf("%s, token %q: %q, %v", m.ID, with, value, err)
			}
		}
	}
}

// TestStatedAgeReadsMayBeOld reads data of a stated age from a replica that is
// behind, and not when it is older than stated.
func TestStatedAgeReadsMayBeOld(t *testing.T) {
	f := lagging(t, 30*time.Second)
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	if err := put(t, c, "price", "100"); err != nil {
		t.Fatal(err)
	}
	ctx := limited(t)
	if _, err := c.Exec(ctx, "SET geraniumseam.max_age = '10m'", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Fatal(err)
	}
	before := f.Groups["stock"].Primary().Statements()
	if _, err := get(t, c, "price"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("a read of old data saw the newest: %v", err)
	}
	if after := f.Groups["stock"].Primary().Statements(); after != before {
		t.Error("a read of old data went to the primary")
	}
	if _, err := c.Exec(ctx, "SET geraniumseam.max_age = 'soon'", pgx.QueryExecModeSimpleProtocol); code(err) != "22023" {
		t.Errorf("a bad age: %v", err)
	}
}

// TestUnheldWritesAreNeitherAcknowledgedNorRead cuts the primary from its replicas;
// every read goes to the primary, which has what nobody else holds.
func TestUnheldWritesAreNeitherAcknowledgedNorRead(t *testing.T) {
	var baseline entry.Baseline
	baseline.PrimaryOnly = true
	f := start(t, Config{Seed: 3, Baseline: baseline, Adjust: func(c *conf.Config) {
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
	_, err := c.Exec(limited(t), "UPDATE ledger SET value = 'sold' WHERE id = 'bike'")
	if code(err) != "08007" {
		t.Fatalf("an unheld write ended as %v", err)
	}
	if primary.Rows()["bike"] != "sold" {
		t.Fatal("the primary did not take the write: the test shows nothing")
	}
	if value, err := get(t, c, "bike"); value == "sold" {
		t.Fatalf("an unheld write was read: %v", err)
	}
}

// TestWithdrawnKeyEndsCallers withdraws a key from callers that are idle, in a
// transaction and new; a second key of the same customer goes on working.
func TestWithdrawnKeyEndsCallers(t *testing.T) {
	f := start(t, Config{Seed: 4, Adjust: func(c *conf.Config) {
		c.Keys["hanoi-second"] = conf.Key{Customer: "dealers-hanoi", Hash: conf.HashKey("second-key")}
	}})
	m := f.Members()[0]
	target := f.URL(m, "dealers-hanoi", "stock")
	idle, inside := connect(t, target), connect(t, target)
	second := connect(t, strings.Replace(target, f.Key("dealers-hanoi"), "second-key", 1))
	tx, err := inside.Begin(limited(t))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(limited(t), "INSERT INTO ledger (id, value) VALUES ('x', 'y')"); err != nil {
		t.Fatal(err)
	}
	version, err := f.Change(limited(t), "test", func(c *conf.Config) { delete(c.Keys, "dealers-hanoi-first") })
	if err != nil {
		t.Fatal(err)
	}
	await(t, func() bool { return m.Instance.Snapshot().Version >= version })
	await(t, func() bool { return m.Instance.Callers() == 1 })
	for name, c := range map[string]*pgx.Conn{"idle": idle, "in a transaction": inside} {
		if _, err := get(t, c, "x"); err == nil {
			t.Errorf("a caller that was %s still runs requests", name)
		}
	}
	if _, err := pgx.Connect(limited(t), target); code(err) != "28P01" && !strings.Contains(err.Error(), "28P01") {
		t.Errorf("a new caller got %v", err)
	}
	if _, err := get(t, second, "x"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("the second key: %v; the withdrawn caller's transaction must be rolled back", err)
	}
}

// await waits, within bounds, until something holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(bounded); !holds(); {
		if time.Now().After(end) {
			t.Fatal("it never came to hold")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLostTransactionStaysLost kills the primary inside a transaction: what
// follows must not run on its own until the caller has ended the transaction.
func TestLostTransactionStaysLost(t *testing.T) {
	f := start(t, Config{Seed: 5})
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	ctx := limited(t)
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
	if err := run("INSERT INTO ledger (id, value) VALUES ('b', '1')"); code(err) != "40001" {
		t.Errorf("the next statement got %v", err)
	}
	if err := run("INSERT INTO ledger (id, value) VALUES ('c', '1')"); code(err) != "25P02" {
		t.Errorf("the one after it got %v", err)
	}
	if err := run("ROLLBACK"); err != nil {
		t.Errorf("ROLLBACK got %v", err)
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, err := get(t, c, id); !errors.Is(err, pgx.ErrNoRows) {
			t.Errorf("row %s: %v", id, err)
		}
	}
}

// TestStatementsMoveBetweenConnections runs the prepared statements of many
// callers, of pgx and of database/sql, over few connections.
func TestStatementsMoveBetweenConnections(t *testing.T) {
	f := start(t, Config{Seed: 6})
	target := f.URL(f.Members()[0], "dealers-hanoi", "stock")
	db, err := sql.Open("pgx", target)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(12)
	ctx := limited(t)
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

// TestKeysStayInside looks for a key in everything that leaves the proxy.
func TestKeysStayInside(t *testing.T) {
	f := start(t, Config{Seed: 7})
	m := f.Members()[0]
	c := connect(t, f.URL(m, "dealers-hanoi", "stock")+"&application_name=clerk")
	if err := put(t, c, "a", "1"); err != nil {
		t.Fatal(err)
	}
	key := f.Key("dealers-hanoi")
	_, err := pgx.Connect(limited(t), f.URL(m, "dealers-hanoi", "nowhere"))
	if err == nil || strings.Contains(code(err), key) {
		t.Errorf("refused with %v", err)
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
		t.Fatal("nothing was gathered: the test shows nothing")
	}
	if strings.Contains(out.String(), key) {
		t.Error("a key was found outside")
	}
}

// TestShutdownCutsNothing ends an instance while one caller is inside a
// transaction and another asks all the time.
func TestShutdownCutsNothing(t *testing.T) {
	f := start(t, Config{Seed: 8})
	m := f.Members()[0]
	inside, busy := connect(t, f.URL(m, "dealers-hanoi", "stock")), connect(t, f.URL(m, "dealers-hanoi", "stock"))
	ctx := limited(t)
	tx, err := inside.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan error)
	go func() {
		for {
			_, err := busy.Exec(ctx, "UPDATE ledger SET value = 'x' WHERE id = 'none'")
			if err != nil {
				asked <- err
				return
			}
		}
	}()
	ended := make(chan struct{})
	go func() {
		f.Retire(context.Background(), m)
		close(ended)
	}()
	if err := <-asked; code(err) != "57P01" {
		t.Errorf("the busy caller got %v, want to be told that its request did not run", err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ('late', '1')"); err != nil {
		t.Errorf("inside the transaction: %v", err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit: %v", err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the instance did not end")
	}
}

// TestPrimaryReturnsAsReplica lets a primary that led alone come back: its tail is discarded.
func TestPrimaryReturnsAsReplica(t *testing.T) {
	f := start(t, Config{Seed: 9})
	group := f.Groups["stock"]
	old := group.Primary()
	c := connect(t, f.URL(f.Members()[0], "dealers-hanoi", "stock"))
	if err := put(t, c, "kept", "1"); err != nil {
		t.Fatal(err)
	}
	old.Kill()
	await(t, func() bool { return group.Primary() != old })
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	await(t, func() bool {
		s := old.Status()
		return s.Role == dbase.Replica && s.Term > 1 && old.Rows()["kept"] == "1"
	})
}

// TestCancelReachesOnlyItsOwnStatement cancels one caller's slow statement, through another instance.
func TestCancelReachesOnlyItsOwnStatement(t *testing.T) {
	f := start(t, Config{Seed: 10})
	m := f.Members()[0]
	one, two := connect(t, f.URL(m, "dealers-hanoi", "stock")), connect(t, f.URL(m, "dealers-hanoi", "stock"))
	slow := func(c *pgx.Conn, seconds string) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(limited(t), "SELECT pg_sleep("+seconds+")", pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
		return done
	}
	first, second := slow(one, "15"), slow(two, "1")
	time.Sleep(200 * time.Millisecond)
	if err := one.PgConn().CancelRequest(limited(t)); err != nil {
		t.Fatal(err)
	}
	if err := <-first; err == nil {
		t.Error("the cancelled statement went on")
	}
	if err := <-second; err != nil {
		t.Errorf("another caller's statement got %v", err)
	}
}

// TestOpenRouteNeedsNoKey reads on a route that is open to all.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	f := start(t, Config{Seed: 11})
	m := f.Members()[0]
	c := connect(t, fmt.Sprintf("postgres://passer-by@%s/board?sslmode=disable", m.Instance.Addr()))
	if _, err := get(t, c, "nothing"); !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("an open route answered %v", err)
	}
}

// TestNotReadyWithoutConfiguration starts an instance while the platform is down.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	f := start(t, Config{Seed: 12})
	f.Platform.Faults().Outage.Store(true)
	m, err := f.Add("north-a")
	if err != nil {
		t.Fatal(err)
	}
	var why *entry.NotReadyError
	if err := m.Instance.Ready(); !errors.As(err, &why) {
		t.Fatalf("ready although it knows nothing: %v", err)
	}
	f.Platform.Faults().Outage.Store(false)
	await(t, func() bool { return m.Instance.Ready() == nil })
}

// TestConfigurationNeverGoesBack changes the configuration again and again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := start(t, Config{Seed: 13})
	highest := map[ident.InstanceID]ident.Version{}
	for n := range 5 {
		version, err := f.Change(limited(t), "test", func(c *conf.Config) { c.Defaults.QueueLength = 100 + n })
		if err != nil {
			t.Fatal(err)
		}
		await(t, func() bool {
			all := true
			for _, m := range f.Members() {
				now := m.Instance.Snapshot().Version
				if now < highest[m.ID] {
					t.Fatalf("%s went back from %d to %d", m.ID, highest[m.ID], now)
				}
				highest[m.ID] = now
				all = all && now >= version
			}
			return all
		})
	}
}

// TestIncidentsOutliveInstances replaces a primary and looks for the summary in the platform.
func TestIncidentsOutliveInstances(t *testing.T) {
	f := start(t, Config{Seed: 14})
	f.Groups["stock"].Primary().Kill()
	var kept objs.List
	await(t, func() bool {
		var err error
		kept, err = f.operator.List(limited(t), objs.Incidents)
		return err == nil && len(kept.Items) > 0
	})
	var incident entry.Incident
	if err := json.Unmarshal(kept.Items[0].Spec, &incident); err != nil {
		t.Fatal(err)
	}
	seen := map[jrnl.Kind]bool{}
	for _, e := range incident.Events {
		seen[e.Kind] = true
	}
	for _, kind := range []jrnl.Kind{jrnl.PrimarySuspect, jrnl.TermClaimed, jrnl.MajoritySealed, jrnl.ServerPromoted} {
		if !seen[kind] {
			t.Errorf("the incident does not tell of %s", kind)
		}
	}
}

// TestStatusTellsWhatIsInForce waits until every data centre has reported the version in force.
func TestStatusTellsWhatIsInForce(t *testing.T) {
	f := start(t, Config{Seed: 15})
	await(t, func() bool {
		all, err := confs.Statuses(limited(t), f.operator)
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
