package inifl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Mistake is one thing wrong with a file.
type Mistake struct {
	File    string
	Section string
	Key     string
	Want    string
}

// Error implements error.
func (m *Mistake) Error() string {
	where := m.File
	if m.Section != "" {
		where += " [" + m.Section + "]"
	}
	if m.Key != "" {
		where += " " + m.Key
	}
	return where + ": want " + m.Want
}

// Mistakes is everything wrong with a file.
type Mistakes []*Mistake

// Error implements error.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, one := range m {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a file that is being read; what was not asked for by the end is a mistake.
type File struct {
	name     string
	parsed   *ini.File
	asked    map[string]bool
	sections map[string]bool
	mistakes Mistakes
}

// Open reads a file from disk.
func Open(name string) (*File, error) { return load(name, name) }

// Parse reads a file from memory; name is what mistakes call it.
func Parse(name string, content []byte) (*File, error) { return load(name, content) }

func load(name string, source any) (*File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowNonUniqueSections: true, SpaceBeforeInlineComment: true, AllowDuplicateShadowValues: true,
	}, source)
	if err != nil {
		return nil, Mistakes{{File: name, Want: "a readable INI file: " + err.Error()}}
	}
	f := &File{name: name, parsed: parsed, asked: map[string]bool{}, sections: map[string]bool{}}
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.Fault("", k.Name(), "a section before the first key")
			}
			continue
		}
		if seen[s.Name()] {
			f.Fault(s.Name(), "", "the section only once")
		}
		seen[s.Name()] = true
	}
	return f, nil
}

// Fault notes a mistake.
func (f *File) Fault(section, key, want string) {
	f.mistakes = append(f.mistakes, &Mistake{File: f.name, Section: section, Key: key, Want: want})
}

// Section returns a section; one that is missing has no keys.
func (f *File) Section(name string) *Section {
	f.sections[name] = true
	found, err := f.parsed.GetSection(name)
	if err != nil {
		return &Section{file: f, name: name}
	}
	return &Section{file: f, name: name, ini: found}
}

// Named returns the sections called "KIND NAME", in the order of the file, with their names.
func (f *File) Named(kind string) []*Section {
	var found []*Section
	for _, s := range f.parsed.Sections() {
		name, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok || f.sections[s.Name()] {
			continue
		}
		f.sections[s.Name()] = true
		found = append(found, &Section{file: f, name: s.Name(), Title: strings.TrimSpace(name), ini: s})
	}
	return found
}

// End returns every mistake, those about unknown sections and keys included.
func (f *File) End() error {
	for _, s := range f.parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		if !f.sections[s.Name()] {
			f.Fault(s.Name(), "", "no such section; see 'geraniumseam check --help'")
			continue
		}
		for _, k := range s.Keys() {
			if !f.asked[s.Name()+"\x00"+k.Name()] {
				f.Fault(s.Name(), k.Name(), "no such key")
			}
		}
	}
	if len(f.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(f.mistakes, func(a, b *Mistake) int { return strings.Compare(a.Error(), b.Error()) })
	return f.mistakes
}

// Section is one section of a file.
type Section struct {
	// Title is the name behind the kind, as in "[group TITLE]".
	Title string

	file *File
	name string
	ini  *ini.Section
}

// Exists reports whether the file has the section.
func (s *Section) Exists() bool { return s.ini != nil }

// Fault notes a mistake about one of the section's keys.
func (s *Section) Fault(key, want string) { s.file.Fault(s.name, key, want) }

// lookUp returns a key's text; a key that is given twice is a mistake.
func (s *Section) lookUp(key string) (string, bool) {
	s.file.asked[s.name+"\x00"+key] = true
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	values := s.ini.Key(key).ValueWithShadows()
	if len(values) > 1 {
		s.Fault(key, "the key only once")
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

// Text returns a key's text, or otherwise where it is missing.
func (s *Section) Text(key, otherwise string) string {
	text, ok := s.lookUp(key)
	if !ok {
		return otherwise
	}
	return text
}

// Need returns a key's text; one that is missing or empty is a mistake.
func (s *Section) Need(key, want string) string {
	text, ok := s.lookUp(key)
	if !ok || text == "" {
		s.Fault(key, want)
	}
	return text
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.lookUp(key)
	return ok
}

// Flag returns a key that is yes or no.
func (s *Section) Flag(key string, otherwise bool) bool {
	switch text, ok := s.lookUp(key); {
	case !ok:
		return otherwise
	case text == "yes":
		return true
	case text == "no":
		return false
	}
	s.Fault(key, "yes or no")
	return otherwise
}

// Duration returns a key that is a duration with a unit.
func (s *Section) Duration(key string, otherwise time.Duration) time.Duration {
	text, ok := s.lookUp(key)
	if !ok {
		return otherwise
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		s.Fault(key, "a duration with a unit, such as 20ms or 5s")
		return otherwise
	}
	return value
}

// Number returns a key that is a number, with the given unit behind it if there is one.
func (s *Section) Number(key, unit string, otherwise float64) float64 {
	text, ok := s.lookUp(key)
	if !ok {
		return otherwise
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(text, unit)), 64)
	if err != nil || unit != "" && !strings.HasSuffix(text, unit) {
		want := "a number"
		if unit != "" {
			want = fmt.Sprintf("a number with its unit, such as 100%s", unit)
		}
		s.Fault(key, want)
		return otherwise
	}
	return value
}

// Count returns a key that is a whole number.
func (s *Section) Count(key string, otherwise int) int {
	text, ok := s.lookUp(key)
	if !ok {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		s.Fault(key, "a whole number")
		return otherwise
	}
	return value
}

// List returns a key's comma-separated parts.
func (s *Section) List(key string) []string {
	text, _ := s.lookUp(key)
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Has reports whether the file has a section, without counting it as asked for.
func (f *File) Has(section string) bool {
	_, err := f.parsed.GetSection(section)
	return err == nil
}
