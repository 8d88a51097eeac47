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

// HeadName is the name of the platform object that holds the head.
const HeadName = "head"

// Bundle is a configuration as stored and transferred: a head, its version and its pages.
type Bundle struct {
	Version ident.Version
	// Epoch is the epoch of the platform that the configuration was read in; only Load sets it.
	Epoch ident.Epoch
	Head  conf.Head
	Pages map[conf.PageName][]byte
	// PageVersions are the versions of the pages on the platform; only add sets them.
	PageVersions map[conf.PageName]ident.Version
}

// Config assembles the bundle's configuration.
func (b Bundle) Config() (conf.Config, error) { return conf.Join(b.Head, b.Pages) }

// ConcurrentChangeError reports that the configuration was changed concurrently: it has version
// Stored, and the rejected change was based on version Base.
type ConcurrentChangeError struct {
	Base   ident.Version
	Stored ident.Version
	Author string
	Reason string
	// MayHaveApplied is set if the rejected change may have been stored, and replaced since.
	MayHaveApplied bool
}

// Error implements error.
func (e *ConcurrentChangeError) Error() string {
	own := "nothing of yours was applied"
	if e.MayHaveApplied {
		own = "yours may have been in force in between"
	}
	return fmt.Sprintf("configuration %s was replaced by %s, written by %s (%s); %s", e.Base, e.Stored, e.Author, e.Reason, own)
}

// InvalidError reports the mistakes of a configuration, of which nothing was applied.
type InvalidError struct{ Mistakes []conf.Mistake }

// Error implements error.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("%d mistakes", len(e.Mistakes))
	for _, m := range e.Mistakes {
		text += "\n" + m.Error()
	}
	return text
}

// Load reads the configuration from the platform; version 0 means that there is none yet.
func Load(ctx context.Context, s plat.Store) (Bundle, error) {
	list, err := s.List(ctx, objs.Configurations)
	if err != nil {
		return Bundle{}, errors.Trace(err)
	}
	b := Bundle{Pages: map[conf.PageName][]byte{}, PageVersions: map[conf.PageName]ident.Version{}, Epoch: list.Version().Epoch()}
	for _, o := range list.Items {
		if err := b.add(o); err != nil {
			return Bundle{}, err
		}
	}
	return b, nil
}

// add adds a platform object, a page or the head, to the bundle.
func (b *Bundle) add(o objs.Object) error {
	if o.Metadata.Name != HeadName {
		b.Pages[conf.PageName(o.Metadata.Name)] = []byte(o.Spec)
		b.PageVersions[conf.PageName(o.Metadata.Name)] = o.Version()
		return nil
	}
	if err := json.Unmarshal(o.Spec, &b.Head); err != nil {
		return &conf.PageError{Page: HeadName, Want: "a head in JSON: " + err.Error()}
	}
	b.Version = o.Version()
	return nil
}

// Apply replaces the configuration of the given version atomically and returns the new
// version. It writes the new pages first, then the head.
func Apply(ctx context.Context, s plat.Store, c conf.Config, base ident.Version, author, reason string) (ident.Version, error) {
	if found := conf.Check(&c); len(found) > 0 {
		return ident.Version{}, &InvalidError{Mistakes: found}
	}
	head, pages, err := conf.Split(c)
	if err != nil {
		return ident.Version{}, err
	}
	head.Author, head.Reason = author, reason
	old, err := Load(ctx, s)
	if err != nil {
		return ident.Version{}, err
	}
	if old.Version != base {
		return ident.Version{}, &ConcurrentChangeError{Base: base, Stored: old.Version, Author: old.Head.Author, Reason: old.Head.Reason}
	}
	if err := putPages(ctx, s, pages, old); err != nil {
		return ident.Version{}, err
	}
	version, err := putHead(ctx, s, head, base)
	if err != nil {
		return ident.Version{}, err
	}
	if version.Epoch() != old.Epoch {
		// A restore in between may have lost pages, or brought back earlier versions of them.
		restored, err := Load(ctx, s)
		if err != nil {
			return ident.Version{}, err
		}
		restored.Head = old.Head
		if err := putPages(ctx, s, pages, restored); err != nil {
			return ident.Version{}, err
		}
	}
	deleteUnusedPages(ctx, s, old, head)
	return version, nil
}

// WriteAgain stores a configuration that the platform has lost, in place of the older one of the
// given version. It fails with a ConcurrentChangeError if another one has been stored since.
func WriteAgain(ctx context.Context, s plat.Store, lost Bundle, stored Bundle) error {
	if err := putPages(ctx, s, lost.Pages, stored); err != nil {
		return err
	}
	_, err := putHead(ctx, s, lost.Head, stored.Version)
	return err
}

// putPages writes the pages that the stored configuration does not name. Those of them that are stored
// all the same get a new version, which keeps the writer that replaced them from deleting them.
func putPages(ctx context.Context, s plat.Store, pages map[conf.PageName][]byte, stored Bundle) error {
	named := stored.withListedPages().Pages
	for name, content := range pages {
		if _, have := named[name]; have {
			continue
		}
		if err := putPage(ctx, s, name, content, stored.PageVersions[name]); err != nil {
			return err
		}
	}
	return nil
}

// putPage writes a page in place of the given version, or anew if that has been deleted. A page that
// another writer has written since may stay.
func putPage(ctx context.Context, s plat.Store, name conf.PageName, content []byte, version ident.Version) error {
	o := objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: string(name)}, Spec: content}
	if !version.IsZero() {
		o.Metadata.ResourceVersion = version.ResourceVersion()
	}
	_, err := s.Put(ctx, o)
	var failed *plat.Error
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &failed):
		return errors.Trace(err)
	case !version.IsZero() && (failed.Cause == plat.NotFound || failed.Cause == plat.Conflict && failed.Stored.Version().IsZero()):
		return putPage(ctx, s, name, content, ident.Version{})
	case failed.Cause == plat.Conflict:
		return nil
	}
	return errors.Trace(err)
}

func putHead(ctx context.Context, s plat.Store, head conf.Head, base ident.Version) (ident.Version, error) {
	spec, err := json.Marshal(head)
	if err != nil {
		return ident.Version{}, errors.Trace(err)
	}
	o := objs.Object{Kind: objs.Configurations, Metadata: objs.Metadata{Name: HeadName}, Spec: spec}
	if !base.IsZero() {
		o.Metadata.ResourceVersion = base.ResourceVersion()
	}
	stored, err := s.Put(ctx, o)
	var failed *plat.Error
	if errors.As(err, &failed) && failed.Cause == plat.Conflict {
		var current conf.Head
		_ = json.Unmarshal(failed.Stored.Spec, &current)
		return ident.Version{}, &ConcurrentChangeError{Base: base, Stored: failed.Stored.Version(), Author: current.Author, Reason: current.Reason, MayHaveApplied: failed.EarlierLost}
	}
	if err != nil {
		return ident.Version{}, errors.Trace(err)
	}
	return stored.Version(), nil
}

// deleteUnusedPages deletes the pages that only the replaced configuration used, unless another writer
// has written them since. Errors are ignored: a page left behind is not used, and the next change
// deletes it.
func deleteUnusedPages(ctx context.Context, s plat.Store, old Bundle, head conf.Head) {
	used := map[conf.PageName]bool{}
	for _, name := range head.Pages {
		used[name] = true
	}
	for name, version := range old.PageVersions {
		if !used[name] {
			_ = s.Delete(ctx, objs.Configurations, string(name), version)
		}
	}
}
