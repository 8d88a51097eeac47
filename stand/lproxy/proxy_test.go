package lproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFaultStreams sends lines to a target that answers each with itself. What a fault holds back
// or loses in one direction must not stop the other, and what it doesn't strike must arrive whole.
func TestFaultStreams(t *testing.T) {
	const line = "COMMIT\n"
	for _, c := range []struct {
		name, received, answer string
		fault                  StreamFault
		late                   bool
	}{
		{name: "answer lost", received: line, answer: "", fault: StreamFault{Count: 1, Cut: true}},
		{name: "answer cut", received: line, answer: "COM", fault: StreamFault{Count: 1, Bytes: 3, Cut: true}},
		{name: "answer held back", received: line, answer: line, fault: StreamFault{Count: 1, Bytes: 3, Hold: late}, late: true},
		{name: "answer held back and cut", received: line, answer: "COM", fault: StreamFault{Count: 1, Bytes: 3, Hold: late, Cut: true}, late: true},
		{name: "request cut", received: "COM", answer: "", fault: StreamFault{Count: 1, Outbound: true, Bytes: 3, Cut: true}},
		{name: "more bytes pass", received: line, answer: line, fault: StreamFault{Count: 1, Bytes: len(line), Cut: true}},
		{name: "used up", received: line, answer: line, fault: StreamFault{Cut: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, received := echo(t)
			p.FaultStreams(c.fault)
			got, took := exchange(t, p, line)
			if got != c.answer || c.late != (took >= late) {
				t.Errorf("answer %q after %v, want %q, late: %t", got, took, c.answer, c.late)
			}
			if got := <-received; got != c.received {
				t.Errorf("target received %q, want %q", got, c.received)
			}
			if got, want := p.Forwarded(), int64(len(line)); got < want {
				t.Errorf("%d bytes forwarded, want at least %d", got, want)
			}
		})
	}
}

const late = 150 * time.Millisecond

// echo starts a proxy and its target, which answers one line with itself and sends it to received.
func echo(t *testing.T) (*Proxy, <-chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		line, _ := bufio.NewReader(conn).ReadString('\n')
		received <- line
		_, _ = io.WriteString(conn, line)
	}()
	p, err := New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, received
}

// exchange sends a line and returns the answer and the time that it took.
func exchange(t *testing.T, p *Proxy, line string) (string, time.Duration) {
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer), time.Since(began)
}

// TestFaultAnswers sends lines to a target that answers each with itself: a fault must strike
// the chosen answers only, and only after the target has received the line.
func TestFaultAnswers(t *testing.T) {
	for _, c := range []struct {
		name, line, want string
		fault            AnswerFault
		late             bool
	}{
		{name: "lost", line: "COMMIT\n", want: "", fault: AnswerFault{Count: 1, Words: []string{"COMMIT"}, Cut: true}},
		{name: "cut", line: "COMMIT\n", want: "COM", fault: AnswerFault{Count: 1, Words: []string{"COMMIT"}, Cut: true, Part: 0.5}},
		{name: "late", line: "WRITE\n", want: "WRITE\n", fault: AnswerFault{Count: 1, Words: []string{"COMMIT", "WRITE"}, Late: late}, late: true},
		{name: "not chosen", line: "READ\n", want: "READ\n", fault: AnswerFault{Count: 1, Words: []string{"COMMIT"}, Cut: true}},
		{name: "used up", line: "COMMIT\n", want: "COMMIT\n", fault: AnswerFault{Words: []string{"COMMIT"}, Cut: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, received := echo(t)
			p.FaultAnswers(c.fault)
			got, took := exchange(t, p, c.line)
			if got != c.want {
				t.Errorf("answer %q, want %q", got, c.want)
			}
			if c.late != (took >= late) {
				t.Errorf("answered after %v, want late: %t", took, c.late)
			}
			if line := <-received; line != c.line {
				t.Errorf("target received %q, want %q", line, c.line)
			}
		})
	}
}
