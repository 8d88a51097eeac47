package fleet

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// startSingle starts one instance and one group without network latency, to measure the proxy's own cost.
func startSingle(b *testing.B, service time.Duration) *Fleet {
	b.Helper()
	c := conf.New()
	c.Defaults.RateWait = time.Second
	c.Centers["one-a"] = conf.Center{Part: 1}
	c.Customers["load"] = conf.Customer{Rate: 1e9, Burst: 1e9, Weight: 1}
	c.Services["db"] = conf.Service{Group: "db"}
	c.Groups["db"] = conf.Group{Connections: 64, Slots: 64, Servers: []conf.Server{
		{ID: "db-1", Center: "one-a", Address: loopback}, {ID: "db-2", Center: "one-a", Address: loopback}, {ID: "db-3", Center: "one-a", Address: loopback},
	}}
	d := &Deployment{Name: "single", Config: c, Instances: map[ident.CenterID]int{"one-a": 1}, ServiceTime: service}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := Start(ctx, Config{Deployment: d, Seed: 1, DirectDial: true})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	return f
}

// targetURLs returns the two targets that are compared: the stand-in itself and the proxy in front of it.
func targetURLs(f *Fleet) map[string]string {
	server := f.Groups["db"].Servers()[0]
	direct := fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable", BackendUser, BackendPassword, server.Addr())
	return map[string]string{"direct": direct, "proxy": f.URL(f.Members()[0], "load", "db")}
}

// cpu returns the CPU time used by the process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func insertRow(b *testing.B, target string) {
	b.Helper()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, target)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ('bike', 'free')"); err != nil {
		b.Fatal(err)
	}
}

func read(ctx context.Context, c *pgx.Conn) error {
	var value string
	return c.QueryRow(ctx, "SELECT value FROM ledger WHERE id = $1", "bike").Scan(&value)
}

// BenchmarkPointRead measures the latency of a single caller's point read, on a server
// with no service time and on one with 1 ms, as in the examples.
func BenchmarkPointRead(b *testing.B) {
	for _, service := range []time.Duration{0, time.Millisecond} {
		b.Run(fmt.Sprintf("service-%v", service), func(b *testing.B) { pointReads(b, service) })
	}
}

func pointReads(b *testing.B, service time.Duration) {
	f := startSingle(b, service)
	urls := targetURLs(f)
	insertRow(b, urls["proxy"])
	for _, target := range []string{"direct", "proxy"} {
		b.Run(target, func(b *testing.B) {
			ctx := context.Background()
			c, err := pgx.Connect(ctx, urls[target])
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close(ctx)
			began := cpu()
			for b.Loop() {
				if err := read(ctx, c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpu()-began).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkCallers measures CPU time per statement for growing numbers of callers; the
// difference between proxy and direct is the proxy's own cost.
func BenchmarkCallers(b *testing.B) {
	f := startSingle(b, 0)
	urls := targetURLs(f)
	insertRow(b, urls["proxy"])
	for _, target := range []string{"direct", "proxy"} {
		for _, count := range []int{10, 50, 340, 3400} {
			if target == "direct" && count > 50 {
				continue
			}
			b.Run(fmt.Sprintf("%s/%d", target, count), func(b *testing.B) { manyCallers(b, urls[target], count) })
		}
	}
}

// maxConcurrentDials bounds how many callers connect at the same time.
const maxConcurrentDials = 32

func manyCallers(b *testing.B, target string, count int) {
	ctx := context.Background()
	conns := make([]*pgx.Conn, count)
	dialSlots := make(chan struct{}, maxConcurrentDials)
	var dialing sync.WaitGroup
	for at := range conns {
		dialing.Add(1)
		go func() {
			defer dialing.Done()
			dialSlots <- struct{}{}
			defer func() { <-dialSlots }()
			conns[at], _ = pgx.Connect(ctx, target)
			if conns[at] != nil {
				_ = read(ctx, conns[at])
			}
		}()
	}
	dialing.Wait()
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close(ctx)
			}
		}
	}()
	began := cpu()
	b.ResetTimer()
	var running sync.WaitGroup
	active := min(count, 64)
	for worker := range active {
		running.Add(1)
		go func() {
			defer running.Done()
			next := worker
			for n := worker; n < b.N; n += active {
				c := conns[next]
				if next += active; next >= count {
					next = worker
				}
				if c == nil {
					b.Error("a caller failed to connect")
					return
				}
				if err := read(ctx, c); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	running.Wait()
	b.StopTimer()
	b.ReportMetric(float64((cpu()-began).Nanoseconds())/1000/float64(b.N), "cpu-µs/op")
}

// BenchmarkIdleCallers measures the memory that the proxy holds for a connected, idle caller.
func BenchmarkIdleCallers(b *testing.B) {
	f := startSingle(b, 0)
	target, err := url.Parse(targetURLs(f)["proxy"])
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		const count = 2000
		before := memoryInUse()
		conns := make([]net.Conn, count)
		for at := range conns {
			conns[at] = connectIdle(b, target)
		}
		time.Sleep(200 * time.Millisecond)
		b.ReportMetric((float64(memoryInUse())-float64(before))/count, "bytes/caller")
		for _, c := range conns {
			c.Close()
		}
	}
}

// memoryInUse returns the heap and stack memory in use after a collection, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// connectIdle logs in at protocol level and keeps no buffers, so that the benchmark measures
// the proxy's memory and not the client's.
func connectIdle(b *testing.B, target *url.URL) net.Conn {
	b.Helper()
	c, err := net.Dial("tcp", target.Host)
	if err != nil {
		b.Fatal(err)
	}
	key, _ := target.User.Password()
	frontend := pgproto3.NewFrontend(c, c)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": target.User.Username(), "database": target.Path[1:]},
	})
	frontend.Send(&pgproto3.PasswordMessage{Password: key})
	if err := frontend.Flush(); err != nil {
		b.Fatal(err)
	}
	for {
		m, err := frontend.Receive()
		if err != nil {
			b.Fatal(err)
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return c
		}
	}
}
