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

// pageCount is how many pages a configuration is cut into.
const pageCount = 64

// PageName is the hash of a page's content; a page never changes.
type PageName string

// Head names the pages of a configuration; replacing it changes everything at once.
type Head struct {
	Schema int        `json:"schema"`
	Pages  []PageName `json:"pages"`
	Author string     `json:"author"`
	Reason string     `json:"reason,omitempty"`
}

// Schema is the version of the pages' form.
const Schema = 1

// PageError says that a configuration cannot be put together from its pages.
type PageError struct {
	Page PageName
	Want string
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("configuration page %s: want %s", e.Page, e.Want)
}

// Split cuts a configuration into a head and its pages; an object stays on the
// same page for as long as it keeps its name.
func Split(c Config) (Head, map[PageName][]byte, error) {
	parts := make([]Config, pageCount)
	parts[0].Defaults = c.Defaults
	spread(c.Centers, "center", parts, func(p *Config) *map[ident.CenterID]Center { return &p.Centers })
	spread(c.Customers, "customer", parts, func(p *Config) *map[ident.CustomerID]Customer { return &p.Customers })
	spread(c.Keys, "key", parts, func(p *Config) *map[ident.KeyID]Key { return &p.Keys })
	spread(c.Services, "service", parts, func(p *Config) *map[ident.ServiceID]Service { return &p.Services })
	spread(c.Routes, "route", parts, func(p *Config) *map[ident.ServiceID]Route { return &p.Routes })
	spread(c.Groups, "group", parts, func(p *Config) *map[ident.GroupID]Group { return &p.Groups })
	spread(c.Exceptions, "exception", parts, func(p *Config) *map[string]Exception { return &p.Exceptions })
	head := Head{Schema: Schema}
	pages := map[PageName][]byte{}
	for at := range parts {
		content, err := json.Marshal(parts[at])
		if err != nil {
			return Head{}, nil, &PageError{Want: err.Error()}
		}
		name := namePage(content)
		head.Pages = append(head.Pages, name)
		pages[name] = content
	}
	return head, pages, nil
}

func namePage(content []byte) PageName {
	sum := sha256.Sum256(content)
	return PageName("page-" + hex.EncodeToString(sum[:16]))
}

func spread[K ~string, V any](all map[K]V, kind string, parts []Config, field func(*Config) *map[K]V) {
	for id, value := range all {
		page := xxhash.Sum64String(kind+"/"+string(id)) % uint64(len(parts))
		target := field(&parts[page])
		if *target == nil {
			*target = map[K]V{}
		}
		(*target)[id] = value
	}
}

// Join puts a configuration together and checks that each page is what its name says.
func Join(h Head, pages map[PageName][]byte) (Config, error) {
	if h.Schema > Schema {
		return Config{}, &PageError{Want: fmt.Sprintf("schema %d or lower, not %d", Schema, h.Schema)}
	}
	whole := New()
	for at, name := range h.Pages {
		content, ok := pages[name]
		if !ok || namePage(content) != name {
			return Config{}, &PageError{Page: name, Want: "the content that its name is the hash of"}
		}
		var part Config
		if err := json.Unmarshal(content, &part); err != nil {
			return Config{}, &PageError{Page: name, Want: "JSON of a configuration: " + err.Error()}
		}
		if at == 0 {
			whole.Defaults = part.Defaults
		}
		maps.Copy(whole.Centers, part.Centers)
		maps.Copy(whole.Customers, part.Customers)
		maps.Copy(whole.Keys, part.Keys)
		maps.Copy(whole.Services, part.Services)
		maps.Copy(whole.Routes, part.Routes)
		maps.Copy(whole.Groups, part.Groups)
		maps.Copy(whole.Exceptions, part.Exceptions)
	}
	return whole, nil
}
