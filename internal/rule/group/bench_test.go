package group

import (
	"testing"
	"time"
)

// BenchmarkPoll measures how long a Machine takes to handle one poll answer.
func BenchmarkPoll(b *testing.B) {
	c := newCluster(nil, 3, 1)
	m := c.machines[0]
	now := time.Unix(0, 0)
	status := c.servers[1].status(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Step(now, Polled{Status: status})
	}
}

// BenchmarkTick measures how long a Machine takes to handle one tick.
func BenchmarkTick(b *testing.B) {
	c := newCluster(nil, 3, 1)
	m := c.machines[0]
	now := time.Unix(0, 0)
	for _, s := range c.servers {
		m.Step(now, Polled{Status: s.status(now)})
	}
	for b.Loop() {
		m.Step(now, Tick{})
	}
}
