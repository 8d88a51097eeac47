package cmds

import (
	"context"
	"fmt"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/logs"
	"geraniumseam.dev/internal/oper"
	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/internal/sets"
)

const (
	callTime     = 2 * time.Second
	watchTime    = 10 * time.Second
	callAttempts = 3
	firstPause   = 50 * time.Millisecond
	mostPause    = 2 * time.Second
	dialTime     = 5 * time.Second
	keepAlive    = 15 * time.Second
	// shutdownTime bounds a graceful shutdown beyond its drain time.
	shutdownTime = 10 * time.Minute
	// lastLines bounds the writing of the last log lines to a slow reader.
	lastLines = time.Second
)

// serve runs an instance until it is told to stop; then it ends without cutting a request.
func (p *program) serve(ctx context.Context, c *cli.Command) error {
	s, err := sets.Read(c.String("settings"))
	if err != nil {
		return err
	}
	listeners, err := openListeners(s)
	if err != nil {
		return err
	}
	lines := logs.NewQueue(p.errs)
	defer lines.Close(lastLines)
	logs.Start(lines, s.Level)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	dialer := &net.Dialer{Timeout: dialTime, KeepAlive: keepAlive}
	seed := maphash.String(maphash.MakeSeed(), string(s.Instance))
	i, err := entry.Start(entry.Config{
		Instance: s.Instance, Center: s.Center, Callers: listeners.callers, Peers: listeners.peers,
		CallerTLS: s.CallerTLS, RequireTLS: s.RequireTLS, PeerServer: s.PeerServer, PeerClient: s.PeerClient, PeerSecret: s.PeerSecret,
		Store: newStore(s.PlatformURL, registry, seed), Backends: &pgcon.Driver{Dialer: dialer, User: s.User, Password: s.Password}, Links: dialer,
		Seed: seed, Registry: registry,
	})
	if err != nil {
		return err
	}
	operators := oper.Serve(oper.Config{Instance: i, ID: s.Instance, Center: s.Center, Registry: registry}, listeners.operators)
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	i.Shutdown(end)
	operators.Close()
	return nil
}

func newStore(url string, registry prometheus.Registerer, seed uint64) *plat.Client {
	return plat.New(plat.Config{
		URL: url, CallTime: callTime, WatchTime: watchTime, Attempts: callAttempts,
		Backoff: retry.Backoff{First: firstPause, Most: mostPause}, Random: rand.New(rand.NewPCG(seed, 3)), Registry: registry,
	})
}

// listeners are an instance's listeners.
type listeners struct{ callers, peers, operators net.Listener }

// openListeners listens on every address, or on none.
func openListeners(s *sets.Settings) (listeners, error) {
	var d listeners
	var opened []net.Listener
	for _, wanted := range []struct {
		key, address string
		into         *net.Listener
	}{{"listen", s.ListenAddress, &d.callers}, {"peer-listen", s.PeerListenAddress, &d.peers}, {"operator-listen", s.OperatorListenAddress, &d.operators}} {
		l, err := net.Listen("tcp", wanted.address)
		if err != nil {
			for _, other := range opened {
				other.Close()
			}
			return d, &ListenError{Key: wanted.key, Address: wanted.address, Cause: err}
		}
		*wanted.into = l
		opened = append(opened, l)
	}
	return d, nil
}

// quietLogs sends the log of an in-process fleet to the error stream, warnings and worse only.
func (p *program) quietLogs() { logs.Start(p.errs, slog.LevelWarn) }

func (p *program) print(format string, args ...any) { fmt.Fprintf(p.out, format, args...) }
