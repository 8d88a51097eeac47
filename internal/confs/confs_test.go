package confs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/platf"
)

func client(t *testing.T) (*platf.Platform, *plat.Client) {
	t.Helper()
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, plat.New(plat.Config{
		URL: p.URL(), CallTime: time.Second, WatchTime: 100 * time.Millisecond, Attempts: 3,
		Backoff: retry.Backoff{First: time.Millisecond, Most: 5 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func limited(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func sized(customers int) conf.Config {
	c := conf.New()
	for at := range customers {
		c.Customers[ident.CustomerID(string(rune('a'+at)))] = conf.Customer{Rate: 1, Burst: 1, Weight: 1}
	}
	return c
}

// TestOneOperatorWins lets many change the same version at once.
func TestOneOperatorWins(t *testing.T) {
	p, s := client(t)
	ctx := limited(t)
	based, err := Apply(ctx, s, sized(1), 0, "first", "begin")
	if err != nil {
		t.Fatal(err)
	}
	p.Faults().LoseAnswers.Store(3)
	const operators = 8
	ends := make([]error, operators)
	var wait sync.WaitGroup
	for at := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, ends[at] = Apply(ctx, s, sized(at+2), based, string(rune('A'+at)), "race")
		}()
	}
	wait.Wait()
	b, err := Load(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	kept, err := b.Config()
	if err != nil {
		t.Fatalf("what is kept is not whole: %v", err)
	}
	winners := 0
	for at, end := range ends {
		var lost *LostRaceError
		switch {
		case end == nil:
			winners++
			if len(kept.Customers) != at+2 || b.Head.Author != string(rune('A'+at)) {
				t.Errorf("operator %d won, but %s's is kept", at, b.Head.Author)
			}
		case !errors.As(end, &lost):
			t.Errorf("operator %d got %v", at, end)
		case lost.Author != b.Head.Author:
			t.Errorf("operator %d was told of %s, %s won", at, lost.Author, b.Head.Author)
		}
	}
	if winners != 1 {
		t.Errorf("%d operators won", winners)
	}
}

// TestVersionsOnlyRise offers bundles in any order, some of them broken.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeeper(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
		highest := ident.Version(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			version := ident.Version(rapid.IntRange(1, 20).Draw(t, "version"))
			c := sized(int(version))
			if rapid.IntRange(0, 4).Draw(t, "invalid") == 0 {
				c.Customers["a"] = conf.Customer{}
			}
			head, pages, err := conf.Split(c)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "incomplete") == 0 {
				delete(pages, head.Pages[rapid.IntRange(0, len(head.Pages)-1).Draw(t, "page")])
			}
			k.Offer(Bundle{Version: version, Head: head, Pages: pages}, "test")
			now := k.Current()
			if now.Version < highest {
				t.Fatalf("went back from %d to %d", highest, now.Version)
			}
			if now.Version > 0 && len(now.Customers) != int(now.Version) {
				t.Fatalf("version %d is not whole: %d customers", now.Version, len(now.Customers))
			}
			highest = now.Version
		}
	})
}

// TestRelayFollows changes the configuration behind a relay, through an outage.
func TestRelayFollows(t *testing.T) {
	p, s := client(t)
	ctx := limited(t)
	k := NewKeeper(jrnl.New(jrnl.Config{Capacity: 100, Now: time.Now}), time.Now)
	r := &Relay{Store: s, Keeper: k}
	version := ident.Version(0)
	for round := range 4 {
		p.Faults().Outage.Store(round == 2)
		if round == 2 {
			if err := r.Once(ctx); !plat.Is(err, plat.Unreachable) {
				t.Fatalf("during an outage: %v", err)
			}
			continue
		}
		var err error
		if version, err = Apply(ctx, s, sized(round+1), version, "test", "round"); err != nil {
			t.Fatal(err)
		}
		for k.Current().Version != version {
			if err := r.Once(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
}
