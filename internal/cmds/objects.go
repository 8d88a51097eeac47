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

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// NotFoundError says that the configuration has no object of this kind and name.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %s does not exist", e.Kind, e.Name) }

// ExistsError says that the configuration already has an object of this kind and name.
type ExistsError struct{ Kind, Name string }

// Error implements error.
func (e *ExistsError) Error() string { return fmt.Sprintf("%s %s already exists", e.Kind, e.Name) }

// removeNamed deletes an object by name, or returns a NotFoundError.
func removeNamed[K ~string, V any](kind, name string, all map[K]V) error {
	if _, known := all[K(name)]; !known {
		return &NotFoundError{Kind: kind, Name: name}
	}
	delete(all, K(name))
	return nil
}

// eachSorted calls f for each object, in the order of the names.
func eachSorted[K ~string, V any](all map[K]V, f func(K, V)) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		f(id, all[id])
	}
}

func (p *program) customerCreate(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error {
		config.Customers[ident.CustomerID(name)] = conf.Customer{Rate: c.Float("rate"), Burst: c.Float("burst"), Weight: c.Float("weight")}
		return nil
	})
}

func (p *program) customerRemove(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error {
		maps.DeleteFunc(config.Keys, func(_ ident.KeyID, k conf.Key) bool { return string(k.Customer) == name })
		maps.DeleteFunc(config.Exceptions, func(_ string, e conf.Exception) bool { return e.Scope == "customer/"+name })
		return removeNamed("customer", name, config.Customers)
	})
}

func (p *program) customerList(ctx context.Context, c *cli.Command) error {
	config, _, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	eachSorted(config.Customers, func(id ident.CustomerID, v conf.Customer) {
		p.print("%s\trate %g/s\tburst %g\tweight %g\n", id, v.Rate, v.Burst, v.Weight)
	})
	return nil
}

// keyGive generates a key and prints it. Only its hash is stored, so it cannot be shown
// again.
func (p *program) keyGive(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret)
	key := "gs-" + base64.RawURLEncoding.EncodeToString(secret)
	err = p.changeConfig(ctx, c, func(config *conf.Config) error {
		if _, taken := config.Keys[ident.KeyID(name)]; taken {
			return &ExistsError{Kind: "key", Name: name}
		}
		config.Keys[ident.KeyID(name)] = conf.Key{Customer: ident.CustomerID(c.String("customer")), Hash: conf.HashKey(key)}
		return nil
	})
	if err != nil {
		return err
	}
	p.print("key %s of customer %s, shown only once: %s\n", name, c.String("customer"), key)
	return nil
}

func (p *program) keyWithdraw(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error { return removeNamed("key", name, config.Keys) })
}

func (p *program) keyList(ctx context.Context, c *cli.Command) error {
	config, _, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	eachSorted(config.Keys, func(id ident.KeyID, v conf.Key) { p.print("%s\tcustomer %s\n", id, v.Customer) })
	return nil
}

func (p *program) serviceCreate(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error {
		config.Services[ident.ServiceID(name)] = conf.Service{Group: ident.GroupID(c.String("group"))}
		return nil
	})
}

func (p *program) serviceRemove(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error { return removeNamed("service", name, config.Services) })
}

func (p *program) serviceList(ctx context.Context, c *cli.Command) error {
	config, _, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	eachSorted(config.Services, func(id ident.ServiceID, v conf.Service) { p.print("%s\tgroup %s\n", id, v.Group) })
	return nil
}

func (p *program) exceptionMake(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error {
		if _, taken := config.Exceptions[name]; taken {
			return &ExistsError{Kind: "exception", Name: name}
		}
		config.Exceptions[name] = conf.Exception{
			Scope: c.String("scope"), Default: c.String("default"), Value: c.String("value"),
			Reason: c.String("reason"), Owner: c.String("author"), Until: c.Timestamp("until"),
		}
		return nil
	})
}

func (p *program) exceptionEnd(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	return p.changeConfig(ctx, c, func(config *conf.Config) error { return removeNamed("exception", name, config.Exceptions) })
}

func (p *program) exceptionList(ctx context.Context, c *cli.Command) error {
	config, _, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	eachSorted(config.Exceptions, func(name string, e conf.Exception) {
		until := "no end"
		if !e.Until.IsZero() {
			until = "until " + e.Until.Format(time.RFC3339)
		}
		p.print("%s\n", strings.Join([]string{name, e.Scope, e.Default + " = " + e.Value, until, "by " + e.Owner, e.Reason}, "\t"))
	})
	return nil
}
