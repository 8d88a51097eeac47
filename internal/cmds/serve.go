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
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/internal/sets"
)

const (
	callTimeout    = 2 * time.Second
	callAttempts   = 3
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	dialTimeout    = 5 * time.Second
	keepAlive      = 15 * time.Second
	// shutdownMargin is how long a graceful shutdown may take beyond its drain time.
	shutdownMargin = 10 * time.Minute
	// logFlushTimeout bounds the writing of the last log lines if the output is slow.
	logFlushTimeout = time.Second
)

// serve runs an instance until ctx is done, and then shuts it down gracefully.
func (p *program) serve(ctx context.Context, c *cli.Command) error {
	s, err := sets.Read(c.String("settings"))
	if err != nil {
		return err
	}
	listeners, err := openListeners(s)
	if err != nil {
		return err
	}
	logWriter := logs.NewAsyncWriter(p.errs)
	defer logWriter.Close(logFlushTimeout)
	logs.Start(logWriter, s.Level)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	seed := maphash.String(maphash.MakeSeed(), string(s.Instance))
	i, err := entry.Start(entry.Config{
		Instance: s.Instance, Center: s.Center, Callers: listeners.callers, Peers: listeners.peers,
		CallerTLS: s.CallerTLS, RequireTLS: s.RequireTLS, PeerServer: s.PeerServer, PeerClient: s.PeerClient, PeerSecret: s.PeerSecret,
		Store: newPlatformClient(s.PlatformURL, registry, seed), Backends: &pgcon.Driver{Dialer: dialer, User: s.User, Password: s.Password}, PeerDialer: dialer,
		Evacuations: s.Evacuations, Seed: seed, Registry: registry,
	})
	if err != nil {
		return err
	}
	operators := oper.Serve(oper.Config{Instance: i, ID: s.Instance, Center: s.Center, Registry: registry}, listeners.operators)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout(i.Snapshot().Defaults))
	defer cancel()
	i.Shutdown(shutdownCtx)
	operators.Close()
	return nil
}

// shutdownTimeout returns the time after which a graceful shutdown is cut off.
func shutdownTimeout(d conf.Defaults) time.Duration { return d.DrainTime + shutdownMargin }

func newPlatformClient(url string, registry prometheus.Registerer, seed uint64) *plat.Client {
	return plat.New(plat.Config{
		URL: url, CallTimeout: callTimeout, Attempts: callAttempts,
		Backoff: retry.Backoff{Initial: initialBackoff, Max: maxBackoff}, Random: rand.New(rand.NewPCG(seed, 3)), Registry: registry,
	})
}

// listeners are the listening sockets of an instance.
type listeners struct{ callers, peers, operators net.Listener }

// openListeners listens on all addresses of the settings; if one fails, it closes the others.
func openListeners(s *sets.Settings) (listeners, error) {
	var all listeners
	var opened []net.Listener
	for _, wanted := range []struct {
		key, address string
		into         *net.Listener
	}{{"listen", s.ListenAddress, &all.callers}, {"peer-listen", s.PeerListenAddress, &all.peers}, {"operator-listen", s.OperatorListenAddress, &all.operators}} {
		l, err := net.Listen("tcp", wanted.address)
		if err != nil {
			for _, other := range opened {
				other.Close()
			}
			return all, &ListenError{Key: wanted.key, Address: wanted.address, Cause: err}
		}
		*wanted.into = l
		opened = append(opened, l)
	}
	return all, nil
}

// logWarningsOnly sends warnings and errors of an in-process fleet's log to the error stream.
func (p *program) logWarningsOnly() { logs.Start(p.errs, slog.LevelWarn) }

func (p *program) print(format string, args ...any) { fmt.Fprintf(p.out, format, args...) }
