package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

func start(t *testing.T, c Config) *Fleet {
	t.Helper()
	if c.Deployment == nil {
		d, err := Load("hoang-lien")
		if err != nil {
			t.Fatal(err)
		}
		c.Deployment = d
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// TestReadWriteThroughEveryInstance writes and reads a row through each instance and
// checks that the caller receives a consistency token.
func TestReadWriteThroughEveryInstance(t *testing.T) {
	f := start(t, Config{Seed: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for at, m := range f.Members() {
		c := connect(t, f.URL(m, "dealers-hanoi", "stock"))
		id := fmt.Sprintf("bike-%d", at)
		if _, err := c.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", id, "free"); err != nil {
			t.Fatal(m.ID, err)
		}
		var value string
		if err := c.QueryRow(ctx, "SELECT value FROM ledger WHERE id = $1", id).Scan(&value); err != nil || value != "free" {
			t.Fatal(m.ID, value, err)
		}
		if token := c.PgConn().ParameterStatus("geraniumseam.token"); token == "" {
			t.Fatal("the instance reported no consistency token")
		}
	}
}
