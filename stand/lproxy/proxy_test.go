package lproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFaultAnswers sends lines to a target that answers each with itself: a fault must strike
// the chosen answers only, and only after the target has received the line.
func TestFaultAnswers(t *testing.T) {
	const late = 150 * time.Millisecond
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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
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
			defer p.Close()
			p.FaultAnswers(c.fault)
			conn, err := net.Dial("tcp", p.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			began := time.Now()
			if _, err := io.WriteString(conn, c.line); err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(conn)
			if string(got) != c.want {
				t.Errorf("answer %q, want %q", got, c.want)
			}
			if took := time.Since(began); c.late != (took >= late) {
				t.Errorf("answered after %v, want late: %t", took, c.late)
			}
			if line := <-received; line != c.line {
				t.Errorf("target received %q, want %q", line, c.line)
			}
		})
	}
}
