package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

// pageCount is the number of pages of a configuration.
const pageCount = 64

// PageName is derived from the hash of a page's content; pages are immutable.
type PageName string

// Head lists the pages of a configuration. Replacing the head replaces the whole
// configuration atomically.
type Head struct {
	Schema int        `json:"schema"`
	Pages  []PageName `json:"pages"`
	Author string     `json:"author"`
	Reason string     `json:"reason,omitempty"`
	// Accepted is set if another authority has accepted the configuration, which is then in force without the
	// entries that can't be served. Any other is in force only without a mistake.
	Accepted bool `json:"accepted,omitempty"`
	// Omitted are the entries of an accepted configuration that no page has, as they could not be translated.
	Omitted []Mistake `json:"omitted,omitempty"`
}

// Schema is the version of the page format.
const Schema = 1

// PageError reports a page that cannot be encoded, is missing or corrupt, or has a newer
// schema.
type PageError struct {
	Page PageName
	Want string
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("configuration page %s: want %s", e.Page, e.Want)
}

// Split divides a configuration into a head and its pages. The page index of an object
// depends only on its kind and name, so a change rewrites only the pages of the objects
// changed.
func Split(c Config) (Head, map[PageName][]byte, error) {
	contents := make([]Config, pageCount)
	contents[0].Defaults = c.Defaults
	distribute(c.Centers, "center", contents, func(p *Config) *map[ident.CenterID]Center { return &p.Centers })
	distribute(c.Customers, "customer", contents, func(p *Config) *map[ident.CustomerID]Customer { return &p.Customers })
	distribute(c.Keys, "key", contents, func(p *Config) *map[ident.KeyID]Key { return &p.Keys })
	distribute(c.Services, "service", contents, func(p *Config) *map[ident.ServiceID]Service { return &p.Services })
	distribute(c.Routes, "route", contents, func(p *Config) *map[ident.ServiceID]Route { return &p.Routes })
	distribute(c.Groups, "group", contents, func(p *Config) *map[ident.GroupID]Group { return &p.Groups })
	distribute(c.Exceptions, "exception", contents, func(p *Config) *map[string]Exception { return &p.Exceptions })
	head := Head{Schema: Schema}
	pages := map[PageName][]byte{}
	for i := range contents {
		content, err := json.Marshal(contents[i])
		if err != nil {
			return Head{}, nil, &PageError{Want: err.Error()}
		}
		name := pageName(content)
		head.Pages = append(head.Pages, name)
		pages[name] = content
	}
	return head, pages, nil
}

func pageName(content []byte) PageName {
	sum := sha256.Sum256(content)
	return PageName("page-" + hex.EncodeToString(sum[:16]))
}

// distribute puts each object on the page that the hash of its kind and name selects.
func distribute[K ~string, V any](objects map[K]V, kind string, pages []Config, field func(*Config) *map[K]V) {
	for id, value := range objects {
		index := xxhash.Sum64String(kind+"/"+string(id)) % uint64(len(pages))
		target := field(&pages[index])
		if *target == nil {
			*target = map[K]V{}
		}
		(*target)[id] = value
	}
}

// Join assembles a configuration from its pages and checks each page against the hash in
// its name.
func Join(h Head, pages map[PageName][]byte) (Config, error) {
	if h.Schema > Schema {
		return Config{}, &PageError{Want: fmt.Sprintf("schema %d or lower, not %d", Schema, h.Schema)}
	}
	joined := New()
	for i, name := range h.Pages {
		content, ok := pages[name]
		if !ok || pageName(content) != name {
			return Config{}, &PageError{Page: name, Want: "content that matches the hash in its name"}
		}
		var page Config
		if err := json.Unmarshal(content, &page); err != nil {
			return Config{}, &PageError{Page: name, Want: "a configuration in JSON: " + err.Error()}
		}
		if i == 0 {
			joined.Defaults = page.Defaults
		}
		maps.Copy(joined.Centers, page.Centers)
		maps.Copy(joined.Customers, page.Customers)
		maps.Copy(joined.Keys, page.Keys)
		maps.Copy(joined.Services, page.Services)
		maps.Copy(joined.Routes, page.Routes)
		maps.Copy(joined.Groups, page.Groups)
		maps.Copy(joined.Exceptions, page.Exceptions)
	}
	return joined, nil
}
