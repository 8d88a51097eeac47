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

// The credentials that the stand-in backend servers accept from the proxy.
const (
	BackendUser     = "geraniumseam"
	BackendPassword = "backend-credential"
)

const (
	loopback = "127.0.0.1:0"
	// platformCenter is the location of the platform in the emulated network.
	platformCenter = ident.CenterID("platform")
)

// Config configures a Fleet.
type Config struct {
	Deployment *Deployment
	Seed       uint64
	Baseline   entry.Baseline
	// PlaintextPeers turns TLS off on the links between instances.
	PlaintextPeers bool
	// Listen is the address of the platform; empty takes a free port on loopback.
	Listen string
	// DirectDial bypasses the emulated network, to measure the proxy alone.
	DirectDial bool
	// SkipReadyWait makes Start return without waiting for readiness, for a deployment without
	// instances.
	SkipReadyWait bool
	// ConfigureEntry modifies each instance's settings before it starts.
	ConfigureEntry func(*entry.Config)
	// AdjustConfig modifies the configuration before it is first applied.
	AdjustConfig func(*conf.Config)
}

// Member is one running entry instance of the fleet.
type Member struct {
	ID       ident.InstanceID
	Center   ident.CenterID
	Instance *entry.Instance
	Registry *prometheus.Registry
	// Store is the instance's client of the platform.
	Store *plat.Client
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *platf.Platform
	Groups   map[ident.GroupID]*dbase.Group
	Net      *netem.Net
	conf     Config
	random   *rand.Rand
	// keys holds the first key of each customer in plain text.
	keys map[ident.CustomerID]string
	pair *certs.Pair
	pool *x509.CertPool
	// version is the version of the first configuration.
	version ident.Version
	// operatorClient reads and changes the configuration as an operator would.
	operatorClient *plat.Client

	mu      sync.Mutex
	members []*Member
	// serial is the number of instances started so far.
	serial int
}

// Start starts the deployment and, unless c.SkipReadyWait is set, waits until it is ready.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{
		conf: c, Groups: map[ident.GroupID]*dbase.Group{}, Net: netem.New(),
		random: rand.New(rand.NewPCG(c.Seed, 1)), keys: map[ident.CustomerID]string{},
	}
	f.Net.Latency = f.latency
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) latency(a, b ident.CenterID) time.Duration {
	if a == b || a == platformCenter || b == platformCenter {
		return 0
	}
	return f.conf.Deployment.Latency
}

func (f *Fleet) startAll(ctx context.Context) error {
	var err error
	if f.pair, f.pool, err = certs.Ephemeral(); err != nil {
		return errors.Trace(err)
	}
	if f.Platform, err = platf.Start(cmp.Or(f.conf.Listen, loopback)); err != nil {
		return errors.Trace(err)
	}
	f.Net.SetCenter(f.Platform.URL()[len("http://"):], platformCenter)
	f.operatorClient = f.client("", nil)
	c := f.conf.Deployment.Config
	if err := f.startGroups(&c); err != nil {
		return err
	}
	f.createKeys(&c)
	if f.conf.AdjustConfig != nil {
		f.conf.AdjustConfig(&c)
	}
	if f.version, err = confs.Apply(ctx, f.operatorClient, c, ident.Version{}, "fleet", "first configuration"); err != nil {
		return errors.Trace(err)
	}
	for _, center := range sortedCenters(f.conf.Deployment.Instances) {
		for range f.conf.Deployment.Instances[center] {
			if _, err := f.Add(center); err != nil {
				return err
			}
		}
	}
	if f.conf.SkipReadyWait {
		return nil
	}
	return f.AwaitReady(ctx)
}

func sortedCenters(instances map[ident.CenterID]int) []ident.CenterID {
	var ids []ident.CenterID
	for id := range instances {
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

func (f *Fleet) createKeys(c *conf.Config) {
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

const platformCallTimeout = 300 * time.Millisecond

func (f *Fleet) client(center ident.CenterID, registry *prometheus.Registry) *plat.Client {
	c := plat.Config{
		URL: f.Platform.URL(), CallTimeout: platformCallTimeout, Attempts: 3,
		Backoff: retry.Backoff{Initial: 10 * time.Millisecond, Max: 100 * time.Millisecond},
		Random:  rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())),
	}
	if registry != nil {
		c.Registry = registry
		c.Transport = transport(f.Net.From(center))
	}
	return plat.New(c)
}

// Add starts another instance in a data centre and registers it in the platform's list.
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
	f.Platform.SetInstance(id, objs.ListedInstance{Center: center, Address: peers.Addr().String(), State: objs.Live})
	registry := prometheus.NewRegistry()
	m := &Member{ID: id, Center: center, Registry: registry, Store: f.client(center, registry)}
	c := entry.Config{
		Instance: id, Center: center, Callers: callers, Peers: peers, PeerSecret: "fleet-secret", Store: m.Store,
		Backends: &pgcon.Driver{Dialer: f.dialer(center), User: BackendUser, Password: BackendPassword}, PeerDialer: f.dialer(center),
		Seed: f.random.Uint64(), Registry: registry, Baseline: f.conf.Baseline,
	}
	if !f.conf.PlaintextPeers {
		c.PeerServer, c.PeerClient = certs.Mutual(f.pair, f.pool)
	}
	if f.conf.ConfigureEntry != nil {
		f.conf.ConfigureEntry(&c)
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
	if f.conf.DirectDial {
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

func (f *Fleet) removeMember(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(other *Member) bool { return other == m })
}

// Kill stops an instance abruptly, as a crash does, and only then removes it from the platform's list.
func (f *Fleet) Kill(m *Member) {
	f.removeMember(m)
	m.Instance.Kill()
	f.Platform.RemoveInstance(m.ID)
}

// Retire marks an instance as leaving in the platform's list, shuts it down gracefully and removes it from the list.
func (f *Fleet) Retire(ctx context.Context, m *Member) {
	f.Platform.SetInstance(m.ID, objs.ListedInstance{Center: m.Center, State: objs.Leaving})
	f.removeMember(m)
	m.Instance.Shutdown(ctx)
	f.Platform.RemoveInstance(m.ID)
}

// PartitionCenter cuts a data centre off from the others, or reconnects it; with platform set, from the platform as well.
func (f *Fleet) PartitionCenter(center ident.CenterID, platform, partitioned bool) {
	for other := range f.conf.Deployment.Config.Centers {
		if other != center {
			f.Net.Partition(center, other, partitioned)
		}
	}
	if platform {
		f.Net.Partition(center, platformCenter, partitioned)
	}
	for _, g := range f.conf.Deployment.Config.Groups {
		f.partitionReplication(g, center, partitioned)
	}
}

// partitionReplication stops or resumes replication between the servers in a data centre and those elsewhere.
func (f *Fleet) partitionReplication(g conf.Group, center ident.CenterID, partitioned bool) {
	for _, s := range g.Servers {
		if s.Center != center {
			continue
		}
		for _, other := range g.Servers {
			if other.Center != center {
				f.Server(s.ID).Faults().Partition(other.ID, partitioned)
			}
		}
	}
}

// Server returns the backend server with the given name, or nil.
func (f *Fleet) Server(id ident.ServerID) *dbase.Server {
	for _, g := range f.Groups {
		if s := g.Server(id); s != nil {
			return s
		}
	}
	return nil
}

// Change modifies the configuration as an operator would and returns the new version.
func (f *Fleet) Change(ctx context.Context, reason string, change func(*conf.Config)) (ident.Version, error) {
	b, err := confs.Load(ctx, f.operatorClient)
	if err != nil {
		return ident.Version{}, errors.Trace(err)
	}
	c, err := b.Config()
	if err != nil {
		return ident.Version{}, errors.Trace(err)
	}
	change(&c)
	return confs.Apply(ctx, f.operatorClient, c, b.Version, "operator", reason)
}

// readyPollInterval is how often AwaitReady checks readiness.
const readyPollInterval = 10 * time.Millisecond

// AwaitReady waits until every instance is ready and every group has a primary.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		err := f.checkReady()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) checkReady() error {
	hasPrimary := map[ident.GroupID]bool{}
	for _, m := range f.Members() {
		if err := m.Instance.Ready(); err != nil {
			return err
		}
		for _, id := range m.Instance.Host().Groups() {
			if primary, _ := m.Instance.Host().Group(id).Primary(); primary != "" {
				hasPrimary[id] = true
			}
		}
	}
	for id := range f.Groups {
		if !hasPrimary[id] {
			return &entry.NotReadyError{Reason: "group " + string(id) + " has no primary yet"}
		}
	}
	return nil
}

// Stop kills all instances and stops the stand-ins.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, m := range f.Members() {
		f.removeMember(m)
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.Instance.Kill()
		}()
	}
	wg.Wait()
	for _, g := range f.Groups {
		g.Stop()
	}
	if f.Platform != nil {
		f.Platform.Stop()
	}
}
