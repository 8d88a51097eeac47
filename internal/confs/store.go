package confs

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// HeadName is the object that names the pages in force.
const HeadName = "head"

// Bundle is a configuration as it travels: a head, its version and its pages.
type Bundle struct {
	Version ident.Version
	Head    conf.Head
	Pages   map[conf.PageName][]byte
}

// Config puts the bundle's configuration together.
func (b Bundle) Config() (conf.Config, error) { return conf.Join(b.Head, b.Pages) }

// LostRaceError says that somebody else changed the configuration first.
type LostRaceError struct {
	Based  ident.Version
	Kept   ident.Version
	Author string
	Reason string
}

// Error implements error.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("configuration %d was replaced by %d, written by %s (%s); nothing of yours was applied", e.Based, e.Kept, e.Author, e.Reason)
}

// InvalidError says that a configuration has mistakes; nothing of it was applied.
type InvalidError struct{ Mistakes []conf.Mistake }

// Error implements error.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("%d mistakes", len(e.Mistakes))
	for _, m := range e.Mistakes {
		text += "\n" + m.Error()
	}
	return text
}

// Load reads the configuration in force; version 0 means that there is none yet.
func Load(ctx context.Context, s plat.Store) (Bundle, error) {
	list, err := s.List(ctx, objs.Configurations)
	if err != nil {
		return Bundle{}, errors.Trace(err)
	}
	b := Bundle{Pages: map[conf.PageName][]byte{}}
	for _, o := range list.Items {
		if err := b.take(o); err != nil {
			return Bundle{}, err
		}
	}
	return b, nil
}

// take adds an object of the platform to the bundle.
func (b *Bundle) take(o objs.Object) error {
	if o.Metadata.Name != HeadName {
		b.Pages[conf.PageName(o.Metadata.Name)] = []byte(o.Spec)
		return nil
	}
	if err := json.Unmarshal(o.Spec, &b.Head); err != nil {
		return &conf.PageError{Page: HeadName, Want: "JSON of a head: " + err.Error()}
	}
	b.Version = o.Version()
	return nil
}

// Apply replaces the configuration of the given version, whole or not at all.
func Apply(ctx context.Context, s plat.Store, c conf.Config, based ident.Version, author, reason string) (ident.Version, error) {
	if found := conf.Check(&c); len(found) > 0 {
		return 0, &InvalidError{Mistakes: found}
	}
	head, pages, err := conf.Split(c)
	if err != nil {
		return 0, err
	}
	head.Author, head.Reason = author, reason
	old, err := Load(ctx, s)
	if err != nil {
		return 0, err
	}
	if old.Version != based {
		return 0, &LostRaceError{Based: based, Kept: old.Version, Author: old.Head.Author, Reason: old.Head.Reason}
	}
	if err := putPages(ctx, s, pages, old.Pages); err != nil {
		return 0, err
	}
	version, err := putHead(ctx, s, head, based)
	if err != nil {
		return 0, err
	}
	dropPages(ctx, s, old, head)
	return version, nil
}

func putPages(ctx context.Context, s plat.Store, pages, kept map[conf.PageName][]byte) error {
	for name, content := range pages {
		if _, have := kept[name]; have {
			continue
		}
		o := objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: string(name)}, Spec: content}
		if _, err := s.Put(ctx, o); err != nil && !plat.Is(err, plat.Conflict) {
			return errors.Trace(err)
		}
	}
	return nil
}

func putHead(ctx context.Context, s plat.Store, head conf.Head, based ident.Version) (ident.Version, error) {
	spec, err := json.Marshal(head)
	if err != nil {
		return 0, errors.Trace(err)
	}
	o := objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: HeadName}, Spec: spec}
	if based != 0 {
		o.Metadata.ResourceVersion = fmt.Sprint(uint64(based))
	}
	kept, err := s.Put(ctx, o)
	var failed *plat.Error
	if errors.As(err, &failed) && failed.Cause == plat.Conflict {
		var winner conf.Head
		_ = json.Unmarshal(failed.Kept.Spec, &winner)
		return 0, &LostRaceError{Based: based, Kept: failed.Kept.Version(), Author: winner.Author, Reason: winner.Reason}
	}
	if err != nil {
		return 0, errors.Trace(err)
	}
	return kept.Version(), nil
}

// dropPages removes the pages that only the replaced configuration used; what fails is left behind.
func dropPages(ctx context.Context, s plat.Store, old Bundle, head conf.Head) {
	used := map[conf.PageName]bool{}
	for _, name := range head.Pages {
		used[name] = true
	}
	for name := range old.Pages {
		if !used[name] {
			_ = s.Delete(ctx, objs.Configurations, string(name), 0)
		}
	}
}
