package group

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// scriptLine is a line of a script: a command with its arguments, and what it must lead to. Options are
// the arguments with an equals sign.
type scriptLine struct {
	number  int
	words   []string
	options map[string]string
	want    string
	checked bool
}

// playScripts plays the scripts in a file, which begin with a line "# name" each. A command may be
// followed by " -> " and what it must lead to.
func playScripts(t *testing.T, file string, begin func() func(scriptLine) string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	names, scripts := []string{}, map[string][]scriptLine{}
	number := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		number++
		text := strings.TrimSpace(lines.Text())
		if name, head := strings.CutPrefix(text, "# "); head {
			names = append(names, name)
			continue
		}
		if text == "" {
			continue
		}
		l := scriptLine{number: number, options: map[string]string{}}
		command, want, checked := strings.Cut(text, " -> ")
		l.want, l.checked = want, checked
		for _, word := range strings.Fields(command) {
			if key, value, option := strings.Cut(word, "="); option {
				l.options[key] = value
			} else {
				l.words = append(l.words, word)
			}
		}
		name := names[len(names)-1]
		scripts[name] = append(scripts[name], l)
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			run, checks := begin(), 0
			for _, l := range scripts[name] {
				got := run(l)
				if !l.checked {
					continue
				}
				checks++
				if got != l.want {
					t.Errorf("%s:%d: got %q, want %q", file, l.number, got, l.want)
				}
			}
			if checks == 0 {
				t.Error("the script checks nothing")
			}
		})
	}
}

func scriptTime(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

func (l scriptLine) number64(key string, otherwise int) int {
	text, given := l.options[key]
	if !given {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("line %d: %v", l.number, err))
	}
	return n
}

// at returns the time that is the line's first argument.
func (l scriptLine) at() int {
	n, err := strconv.Atoi(l.words[1])
	if err != nil {
		panic(fmt.Sprintf("line %d: %v", l.number, err))
	}
	return n
}

// parseMembers parses names with incarnations, as in "a,b:2"; the incarnation 1 may be left out.
func parseMembers(text string) []Member {
	var members []Member
	for word := range strings.SplitSeq(text, ",") {
		if word == "" {
			continue
		}
		name, incarnation, _ := strings.Cut(word, ":")
		member := Member{Server: ident.ServerID(name), Incarnation: 1}
		if n, err := strconv.ParseInt(incarnation, 10, 64); err == nil {
			member.Incarnation = n
		}
		members = append(members, member)
	}
	return members
}

// formatMembers is the reverse of parseMembers.
func formatMembers(members []Member) string {
	var words []string
	for _, member := range members {
		word := string(member.Server)
		if member.Incarnation != 1 {
			word += fmt.Sprintf(":%d", member.Incarnation)
		}
		words = append(words, word)
	}
	slices.Sort(words)
	return strings.Join(words, ",")
}

func (l scriptLine) leaving() map[ident.ServerID]bool {
	leaving := map[ident.ServerID]bool{}
	for _, s := range parseMembers(l.options["leaving"]) {
		leaving[s.Server] = true
	}
	return leaving
}

// record returns the record that a line describes: its members, and the term that its claim replaces.
func (l scriptLine) record() Record {
	var former []FormerMember
	for _, s := range parseMembers(l.options["former"]) {
		former = append(former, FormerMember{Member: s, Since: ident.VersionOf(uint64(l.number64("since", 1)))})
	}
	return Record{
		Former:  former,
		Members: parseMembers(l.options["members"]), Candidates: parseMembers(l.options["candidates"]),
		Claim: uint64(l.number64("claim", 0)), ReplacedTerm: ident.Term(l.number64("replaces", 0)), Earlier: int(l.number64("earlier", 0)),
	}
}

// status returns the status that a line describes: of a replica unless the word "primary" is given.
func (l scriptLine) status() Status {
	term := l.number64("term", 1)
	s := Status{
		Server: ident.ServerID(l.words[2]), Term: ident.Term(term), Sealed: ident.Term(l.number64("sealed", 0)),
		LogTerm: ident.Term(l.number64("log", term)), Received: ident.Position(l.number64("received", 0)),
	}
	if slices.Contains(l.words, "primary") {
		s.Role = Primary
	}
	return s
}

// TestTermLeaseScripts plays the scripts of testdata/lease.script: what an instance learns of the servers
// and of the record, and what its lease proves then. Times are in milliseconds.
func TestTermLeaseScripts(t *testing.T) {
	playScripts(t, "testdata/lease.script", func() func(scriptLine) string {
		lease := NewTermLease(LeaseConfig{})
		return func(l scriptLine) string {
			now := 0
			switch l.words[0] {
			case "servers":
				lease.SetServers(parseMembers(l.words[1]), l.leaving())
				return ""
			case "record":
				now = l.number64("answered", l.at()+2)
				lease.Record(l.record(), ident.VersionOf(uint64(l.number64("version", 1))), scriptTime(l.at()), scriptTime(now))
			case "poll":
				now = l.number64("answered", l.at()+2)
				lease.Observe(Poll{Status: l.status(), Asked: scriptTime(l.at()), Answered: scriptTime(now), Conn: uint64(l.number64("conn", 1))})
			case "at":
				now = l.at()
			default:
				panic(fmt.Sprintf("line %d: unknown command", l.number))
			}
			return describeLease(lease, now)
		}
	})
}

// describeLease describes what a lease proves at a time.
func describeLease(lease *TermLease, now int) string {
	s := lease.State()
	words := []string{fmt.Sprintf("term %d", s.Term)}
	if s.Valid(scriptTime(now)) {
		words = append(words, fmt.Sprintf("until %d", s.Until.Sub(scriptTime(0)).Milliseconds()))
	} else {
		words = append(words, "no lease")
	}
	proven := s.Proven[:]
	slices.SortFunc(proven, func(a, b ident.Floor) int { return int(a.Term) - int(b.Term) })
	for _, f := range proven {
		if f.Position > 0 {
			words = append(words, fmt.Sprintf("proven %d/%d", f.Term, f.Position))
		}
	}
	if s.Confirmed.Position > 0 {
		words = append(words, fmt.Sprintf("primary at %d/%d", s.Confirmed.Term, s.Confirmed.Position))
	}
	if _, needed := lease.NeedsRecord(scriptTime(now)); needed {
		words = append(words, "needs record")
	}
	return strings.Join(words, ", ")
}

// TestMemberScripts plays the scripts of testdata/member.script: what an instance learns of the servers
// and of the record, and which change of members it asks for. Times are in milliseconds.
func TestMemberScripts(t *testing.T) {
	playScripts(t, "testdata/member.script", func() func(scriptLine) string {
		m := New(Config{Claimant: "i", Timing: synchTiming, Fenced: true})
		return func(l scriptLine) string {
			var actions []Action
			switch l.words[0] {
			case "servers":
				incarnations, ids := map[ident.ServerID]int64{}, []ident.ServerID{}
				for _, s := range parseMembers(l.words[1]) {
					ids = append(ids, s.Server)
					incarnations[s.Server] = s.Incarnation
				}
				m.SetServers(ids)
				m.SetIncarnations(incarnations)
				m.SetLeaving(l.leaving())
			case "rank":
				m.SetRank(l.at())
			case "epoch":
				m.SetEpoch(0, scriptTime(l.at()))
			case "record":
				actions = m.Step(scriptTime(l.at()), Recorded{Record: l.record(), Version: ident.VersionOf(uint64(l.number64("version", 1)))})
			case "poll":
				actions = m.Step(scriptTime(l.at()), Polled{Status: l.status()})
			case "silent":
				actions = m.Step(scriptTime(l.at()), PollFailed{Server: ident.ServerID(l.words[2]), NewConn: true})
			case "tick":
				actions = m.Step(scriptTime(l.at()), Tick{})
			case "change":
				return describeEvaluation(l)
			default:
				panic(fmt.Sprintf("line %d: unknown command", l.number))
			}
			return describeChanges(actions)
		}
	})
}

// describeChanges describes the changes of members among some actions.
func describeChanges(actions []Action) string {
	var words []string
	for _, action := range actions {
		if a, ok := action.(ChangeMembers); ok {
			text := fmt.Sprintf("term %d, claim %d", a.Term, a.Claim)
			if a.ClaimExpired {
				text += " expired"
			}
			text = fmt.Sprintf("%s: +[%s] -[%s]", text, formatMembers(a.Added), formatMembers(a.Removed))
			if len(a.Retired) > 0 {
				text += fmt.Sprintf(" retired [%s]", formatMembers(a.Retired))
			}
			for _, f := range a.Forgotten {
				text += fmt.Sprintf(" forgotten %s since %s", formatMembers([]Member{f.Member}), f.Since)
			}
			words = append(words, text)
		}
	}
	if words == nil {
		return "nothing"
	}
	return strings.Join(words, "; ")
}

// describeEvaluation describes what a change makes of the record that a line describes.
func describeEvaluation(l scriptLine) string {
	c := ChangeMembers{
		Term: ident.Term(l.number64("term", 1)), Claim: uint64(l.number64("known", 0)), ClaimExpired: slices.Contains(l.words, "expired"),
		Added: parseMembers(l.options["add"]), Retired: parseMembers(l.options["retire"]), Removed: parseMembers(l.options["remove"]),
	}
	for _, s := range parseMembers(l.options["forget"]) {
		c.Forgotten = append(c.Forgotten, FormerMember{Member: s, Since: ident.VersionOf(1)})
	}
	kept := l.record()
	r, changed := c.Evaluate(kept, ident.VersionOf(uint64(l.number64("version", 0))))
	text := formatMembers(r.Members)
	for _, f := range r.Former {
		text += fmt.Sprintf(", former %s since %s", formatMembers([]Member{f.Member}), f.Since)
	}
	if !changed {
		text = "unchanged"
	}
	if r.Claim != kept.Claim || r.ReplacedTerm != kept.ReplacedTerm {
		text += ", another claim"
	}
	return text
}
