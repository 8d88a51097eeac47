package conf

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

func validConfig() Config {
	c := New()
	c.Centers["north-a"] = Center{Part: 1}
	c.Groups["stock"] = Group{
		Servers:     []Server{{ID: "stock-1", Center: "north-a", Address: "127.0.0.1:1"}},
		Connections: 20, Slots: 3,
	}
	c.Services["stock"] = Service{Group: "stock"}
	c.Customers["dealer"] = Customer{Rate: 10, Burst: 5, Weight: 1}
	c.Keys["dealer-1"] = Key{Customer: "dealer", Hash: HashKey("secret")}
	return c
}

func TestCheckAcceptsValidConfig(t *testing.T) {
	c := validConfig()
	if found := Check(&c); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestCheckFindsEveryMistake(t *testing.T) {
	c := validConfig()
	c.Services["other"] = Service{Group: "nowhere"}
	c.Customers["dealer"] = Customer{Rate: 0, Burst: 0, Weight: 1}
	c.Exceptions["x"] = Exception{Scope: "customer/nobody", Default: "read-wait", Value: "soon"}
	c.Keys["stray"] = Key{Customer: "nobody"}
	found := Check(&c)
	if len(found) != 9 {
		t.Fatalf("found %d mistakes, want 9: %v", len(found), found)
	}
}

func TestSplitJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := validConfig()
		for at := range rapid.IntRange(0, 40).Draw(t, "customers") {
			c.Customers[ident.CustomerID(fmt.Sprintf("c%d", at))] = Customer{Rate: float64(at + 1), Burst: 1, Weight: 1}
		}
		head, pages, err := Split(c)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(head, pages)
		if err != nil || !reflect.DeepEqual(joined, c) {
			t.Fatalf("joined %+v, %v; want %+v", joined, err, c)
		}
		c.Customers["dealer"] = Customer{Rate: 99, Burst: 9, Weight: 1}
		next, _, err := Split(c)
		if err != nil {
			t.Fatal(err)
		}
		if changed := differingPages(head, next); changed != 1 {
			t.Fatalf("one change rewrote %d pages, want 1", changed)
		}
	})
}

func differingPages(a, b Head) int {
	count := 0
	for at := range a.Pages {
		if a.Pages[at] != b.Pages[at] {
			count++
		}
	}
	return count
}

func TestJoinRejectsAlteredPage(t *testing.T) {
	head, pages, err := Split(validConfig())
	if err != nil {
		t.Fatal(err)
	}
	pages[head.Pages[3]] = []byte(`{"customers":{}}`)
	var bad *PageError
	if _, err := Join(head, pages); !errors.As(err, &bad) {
		t.Fatalf("got %v, want a PageError", err)
	}
}

func TestAuthenticate(t *testing.T) {
	c := validConfig()
	c.Routes["board"] = Route{Service: "stock", Open: "dealer", Worth: 1}
	c.Services["archive"] = Service{Group: "stock", RoutesOnly: true}
	s := NewSnapshot(c, ident.VersionOf(1))
	right := HashKey("secret")
	for _, test := range []struct {
		customer ident.CustomerID
		database ident.ServiceID
		hash     Hash
		want     bool
	}{
		{"dealer", "stock", right, true},
		{"dealer", "stock", HashKey("wrong"), false},
		{"other", "stock", right, false},
		{"dealer", "nothing", right, false},
		{"dealer", "archive", right, false},
		{"anyone", "board", HashKey(""), true},
	} {
		a, ok := s.Authenticate(test.customer, test.database, test.hash)
		if ok != test.want {
			t.Errorf("Authenticate(%s, %s) = %v", test.customer, test.database, ok)
		}
		if _, still := s.Revalidate(a); ok && !still {
			t.Errorf("Revalidate(%+v) rejected an access that Authenticate granted", a)
		}
	}
	a, _ := s.Authenticate("dealer", "stock", right)
	delete(c.Keys, "dealer-1")
	if _, ok := NewSnapshot(c, ident.VersionOf(2)).Revalidate(a); ok {
		t.Error("Revalidate accepted a withdrawn key")
	}
	a, _ = s.Authenticate("", "board", Hash{})
	c.Customers["visitor"] = Customer{Rate: 1, Burst: 1, Weight: 1}
	c.Routes["board"] = Route{Service: "stock", Open: "visitor", Worth: 1}
	if a, ok := NewSnapshot(c, ident.VersionOf(3)).Revalidate(a); !ok || a.Customer != "visitor" {
		t.Errorf("an open route counts against visitor now; Revalidate = %+v, %v", a, ok)
	}
}

func TestExceptionEnds(t *testing.T) {
	c := validConfig()
	end := time.Unix(100, 0)
	c.Exceptions["slow"] = Exception{Scope: "customer/dealer", Default: "read-wait", Value: "1s", Reason: "trial", Owner: "a", Until: end}
	s := NewSnapshot(c, ident.VersionOf(1))
	if got := s.DefaultsFor(end.Add(-time.Second), "dealer", "stock").ReadWait; got != time.Second {
		t.Errorf("before the end of the exception: read-wait is %v, want 1s", got)
	}
	if got := s.DefaultsFor(end, "dealer", "stock").ReadWait; got != DefaultValues().ReadWait {
		t.Errorf("after the end of the exception: read-wait is %v, want the default", got)
	}
}
