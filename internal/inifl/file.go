package inifl

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Mistake is one error in a file.
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

// Mistakes lists all errors in a file.
type Mistakes []*Mistake

// Error implements error.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file. It records which sections and keys are read; Finish reports the
// others as mistakes.
type File struct {
	name         string
	parsed       *ini.File
	usedKeys     map[string]bool
	usedSections map[string]bool
	mistakes     Mistakes
}

// Open reads a file from disk.
func Open(name string) (*File, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, Mistakes{{File: name, Want: "a readable INI file: " + err.Error()}}
	}
	return Parse(name, content)
}

// Parse reads a file from memory; mistakes give name as its file name.
func Parse(name string, content []byte) (*File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, AllowShadows: true, AllowNonUniqueSections: true, SpaceBeforeInlineComment: true, AllowDuplicateShadowValues: true,
	}, content)
	if err != nil {
		return nil, Mistakes{{File: name, Want: "a readable INI file: " + err.Error()}}
	}
	f := &File{name: name, parsed: parsed, usedKeys: map[string]bool{}, usedSections: map[string]bool{}}
	if len(content) > 0 && content[len(content)-1] != '\n' {
		f.AddMistake("", "", "a line end after the last line, which may be cut")
	}
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.AddMistake("", k.Name(), "a section header before the first key")
			}
			continue
		}
		if seen[s.Name()] {
			f.AddMistake(s.Name(), "", "the section only once")
		}
		seen[s.Name()] = true
	}
	return f, nil
}

// AddMistake records a mistake; want is the expected value.
func (f *File) AddMistake(section, key, want string) {
	f.mistakes = append(f.mistakes, &Mistake{File: f.name, Section: section, Key: key, Want: want})
}

// Section returns the named section, or one without keys if the file does not have it.
func (f *File) Section(name string) *Section {
	f.usedSections[name] = true
	found, err := f.parsed.GetSection(name)
	if err != nil {
		return &Section{file: f, name: name}
	}
	return &Section{file: f, name: name, ini: found}
}

// NamedSections returns the sections "[KIND NAME]" of a kind, in the order of the file. It
// leaves out sections that were returned before.
func (f *File) NamedSections(kind string) []*Section {
	var found []*Section
	for _, s := range f.parsed.Sections() {
		name, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok || f.usedSections[s.Name()] {
			continue
		}
		f.usedSections[s.Name()] = true
		found = append(found, &Section{file: f, name: s.Name(), Title: strings.TrimSpace(name), ini: s})
	}
	return found
}

// Finish returns all recorded mistakes, and those for sections and keys that were not read.
func (f *File) Finish() error {
	for _, s := range f.parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		if !f.usedSections[s.Name()] {
			f.AddMistake(s.Name(), "", "a known section; see 'geraniumseam check --help'")
			continue
		}
		for _, k := range s.Keys() {
			if !f.usedKeys[s.Name()+"\x00"+k.Name()] {
				f.AddMistake(s.Name(), k.Name(), "a known key")
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
	// Title is the name after the kind in the header, as in "[group TITLE]".
	Title string

	file *File
	name string
	ini  *ini.Section
}

// Exists reports whether the file has the section.
func (s *Section) Exists() bool { return s.ini != nil }

// AddMistake records a mistake in one of the section's keys.
func (s *Section) AddMistake(key, want string) { s.file.AddMistake(s.name, key, want) }

// lookUp returns a key's value and whether the section has the key; a key that is given
// more than once is a mistake.
func (s *Section) lookUp(key string) (string, bool) {
	s.file.usedKeys[s.name+"\x00"+key] = true
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	values := s.ini.Key(key).ValueWithShadows()
	if len(values) > 1 {
		s.AddMistake(key, "the key only once")
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

// Text returns a key's value, or fallback if the key is missing.
func (s *Section) Text(key, fallback string) string {
	text, ok := s.lookUp(key)
	if !ok {
		return fallback
	}
	return text
}

// Require returns a key's value; a missing or empty value is a mistake.
func (s *Section) Require(key, want string) string {
	text, ok := s.lookUp(key)
	if !ok || text == "" {
		s.AddMistake(key, want)
	}
	return text
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.lookUp(key)
	return ok
}

// Flag parses a key's value yes or no.
func (s *Section) Flag(key string, fallback bool) bool {
	switch text, ok := s.lookUp(key); {
	case !ok:
		return fallback
	case text == "yes":
		return true
	case text == "no":
		return false
	}
	s.AddMistake(key, "yes or no")
	return fallback
}

// Duration parses a key's value as a duration with a unit; it must not be negative.
func (s *Section) Duration(key string, fallback time.Duration) time.Duration {
	text, ok := s.lookUp(key)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		s.AddMistake(key, "a duration with a unit, such as 20ms or 5s")
		return fallback
	}
	return value
}

// Number parses a key's value as a number, followed by the unit if unit is not empty.
func (s *Section) Number(key, unit string, fallback float64) float64 {
	text, ok := s.lookUp(key)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(text, unit)), 64)
	if err != nil || unit != "" && !strings.HasSuffix(text, unit) {
		want := "a number"
		if unit != "" {
			want = fmt.Sprintf("a number with its unit, such as 100%s", unit)
		}
		s.AddMistake(key, want)
		return fallback
	}
	return value
}

// Count parses a key's value as an integer.
func (s *Section) Count(key string, fallback int) int {
	text, ok := s.lookUp(key)
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		s.AddMistake(key, "a whole number")
		return fallback
	}
	return value
}

// List returns the comma-separated parts of a key's value, without empty ones.
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

// HasSection reports whether the file has a section, without marking the section as read.
func (f *File) HasSection(section string) bool {
	_, err := f.parsed.GetSection(section)
	return err == nil
}
