package cmds

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// keyBytes is how much randomness a key holds.
const keyBytes = 32

// MissingError says that there is no object of that name.
type MissingError struct{ Kind, Name string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("there is no %s %s", e.Kind, e.Name) }

// TakenError says that there is an object of that name already.
type TakenError struct{ Kind, Name string }

// Error implements error.
func (e *TakenError) Error() string { return fmt.Sprintf("there is a %s %s already", e.Kind, e.Name) }

// remove deletes an object by name.
func remove[K ~string, V any](kind, name string, all map[K]V) error {
	if _, known := all[K(name)]; !known {
		return &MissingError{Kind: kind, Name: name}
	}
	delete(all, K(name))
	return nil
}

// each calls f with every object in the order of the names.
func each[K ~string, V any](all map[K]V, f func(K, V)) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		f(id, all[id])
	}
}

func (p *program) customerCreate(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error {
		f.Customers[ident.CustomerID(name)] = conf.Customer{Rate: c.Float("rate"), Burst: c.Float("burst"), Weight: c.Float("weight")}
		return nil
	})
}

func (p *program) customerRemove(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error {
		maps.DeleteFunc(f.Keys, func(_ ident.KeyID, k conf.Key) bool { return string(k.Customer) == name })
		maps.DeleteFunc(f.Exceptions, func(_ string, e conf.Exception) bool { return e.Scope == "customer/"+name })
		return remove("customer", name, f.Customers)
	})
}

func (p *program) customerList(ctx context.Context, c *cli.Command) error {
	f, _, err := load(ctx, c)
	if err != nil {
		return err
	}
	each(f.Customers, func(id ident.CustomerID, v conf.Customer) {
		p.print("%s\trate %g/s\tburst %g\tweight %g\n", id, v.Rate, v.Burst, v.Weight)
	})
	return nil
}

// keyGive makes a key; only its hash is kept, so it is shown this once.
func (p *program) keyGive(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret)
	key := "gs-" + base64.RawURLEncoding.EncodeToString(secret)
	err = p.change(ctx, c, func(f *conf.Config) error {
		if _, taken := f.Keys[ident.KeyID(name)]; taken {
			return &TakenError{Kind: "key", Name: name}
		}
		f.Keys[ident.KeyID(name)] = conf.Key{Customer: ident.CustomerID(c.String("customer")), Hash: conf.HashKey(key)}
		return nil
	})
	if err != nil {
		return err
	}
	p.print("key %s of customer %s, shown only now: %s\n", name, c.String("customer"), key)
	return nil
}

func (p *program) keyWithdraw(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error { return remove("key", name, f.Keys) })
}

func (p *program) keyList(ctx context.Context, c *cli.Command) error {
	f, _, err := load(ctx, c)
	if err != nil {
		return err
	}
	each(f.Keys, func(id ident.KeyID, v conf.Key) { p.print("%s\tcustomer %s\n", id, v.Customer) })
	return nil
}

func (p *program) serviceCreate(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error {
		f.Services[ident.ServiceID(name)] = conf.Service{Group: ident.GroupID(c.String("group"))}
		return nil
	})
}

func (p *program) serviceRemove(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error { return remove("service", name, f.Services) })
}

func (p *program) serviceList(ctx context.Context, c *cli.Command) error {
	f, _, err := load(ctx, c)
	if err != nil {
		return err
	}
	each(f.Services, func(id ident.ServiceID, v conf.Service) { p.print("%s\tgroup %s\n", id, v.Group) })
	return nil
}

func (p *program) exceptionMake(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error {
		if _, taken := f.Exceptions[name]; taken {
			return &TakenError{Kind: "exception", Name: name}
		}
		f.Exceptions[name] = conf.Exception{
			Scope: c.String("scope"), Default: c.String("default"), Value: c.String("value"),
			Reason: c.String("reason"), Owner: c.String("author"), Until: c.Timestamp("until"),
		}
		return nil
	})
}

func (p *program) exceptionEnd(ctx context.Context, c *cli.Command) error {
	name, err := oneName(c, "NAME")
	if err != nil {
		return err
	}
	return p.change(ctx, c, func(f *conf.Config) error { return remove("exception", name, f.Exceptions) })
}

func (p *program) exceptionList(ctx context.Context, c *cli.Command) error {
	f, _, err := load(ctx, c)
	if err != nil {
		return err
	}
	each(f.Exceptions, func(name string, e conf.Exception) {
		until := "no end"
		if !e.Until.IsZero() {
			until = "until " + e.Until.Format(time.RFC3339)
		}
		p.print("%s\n", strings.Join([]string{name, e.Scope, e.Default + " = " + e.Value, until, "by " + e.Owner, e.Reason}, "\t"))
	})
	return nil
}
