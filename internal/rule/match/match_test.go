package match

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// given is an answer that a server has given: the one to the request of that number, or a copy of it.
type given struct {
	answer  Answer
	request int
	copied  bool
}

// modelServer answers the requests of a connection in order, and repeats any earlier answer at any time.
type modelServer struct {
	rt    *rapid.T
	state State
	// unread are the answers on their way, passed on those that the client has read.
	unread, passed []given
	requests       int
	signatures     Digest
	// strict is set if copies of errors may have another position.
	strict, copies bool
	copied         bool
}

// The digests of contents consist of what is said, the state and a position, few of each.
func content(what, state, position int) Digest { return Digest(what*100 + state*10 + position) }

const (
	completed  = 1
	firstError = 2
	behind     = 5
)

// answer answers a request.
func (m *modelServer) answer(r Request) {
	m.requests++
	fails := rapid.IntRange(0, 3).Draw(m.rt, "fails") == 0
	position := rapid.IntRange(0, 2).Draw(m.rt, "position")
	if m.state == Failed && r.Kind != Rollback && r.Kind != Commit {
		fails = true
	}
	next := m.state
	switch {
	case r.Kind == Commit && fails && m.state != Idle && rapid.Bool().Draw(m.rt, "stays failed"):
		next = Failed
	case r.Kind == Commit || r.Kind == Rollback:
		next = Idle
	case fails && m.state == Open:
		next = Failed
	case !fails && r.Kind == Begin:
		next = Open
	}
	m.state = next
	g := given{request: m.requests}
	switch rows := rapid.IntRange(0, 2).Draw(m.rt, "rows"); {
	case fails:
		g.answer = refusedWith(rapid.IntRange(firstError, behind-1).Draw(m.rt, "error"), next, position)
	case r.signed():
		m.signatures++
		if r.Kind != Read {
			rows = 0
		}
		g.answer = Signed{Signature: m.signatures, Rows: rows, State: next}
	case r.Kind == Query:
		g.answer = Plain{Content: content(completed, int(next), position) + 10000*Digest(rows), Rows: 1, State: next}
	default:
		g.answer = Plain{Content: content(completed, int(next), position), State: next}
	}
	m.unread = append(m.unread, g)
}

func refusedWith(code int, s State, position int) Refused {
	return Refused{Content: content(code, int(s), position), Error: Digest(code), Behind: code == behind, State: s}
}

// read returns the next answer, perhaps a copy of one that has been passed on before; false if there is none.
func (m *modelServer) read() (given, bool) {
	if m.copies && len(m.passed) > 0 && rapid.IntRange(0, 2).Draw(m.rt, "repeats") == 0 {
		g := rapid.SampledFrom(m.passed).Draw(m.rt, "copy")
		if refused, ok := g.answer.(Refused); ok && m.strict {
			g.answer = refusedWith(int(refused.Error), refused.State, rapid.IntRange(0, 2).Draw(m.rt, "position of copy"))
		}
		g.copied, m.copied = true, true
		return g, true
	}
	if len(m.unread) == 0 {
		return given{}, false
	}
	g := m.unread[0]
	m.unread = m.unread[1:]
	m.passed = append(m.passed, g)
	return g, true
}

// play has a client ask for things on one connection and returns what it got wrong, empty if nothing.
func play(rt *rapid.T, without check) string {
	m := &modelServer{rt: rt, copies: rapid.Bool().Draw(rt, "copies"), strict: rapid.Bool().Draw(rt, "strict")}
	l := NewLedger(LedgerConfig{MaxAnswers: 1 << 10})
	l.without = without
	if rapid.IntRange(0, 9).Draw(rt, "behind before") == 0 {
		m.passed = append(m.passed, given{answer: refusedWith(behind, Idle, 0)})
		l.Judge(Request{Kind: Setting}, m.passed[0].answer, m.strict)
	}
	state := Idle
	for range rapid.IntRange(1, 12).Draw(rt, "requests") {
		r := Request{Kind: rapid.SampledFrom([]Kind{Read, Write, Commit, Begin, Rollback, Setting, Query}).Draw(rt, "kind"), State: state}
		m.answer(r)
		taken, wrong := playRequest(m, l, r)
		if wrong != "" || taken == nil {
			return wrong
		}
		state = taken.state()
	}
	for g, ok := m.read(); ok; g, ok = m.read() {
		if l.Unasked(g.answer) == Foreign {
			return fmt.Sprintf("%+v is taken for one that no request can have had", g)
		}
	}
	return ""
}

// playRequest reads until the request has its answer and returns it; nil if the connection is to be closed then.
func playRequest(m *modelServer, l *Ledger, r Request) (taken Answer, wrong string) {
	for {
		g, ok := m.read()
		if !ok {
			if !m.copied {
				return nil, fmt.Sprintf("%s: its answer was passed over, and nothing was ever repeated", r.Kind)
			}
			return nil, ""
		}
		verdict := l.Judge(r, g.answer, m.strict)
		own := g.request == m.requests && !g.copied
		switch {
		case verdict == Own && !own:
			return nil, fmt.Sprintf("%s in state %s: %+v is taken for its own", r.Kind, r.State, g)
		case verdict == Own || verdict == Likely && !(r.signed() && isRefused(g.answer)):
			return g.answer, ""
		case verdict == Unfit:
			return nil, ""
		case verdict == Foreign:
			return nil, fmt.Sprintf("%s in state %s: %+v is taken for one that no request can have had", r.Kind, r.State, g)
		case verdict == Likely:
			return nil, playSettlement(m, l, r, g)
		}
	}
}

func isRefused(a Answer) bool {
	_, refused := a.(Refused)
	return refused
}

func playSettlement(m *modelServer, l *Ledger, r Request, doubtful given) string {
	refused := doubtful.answer.(Refused)
	s, ok := l.Settle(r, refused, m.strict)
	if !ok {
		return ""
	}
	answers := append(append([]given{}, m.passed...), m.unread...)
	own := answers[len(answers)-1]
	if s.NeedsRollback() {
		m.answer(Request{Kind: Rollback})
	}
	m.requests++
	code := behind
	if m.state == Failed {
		code = firstError
	}
	m.unread = append(m.unread, given{answer: refusedWith(code, m.state, 0), request: m.requests})
	for {
		g, ok := m.read()
		if !ok {
			return ""
		}
		switch s.Add(g.answer) {
		case Answered:
			if g != own {
				return fmt.Sprintf("%s: %+v is taken for its own by a marker", r.Kind, g)
			}
			return ""
		case Confirmed:
			if real, failed := own.answer.(Refused); !failed || real.Error != refused.Error {
				return fmt.Sprintf("%s: the error %+v is taken for its own by a marker, which is %+v", r.Kind, doubtful, own)
			}
			return ""
		case Unclear:
			return ""
		}
	}
}

// TestAnswersOfOthersAreNeverCertain: whatever a server repeats, and whenever, an answer that is taken as certain
// is the request's own; without repeats every answer is taken.
func TestAnswersOfOthersAreNeverCertain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if wrong := play(rt, noCheck); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestEachCheckIsNeeded leaves out one check after another; each must show.
func TestEachCheckIsNeeded(t *testing.T) {
	for without, name := range map[check]string{
		checkSignatures: "signatures", checkContents: "contents", checkErrors: "errors of repeating servers", checkShape: "shape",
		checkUnsure: "answers to come", checkMarker: "marker seen before", checkOthers: "other errors before the marker", checkUnfit: "signatures that do not fit", checkForeign: "signatures that do not fit before the marker",
		checkFailed: "doubtful errors before a state",
	} {
		t.Run(name, func(t *testing.T) {
			example := rapid.Custom(func(rt *rapid.T) string { return play(rt, without) })
			for seed := range 200000 {
				if wrong := example.Example(seed); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Error("nothing goes wrong without the check")
		})
	}
}
