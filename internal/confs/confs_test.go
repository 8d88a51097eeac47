package confs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/platf"
)

func newClient(t *testing.T) (*platf.Platform, *plat.Client) {
	t.Helper()
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, plat.New(plat.Config{
		URL: p.URL(), CallTimeout: time.Second, Attempts: 3,
		Backoff: retry.Backoff{Initial: time.Millisecond, Max: 5 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func configWithCustomers(customers int) conf.Config {
	c := conf.New()
	for i := range customers {
		c.Customers[ident.CustomerID(string(rune('a'+i)))] = conf.Customer{Rate: 1, Burst: 1, Weight: 1}
	}
	return c
}

// TestConcurrentApplyHasOneWinner checks that of several concurrent changes of one version,
// with lost responses, exactly one is applied and the others get an error that names its
// author.
func TestConcurrentApplyHasOneWinner(t *testing.T) {
	p, s := newClient(t)
	ctx := testContext(t)
	base, err := Apply(ctx, s, configWithCustomers(1), ident.Version{}, "first", "begin")
	if err != nil {
		t.Fatal(err)
	}
	p.Faults().LoseAnswers.Store(3)
	const operators = 8
	results := make([]error, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, results[i] = Apply(ctx, s, configWithCustomers(i+2), base, string(rune('A'+i)), "race")
		}()
	}
	wait.Wait()
	b, err := Load(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := b.Config()
	if err != nil {
		t.Fatalf("the stored configuration is incomplete: %v", err)
	}
	winners := 0
	for i, result := range results {
		var lost *ConcurrentChangeError
		switch {
		case result == nil:
			winners++
			if len(stored.Customers) != i+2 || b.Head.Author != string(rune('A'+i)) {
				t.Errorf("operator %d got no error, but the configuration of %s is stored", i, b.Head.Author)
			}
		case !errors.As(result, &lost):
			t.Errorf("operator %d: got %v, want a ConcurrentChangeError", i, result)
		case lost.Author != b.Head.Author:
			t.Errorf("operator %d: the error names %s as author, want %s", i, lost.Author, b.Head.Author)
		}
	}
	if winners != 1 {
		t.Errorf("%d operators won, want 1", winners)
	}
}

// overtaken is a transport that loses the response to the first write of a configuration's head, and
// lets another operator replace that before the write is tried again.
type overtaken struct {
	once    sync.Once
	replace func()
}

// RoundTrip implements http.RoundTripper.
func (o *overtaken) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || r.Method != http.MethodPut || path.Base(r.URL.Path) != HeadName {
		return response, err
	}
	lost := false
	o.once.Do(func() {
		lost = true
		o.replace()
	})
	if lost {
		response.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return response, nil
}

// TestOvertakenChangeIsNotReportedAsNotApplied: a change is stored, its response is lost, and another
// operator replaces it before it is tried again. The conflict then found does not prove that nothing
// was applied; the one of a change that was never stored does.
func TestOvertakenChangeIsNotReportedAsNotApplied(t *testing.T) {
	p, other := newClient(t)
	ctx := testContext(t)
	base, err := Apply(ctx, other, configWithCustomers(1), ident.Version{}, "first", "begin")
	if err != nil {
		t.Fatal(err)
	}
	applied := ident.Version{}
	s := plat.New(plat.Config{
		URL: p.URL(), CallTimeout: time.Second, Attempts: 3, Backoff: retry.Backoff{Initial: time.Millisecond, Max: 5 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
		Transport: &overtaken{replace: func() {
			b, err := Load(ctx, other)
			if err != nil || b.Head.Author != "ana" {
				t.Errorf("stored by %q, %v; want ana's change", b.Head.Author, err)
			}
			if applied, err = Apply(ctx, other, configWithCustomers(3), b.Version, "ben", "replace"); err != nil {
				t.Error(err)
			}
		}},
	})
	_, err = Apply(ctx, s, configWithCustomers(2), base, "ana", "change")
	var conflict *ConcurrentChangeError
	if !errors.As(err, &conflict) || conflict.Author != "ben" || conflict.Stored != applied {
		t.Fatalf("got %v, want a ConcurrentChangeError that names ben", err)
	}
	if !conflict.MayHaveApplied || strings.Contains(err.Error(), "nothing of yours") {
		t.Errorf("a change that was applied for a time: %v", err)
	}
	_, err = Apply(ctx, s, configWithCustomers(4), base, "ana", "change")
	if !errors.As(err, &conflict) || conflict.MayHaveApplied || !strings.Contains(err.Error(), "nothing of yours was applied") {
		t.Errorf("a change that was never stored: %v", err)
	}
}

// slowDelete is a transport that calls a function before the first deletion.
type slowDelete struct {
	once   sync.Once
	before func()
}

// RoundTrip implements http.RoundTripper.
func (d *slowDelete) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodDelete {
		d.once.Do(d.before)
	}
	return http.DefaultTransport.RoundTrip(r)
}

// TestPagesInUseAreNotDeletedByAnEarlierWriter: between a writer's change and its deletion of the pages
// that it replaced, another one brings them back.
func TestPagesInUseAreNotDeletedByAnEarlierWriter(t *testing.T) {
	for name, bringBack := range map[string]func(ctx context.Context, s plat.Store, first, stored Bundle) error{
		"apply": func(ctx context.Context, s plat.Store, _, stored Bundle) error {
			_, err := Apply(ctx, s, configWithCustomers(2), stored.Version, "ben", "revert")
			return err
		},
		"write again": WriteAgain,
	} {
		t.Run(name, func(t *testing.T) {
			p, other := newClient(t)
			ctx := testContext(t)
			base, err := Apply(ctx, other, configWithCustomers(2), ident.Version{}, "first", "begin")
			if err != nil {
				t.Fatal(err)
			}
			first, err := Load(ctx, other)
			if err != nil {
				t.Fatal(err)
			}
			s := plat.New(plat.Config{
				URL: p.URL(), CallTimeout: time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1)),
				Transport: &slowDelete{before: func() {
					stored, err := Load(ctx, other)
					if err == nil {
						err = bringBack(ctx, other, first, stored)
					}
					if err != nil {
						t.Error(err)
					}
				}},
			})
			changed, err := Apply(ctx, s, configWithCustomers(1), base, "ana", "change")
			if err != nil {
				t.Fatal(err)
			}
			b, err := Load(ctx, other)
			if err != nil || !changed.Before(b.Version) {
				t.Fatalf("version %d, %v; want one after %d", b.Version, err, changed)
			}
			if c, err := b.Config(); err != nil || len(c.Customers) != 2 {
				t.Errorf("the configuration in force: %d customers, %v; want 2", len(c.Customers), err)
			}
		})
	}
}

// TestVersionNeverDecreases offers bundles in random order, some of them invalid or
// incomplete: the version in use never decreases and is always complete.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
		highest := ident.Version{}
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			version := ident.VersionOf(uint64(rapid.IntRange(1, 20).Draw(t, "version")))
			c := configWithCustomers(int(version.Revision()))
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
			if now.Version.Before(highest) {
				t.Fatalf("version decreased from %s to %s", highest, now.Version)
			}
			if !now.Version.IsZero() && len(now.Customers) != int(now.Version.Revision()) {
				t.Fatalf("version %s is incomplete: %d customers", now.Version, len(now.Customers))
			}
			highest = now.Version
		}
	})
}

// TestRelayFollowsChanges checks that a relay picks up every change, also after an outage of
// the platform.
func TestRelayFollowsChanges(t *testing.T) {
	p, s := newClient(t)
	ctx := testContext(t)
	k := NewCache(jrnl.New(jrnl.Config{Capacity: 100, Now: time.Now}), time.Now)
	r := &Relay{Store: s, Cache: k, WatchTime: 100 * time.Millisecond}
	version := ident.Version{}
	for round := range 4 {
		p.Faults().Outage.Store(round == 2)
		if round == 2 {
			if err := r.Step(ctx); !plat.HasCause(err, plat.Unreachable) {
				t.Fatalf("during an outage: got %v, want Unreachable", err)
			}
			continue
		}
		var err error
		if version, err = Apply(ctx, s, configWithCustomers(round+1), version, "test", "round"); err != nil {
			t.Fatal(err)
		}
		for k.Current().Version != version {
			if err := r.Step(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// copyStore is a platform whose list of servers is given.
type copyStore struct {
	plat.Store
	list objs.List
}

func (s *copyStore) List(context.Context, objs.Kind) (objs.List, error) { return s.list, nil }

func (s *copyStore) show(v ident.Version, servers ...objs.Server) {
	s.list = objs.List{Metadata: objs.ListMetadata{ResourceVersion: v.ResourceVersion()}}
	for _, server := range servers {
		spec, err := json.Marshal(server)
		if err != nil {
			panic(err)
		}
		s.list.Items = append(s.list.Items, objs.Object{Kind: objs.Servers, Metadata: objs.Metadata{Name: server.Address}, Spec: spec})
	}
}

// TestCopyBringsNoServerBack guards against work for servers that an older copy of the platform
// brings back: one that has left, one that was leaving and one that has started again.
func TestCopyBringsNoServerBack(t *testing.T) {
	entry := func(address string, state objs.LifecycleState, incarnation int64) objs.Server {
		return objs.Server{Group: "g", Address: address, State: state, Incarnation: incarnation}
	}
	store, cache := &copyStore{}, NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
	load := func(v ident.Version, servers ...objs.Server) {
		store.show(v, servers...)
		if err := (&ServerWatcher{Store: store, Cache: cache}).load(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	load(ident.NewVersion(1, 10), entry("left", objs.Leaving, 1), entry("leaving", objs.Live, 1), entry("restarted", objs.Live, 1), entry("later", objs.Live, 1))
	load(ident.NewVersion(1, 11), entry("leaving", objs.Leaving, 1), entry("restarted", objs.Live, 2), entry("later", objs.Live, 1))
	load(ident.NewVersion(2, 5), entry("left", objs.Live, 1), entry("leaving", objs.Live, 1), entry("restarted", objs.Live, 1))
	var got []string
	for _, s := range cache.Listing().Servers["g"] {
		got = append(got, fmt.Sprintf("%s leaving %t of %d", s.ID, s.Leaving, s.Incarnation))
	}
	want := []string{"later leaving false of 1", "leaving leaving true of 1", "restarted leaving false of 2"}
	if !slices.Equal(got, want) {
		t.Fatalf("servers after the restore: %q, want %q", got, want)
	}
	load(ident.NewVersion(3, 5), entry("left", objs.Live, 2))
	if servers := cache.Listing().Servers["g"]; !slices.ContainsFunc(servers, func(s conf.Server) bool { return s.ID == "left" }) {
		t.Fatalf("a server that started again is missing: %v", servers)
	}
}

// eventStore is a platform whose watches deliver the given events.
type eventStore struct {
	copyStore
	events [][]objs.Event
}

func (s *eventStore) Watch(_ context.Context, _ objs.Kind, after ident.Version, _ time.Duration, f func(objs.Event)) (ident.Version, error) {
	next := s.events[0]
	s.events = s.events[1:]
	for _, e := range next {
		f(e)
		after = ident.Latest(after, e.Object.Version())
	}
	return after, nil
}

// TestRepeatedEventBringsNoServerBack guards against work for a server that leaves, or has left, as an event of before that
// comes again.
func TestRepeatedEventBringsNoServerBack(t *testing.T) {
	event := func(kind objs.EventType, id string, state objs.LifecycleState, revision ident.Revision) objs.Event {
		spec, err := json.Marshal(objs.Server{Group: "g", Address: "10.0.0.1:1", State: state, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		version := ident.NewVersion(1, revision).ResourceVersion()
		return objs.Event{Type: kind, Object: objs.Object{Kind: objs.Servers, Metadata: objs.Metadata{Name: id, ResourceVersion: version}, Spec: spec}}
	}
	first := []objs.Event{event(objs.Modified, "a", objs.Live, 11), event(objs.Modified, "b", objs.Live, 12)}
	leaving := []objs.Event{event(objs.Modified, "a", objs.Leaving, 13), event(objs.Modified, "b", objs.Leaving, 14), event(objs.Deleted, "b", objs.Leaving, 14)}
	for name, second := range map[string][][]objs.Event{
		"later":                    {leaving, first},
		"in the same answer":       {slices.Concat(leaving, first)},
		"between":                  {slices.Concat(first, leaving[:1], first, leaving[1:], first)},
		"with a change of its own": {leaving, append(slices.Clone(first), event(objs.Modified, "c", objs.Live, 15))},
	} {
		store := &eventStore{events: append([][]objs.Event{first}, second...)}
		store.show(ident.NewVersion(1, 10))
		cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
		w := &ServerWatcher{Store: store, Cache: cache}
		for range len(store.events) + 1 {
			if err := w.Step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		var got []string
		for _, s := range cache.Listing().Servers["g"] {
			if s.ID != "c" {
				got = append(got, fmt.Sprintf("%s leaving %t", s.ID, s.Leaving))
			}
		}
		if want := []string{"a leaving true"}; !slices.Equal(got, want) {
			t.Errorf("events that come again %s: servers %q, want %q", name, got, want)
		}
	}
}

// headStore is a platform with one configuration that never changes.
type headStore struct {
	plat.Store
	bundle Bundle
}

func (s *headStore) List(context.Context, objs.Kind) (objs.List, error) {
	spec, err := json.Marshal(s.bundle.Head)
	if err != nil {
		return objs.List{}, err
	}
	version := s.bundle.Version.ResourceVersion()
	list := objs.List{Metadata: objs.ListMetadata{ResourceVersion: version}}
	list.Items = append(list.Items, objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: HeadName, ResourceVersion: version}, Spec: spec})
	for name, content := range s.bundle.Pages {
		list.Items = append(list.Items, objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: string(name)}, Spec: content})
	}
	return list, nil
}

// callStore records the lists and watches that reach a platform.
type callStore struct {
	plat.Store
	calls []string
}

func (s *callStore) List(ctx context.Context, k objs.Kind) (objs.List, error) {
	s.calls = append(s.calls, "list")
	return s.Store.List(ctx, k)
}

func (s *callStore) Watch(_ context.Context, _ objs.Kind, after ident.Version, _ time.Duration, _ func(objs.Event)) (ident.Version, error) {
	s.calls = append(s.calls, "watch")
	return after, nil
}

// TestBackupDoesNotContinueOldWatch guards against changes that are late because an instance that takes over from
// the relays continues a watch of long ago, which the store ends some time later.
func TestBackupDoesNotContinueOldWatch(t *testing.T) {
	cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
	relayed, watched := &callStore{Store: &copyStore{}}, &callStore{Store: &copyStore{}}
	r, w := &Relay{Store: relayed, Cache: cache}, &ServerWatcher{Store: watched, Cache: cache}
	steps := func(count int) {
		for range count {
			if err := errors.Join(r.Step(t.Context()), w.Step(t.Context())); err != nil {
				t.Fatal(err)
			}
		}
	}
	steps(3)
	r.position.reachedAt, w.position.reachedAt = r.position.reachedAt.Add(-maxWatchGap), w.position.reachedAt.Add(-maxWatchGap)
	steps(2)
	want := []string{"list", "watch", "watch", "list", "watch"}
	if !slices.Equal(relayed.calls, want) || !slices.Equal(watched.calls, want) {
		t.Errorf("of the configuration %q, of the servers %q; want %q", relayed.calls, watched.calls, want)
	}
}

// TestOlderCopyConfirmsTheConfigurationInForce guards against keys that are refused because the
// configuration in force counts as unconfirmed while a restored platform holds an older one.
func TestOlderCopyConfirmsTheConfigurationInForce(t *testing.T) {
	bundle := func(customers int, v ident.Version) Bundle {
		head, pages, err := conf.Split(configWithCustomers(customers))
		if err != nil {
			t.Fatal(err)
		}
		return Bundle{Version: v, Head: head, Pages: pages}
	}
	now := time.Unix(1000, 0)
	cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), func() time.Time { return now })
	load := func(b Bundle) {
		if err := (&Relay{Store: &headStore{bundle: b}, Cache: cache}).Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	load(bundle(2, ident.VersionOf(8)))
	now = now.Add(time.Hour)
	load(bundle(1, ident.VersionOf(7)))
	if customers := len(cache.Current().Customers); customers != 2 || cache.SinceConfirmed() != 0 {
		t.Fatalf("%d customers in force, confirmed %v ago; want 2, confirmed now", customers, cache.SinceConfirmed())
	}
}

// lateStore is a platform whose watches end after a time on a clock.
type lateStore struct {
	headStore
	pass func()
}

func (s *lateStore) Watch(_ context.Context, _ objs.Kind, after ident.Version, _ time.Duration, _ func(objs.Event)) (ident.Version, error) {
	s.pass()
	return after, nil
}

// TestAnswerHeldUpConfirmsWhatHeldWhenItWasGiven guards against an old configuration that counts as
// just confirmed (CONFIG) because the platform's answer was held up, as by a cut or a frozen process.
func TestAnswerHeldUpConfirmsWhatHeldWhenItWasGiven(t *testing.T) {
	head, pages, err := conf.Split(configWithCustomers(1))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), func() time.Time { return now })
	if age := cache.SinceConfirmed(); age < 24*time.Hour {
		t.Errorf("never confirmed, and yet confirmed %v ago", age)
	}
	var takes time.Duration
	store := &lateStore{headStore: headStore{bundle: Bundle{Version: ident.VersionOf(8), Head: head, Pages: pages}}, pass: func() { now = now.Add(takes) }}
	r := &Relay{Store: store, Cache: cache, WatchTime: time.Second}
	for _, step := range []struct{ takes, want time.Duration }{
		{0, 0}, {time.Second, 0}, {7 * time.Second, 6 * time.Second}, {50 * time.Millisecond, 50 * time.Millisecond},
	} {
		takes = step.takes
		r.position.reachedAt = clock.Now()
		if err := r.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if age := cache.SinceConfirmed(); age != step.want {
			t.Errorf("a watch of 1 s took %v: confirmed %v ago, want %v", step.takes, age, step.want)
		}
	}
}

// TestLostConfigurationIsWrittenAgain guards against a configuration that is in force but lost on
// a restored platform: instances that start later would get the older one, and an operator would
// change that one.
func TestLostConfigurationIsWrittenAgain(t *testing.T) {
	p, s := newClient(t)
	ctx := testContext(t)
	cache := NewCache(jrnl.New(jrnl.Config{Capacity: 100, Now: time.Now}), time.Now)
	relays := []*Relay{{Store: s, Cache: cache, WritesAgain: true}, {Store: s, Cache: cache, WritesAgain: true}}
	version, copied := ident.Version{}, time.Time{}
	for customers := 1; customers <= 3; customers++ {
		var err error
		if version, err = Apply(ctx, s, configWithCustomers(customers), version, "luz", "more customers"); err != nil {
			t.Fatal(err)
		}
		if customers == 1 {
			time.Sleep(20 * time.Millisecond)
			copied = time.Now()
		}
	}
	step := func() {
		for _, r := range relays {
			_ = r.Step(ctx)
		}
	}
	for cache.Current().Version != version {
		step()
	}
	p.Restore(time.Since(copied))
	for restored := time.Now(); cache.Current().Version.Epoch() == 0; step() {
		if len(cache.Current().Customers) != 3 || time.Since(restored) > 5*time.Second {
			t.Fatalf("%d customers in force %v after the restore", len(cache.Current().Customers), time.Since(restored))
		}
	}
	stored, err := Load(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	config, err := stored.Config()
	if err != nil || len(config.Customers) != 3 || stored.Head.Author != "luz" {
		t.Fatalf("stored: %d customers by %s, %v; want 3 by luz", len(config.Customers), stored.Head.Author, err)
	}
	if _, err := Apply(ctx, s, configWithCustomers(4), stored.Version, "luz", "one more"); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); len(cache.Current().Customers) != 4; step() {
		if time.Since(began) > 5*time.Second {
			t.Fatal("a change after the restore is not in force")
		}
	}
}

// restoringStore restores the platform after the pages of a configuration have been written.
type restoringStore struct {
	plat.Store
	restore func()
}

func (s *restoringStore) Put(ctx context.Context, o objs.Object) (objs.Object, error) {
	if o.Metadata.Name == HeadName {
		s.restore()
	}
	return s.Store.Put(ctx, o)
}

// TestRestoreDuringApplyLosesNoPages guards against a head whose pages a restore has lost.
func TestRestoreDuringApplyLosesNoPages(t *testing.T) {
	p, s := newClient(t)
	ctx := testContext(t)
	base, err := Apply(ctx, s, configWithCustomers(1), ident.Version{}, "luz", "begin")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	restoring := &restoringStore{Store: s, restore: func() { p.Restore(time.Since(began)) }}
	if _, err := Apply(ctx, restoring, configWithCustomers(2), base, "luz", "two"); err != nil {
		t.Fatal(err)
	}
	stored, err := Load(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	if config, err := stored.Config(); err != nil || len(config.Customers) != 2 {
		t.Fatalf("stored configuration: %d customers, %v", len(config.Customers), err)
	}
}
