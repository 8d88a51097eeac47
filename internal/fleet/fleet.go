package fleet

import (
	"cmp"
	"context"
	"crypto/x509"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/dbase"
	"geraniumseam.dev/stand/netem"
	"geraniumseam.dev/stand/platf"
)

// The credentials that the stand-in servers take from the proxy.
const (
	BackendUser     = "geraniumseam"
	BackendPassword = "backend-credential"
)

const (
	loopback      = "127.0.0.1:0"
	platformPlace = ident.CenterID("platform")
)

// Config makes a Fleet.
type Config struct {
	Deployment *Deployment
	Seed       uint64
	Baseline   entry.Baseline
	// Plain runs the links between instances without TLS.
	Plain bool
	// Listen is where the platform listens; empty takes a free address.
	Listen string
	// Raw dials without the emulated net, for measurements of the proxy alone.
	Raw bool
	// Bare starts no instances and waits for none.
	Bare bool
	// Entry changes an instance's settings before it starts.
	Entry func(*entry.Config)
	// Adjust changes the configuration before it is put in force.
	Adjust func(*conf.Config)
}

// Member is one instance of the fleet.
type Member struct {
	ID       ident.InstanceID
	Center   ident.CenterID
	Instance *entry.Instance
	Registry *prometheus.Registry
	// Store is the instance's way to the platform.
	Store *plat.Client
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *platf.Platform
	Groups   map[ident.GroupID]*dbase.Group
	Net      *netem.Net
	conf     Config
	random   *rand.Rand
	keys     map[ident.CustomerID]string
	pair     *certs.Pair
	pool     *x509.CertPool
	version  ident.Version
	operator *plat.Client

	mu      sync.Mutex
	members []*Member
	serial  int
}

// Start brings the deployment up and waits until it serves.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{
		conf: c, Groups: map[ident.GroupID]*dbase.Group{}, Net: netem.New(),
		random: rand.New(rand.NewPCG(c.Seed, 1)), keys: map[ident.CustomerID]string{},
	}
	f.Net.Latency = f.latency
	if err := f.raise(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) latency(a, b ident.CenterID) time.Duration {
	if a == b || a == platformPlace || b == platformPlace {
		return 0
	}
	return f.conf.Deployment.Latency
}

func (f *Fleet) raise(ctx context.Context) error {
	var err error
	if f.pair, f.pool, err = certs.Throwaway(); err != nil {
		return errors.Trace(err)
	}
	if f.Platform, err = platf.Start(cmp.Or(f.conf.Listen, loopback)); err != nil {
		return errors.Trace(err)
	}
	f.Net.SetCenter(f.Platform.URL()[len("http://"):], platformPlace)
	f.operator = f.client("", nil)
	c := f.conf.Deployment.Config
	if err := f.startGroups(&c); err != nil {
		return err
	}
	f.giveKeys(&c)
	if f.conf.Adjust != nil {
		f.conf.Adjust(&c)
	}
	if f.version, err = confs.Apply(ctx, f.operator, c, 0, "fleet", "first configuration"); err != nil {
		return errors.Trace(err)
	}
	for _, center := range sortedCenters(f.conf.Deployment.Instances) {
		for range f.conf.Deployment.Instances[center] {
			if _, err := f.Add(center); err != nil {
				return err
			}
		}
	}
	if f.conf.Bare {
		return nil
	}
	return f.AwaitReady(ctx)
}

func sortedCenters(counts map[ident.CenterID]int) []ident.CenterID {
	var ids []ident.CenterID
	for id := range counts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *Fleet) startGroups(c *conf.Config) error {
	groups := map[ident.GroupID]conf.Group{}
	for id, g := range c.Groups {
		var names []ident.ServerID
		for _, s := range g.Servers {
			names = append(names, s.ID)
		}
		started, err := dbase.Start(dbase.Config{
			Group: id, Servers: names, Slots: g.Slots, Connections: g.Connections, ConnectTime: f.conf.Deployment.ConnectTime,
			ServiceTime: f.conf.Deployment.ServiceTime, ReplicationDelay: f.conf.Deployment.Latency,
			User: BackendUser, Password: BackendPassword,
		})
		if err != nil {
			return errors.Trace(err)
		}
		f.Groups[id] = started
		g.Servers = slices.Clone(g.Servers)
		for at := range g.Servers {
			g.Servers[at].Address = started.Servers()[at].Addr()
			f.Net.SetCenter(g.Servers[at].Address, g.Servers[at].Center)
		}
		groups[id] = g
	}
	c.Groups = groups
	return nil
}

func (f *Fleet) giveKeys(c *conf.Config) {
	keys := map[ident.KeyID]conf.Key{}
	for id := range c.Customers {
		key := fmt.Sprintf("key-%016x%016x", f.random.Uint64(), f.random.Uint64())
		f.keys[id] = key
		keys[ident.KeyID(id)+"-first"] = conf.Key{Customer: id, Hash: conf.HashKey(key)}
	}
	c.Keys = keys
}

// Key returns a customer's key.
func (f *Fleet) Key(id ident.CustomerID) string { return f.keys[id] }

const (
	platformCall  = 300 * time.Millisecond
	platformWatch = 10 * time.Second
)

func (f *Fleet) client(center ident.CenterID, registry *prometheus.Registry) *plat.Client {
	c := plat.Config{
		URL: f.Platform.URL(), CallTime: platformCall, WatchTime: platformWatch, Attempts: 3,
		Backoff: retry.Backoff{First: 10 * time.Millisecond, Most: 100 * time.Millisecond},
		Random:  rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())),
	}
	if registry != nil {
		c.Registry = registry
		c.Transport = transport(f.Net.From(center))
	}
	return plat.New(c)
}

// Add starts one more instance in a data centre and lists it.
func (f *Fleet) Add(center ident.CenterID) (*Member, error) {
	f.mu.Lock()
	f.serial++
	id := ident.InstanceID(fmt.Sprintf("%s-%d", center, f.serial))
	f.mu.Unlock()
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Trace(err)
	}
	peers, err := net.Listen("tcp", loopback)
	if err != nil {
		callers.Close()
		return nil, errors.Trace(err)
	}
	f.Net.SetCenter(peers.Addr().String(), center)
	f.Net.SetCenter(callers.Addr().String(), center)
	f.Platform.SetMachine(id, objs.Machine{Center: center, Address: peers.Addr().String(), State: objs.Live})
	registry := prometheus.NewRegistry()
	m := &Member{ID: id, Center: center, Registry: registry, Store: f.client(center, registry)}
	c := entry.Config{
		Instance: id, Center: center, Callers: callers, Peers: peers, PeerSecret: "fleet-secret", Store: m.Store,
		Backends: &pgcon.Driver{Dialer: f.dialer(center), User: BackendUser, Password: BackendPassword}, Links: f.dialer(center),
		Seed: f.random.Uint64(), Registry: registry, Baseline: f.conf.Baseline,
	}
	if !f.conf.Plain {
		c.PeerServer, c.PeerClient = certs.Mutual(f.pair, f.pool)
	}
	if f.conf.Entry != nil {
		f.conf.Entry(&c)
	}
	if m.Instance, err = entry.Start(c); err != nil {
		return nil, errors.Trace(err)
	}
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	return m, nil
}

func (f *Fleet) dialer(center ident.CenterID) proto.Dialer {
	if f.conf.Raw {
		return &net.Dialer{}
	}
	return f.Net.From(center)
}

// Members returns the running instances.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func (f *Fleet) drop(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(other *Member) bool { return other == m })
}

// Kill ends an instance as a crash does; the platform's list learns of it later.
func (f *Fleet) Kill(m *Member) {
	f.drop(m)
	m.Instance.Kill()
	f.Platform.RemoveMachine(m.ID)
}

// Retire ends an instance gracefully.
func (f *Fleet) Retire(ctx context.Context, m *Member) {
	f.Platform.SetMachine(m.ID, objs.Machine{Center: m.Center, State: objs.Leaving})
	f.drop(m)
	m.Instance.Shutdown(ctx)
	f.Platform.RemoveMachine(m.ID)
}

// CutCenter separates a data centre from the others, and from the platform too if asked.
func (f *Fleet) CutCenter(center ident.CenterID, platform, cut bool) {
	for other := range f.conf.Deployment.Config.Centers {
		if other != center {
			f.Net.Partition(center, other, cut)
		}
	}
	if platform {
		f.Net.Partition(center, platformPlace, cut)
	}
	for _, g := range f.conf.Deployment.Config.Groups {
		f.cutReplication(g, center, cut)
	}
}

// cutReplication separates the servers in a data centre from their peers elsewhere.
func (f *Fleet) cutReplication(g conf.Group, center ident.CenterID, cut bool) {
	for _, s := range g.Servers {
		if s.Center != center {
			continue
		}
		for _, other := range g.Servers {
			if other.Center != center {
				f.Server(s.ID).Faults().Partition(other.ID, cut)
			}
		}
	}
}

// Server returns a backend server by name.
func (f *Fleet) Server(id ident.ServerID) *dbase.Server {
	for _, g := range f.Groups {
		if s := g.Server(id); s != nil {
			return s
		}
	}
	return nil
}

// Change applies a change of configuration as an operator would.
func (f *Fleet) Change(ctx context.Context, reason string, change func(*conf.Config)) (ident.Version, error) {
	b, err := confs.Load(ctx, f.operator)
	if err != nil {
		return 0, errors.Trace(err)
	}
	c, err := b.Config()
	if err != nil {
		return 0, errors.Trace(err)
	}
	change(&c)
	return confs.Apply(ctx, f.operator, c, b.Version, "operator", reason)
}

// readyPause is how often readiness is looked at.
const readyPause = 10 * time.Millisecond

// AwaitReady waits until every instance serves and every group has a primary.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		err := f.unready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(readyPause):
		}
	}
}

func (f *Fleet) unready() error {
	owned := map[ident.GroupID]bool{}
	for _, m := range f.Members() {
		if err := m.Instance.Ready(); err != nil {
			return err
		}
		for _, id := range m.Instance.Host().Groups() {
			if primary, _ := m.Instance.Host().Group(id).Primary(); primary != "" {
				owned[id] = true
			}
		}
	}
	for id := range f.Groups {
		if !owned[id] {
			return &entry.NotReadyError{Why: "group " + string(id) + " has no primary yet"}
		}
	}
	return nil
}

// Stop ends everything.
func (f *Fleet) Stop() {
	var wait sync.WaitGroup
	for _, m := range f.Members() {
		f.drop(m)
		wait.Add(1)
		go func() {
			defer wait.Done()
			m.Instance.Kill()
		}()
	}
	wait.Wait()
	for _, g := range f.Groups {
		g.Stop()
	}
	if f.Platform != nil {
		f.Platform.Stop()
	}
}
