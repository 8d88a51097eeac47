package entry

// How requests, state and events flow between the components of an instance:
//
//	caller ──▶ session ──▶ keys, quota ──▶ dispatch ─┬─▶ owner.Host ──▶ backend servers
//	                                                 └─▶ peer.Hub ───▶ another instance's owner.Host
//	platform ──▶ relay ──▶ confs.Cache ──▶ sessions (withdrawn keys), owner.Host (groups), quota (rates)
//	peers ──▶ heartbeats ──▶ membr.View ──▶ owner.Host (ownership of groups), quota (number of instances)
//	all components ──▶ jrnl.Journal ──▶ log, counters, review

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// Config configures an Instance.
type Config struct {
	Instance ident.InstanceID
	Center   ident.CenterID
	// Callers and Peers are open listeners for callers and for other instances; the
	// instance closes them.
	Callers net.Listener
	Peers   net.Listener
	// Dialect implements the protocol of the callers; nil means the PostgreSQL protocol.
	Dialect Dialect
	// CallerTLS is the TLS configuration for callers; nil means that TLS is not offered.
	// RequireTLS refuses callers that would send their key in plain text.
	CallerTLS  *tls.Config
	RequireTLS bool
	PeerServer *tls.Config
	PeerClient *tls.Config
	PeerSecret string
	// MessageLimit bounds one message between instances, in bytes; 0 means the default limit.
	MessageLimit int64
	Store        plat.Store
	// SecretObject is the platform's object with PeerSecret, zero if the platform does not keep
	// the secret. An instance writes it again if it gets lost, or adopts the one that another
	// instance has written since.
	SecretObject objs.Object
	// Backends opens connections to backend servers, PeerDialer those to other instances.
	Backends   proto.Driver
	PeerDialer proto.Dialer
	// AdvertiseAddress is the address under which this instance registers itself in the platform's
	// list of instances; empty means that the platform maintains the list.
	AdvertiseAddress string
	// Weight is the CPU capacity of this instance, registered with AdvertiseAddress; 0 if unknown.
	Weight ident.Millicores
	// Listed is set if the platform keeps a list of backend servers.
	Listed bool
	// Evacuations is set if operators may evacuate data centres through the platform.
	Evacuations bool
	// Relays is the number of relays of a data centre: instances that watch the platform
	// permanently and pass changes on to the others; 0 means the default.
	Relays int
	// FleetRelays is the number of relays of the whole fleet, for a platform on which every
	// call has a cost; 0 gives each data centre its own relays.
	FleetRelays int
	// PropagationTime is the time within which a new configuration has to be in force on every
	// instance; 0 means the default.
	PropagationTime time.Duration
	// Regions gives the region of each data centre; a data centre without an entry is in a
	// region of its own.
	Regions map[ident.CenterID]string
	// Stop has the times of a planned stop.
	Stop StopTimes
	// ConfigReadOnly is set if only the platform's operator writes configurations, and again
	// after a restore.
	ConfigReadOnly bool
	// SkipReports turns off the reports to the platform of the configuration in force, for a
	// platform on which every call has a cost.
	SkipReports bool
	Seed        uint64
	Registry    *prometheus.Registry
	Baseline    Baseline
}

// Baseline switches mechanisms off, to measure their benefit.
type Baseline struct {
	owner.Baseline
	// StaticRates gives each instance a fixed part of the rates and moves no tokens between
	// instances.
	StaticRates bool
}

const (
	journalCapacity = 16 << 10
	peerHeartbeat   = 250 * time.Millisecond
	peerSilence     = time.Second
	// surplusLinkDelay and requestLinkDelay are how long a link must have been of no use before it is
	// closed, and how long it must not have carried requests.
	surplusLinkDelay = 500 * time.Millisecond
	requestLinkDelay = 5 * time.Minute
)

// Instance is a running entry instance.
type Instance struct {
	conf        Config
	journal     *jrnl.Journal
	configCache *confs.Cache
	epochs      *plat.Epochs
	host        *owner.Host
	hub         *peer.Hub
	quota       *quota.Quota
	members     *members
	metrics     *metrics
	callers     *callers
	random      *source
	traceCount  atomic.Uint64
	bootID      string
	started     time.Time
	// tracePrefix starts every trace ID that is issued since the instance started.
	tracePrefix string
	// primaryCenters holds the data centre of each group's primary, as last reported by an owner.
	primaryCenters sync.Map
	// primaryRefusals holds each group's last immediate refusal for lack of a primary.
	primaryRefusals sync.Map
	// provenOwners holds the owner of each group that could last prove its term when another could not.
	provenOwners sync.Map
	// unprovenGroups holds when all reachable owners of a group were last asked and none could prove its term.
	unprovenGroups sync.Map
	// draining is set once shutdown has begun.
	draining atomic.Bool
	// txEnded and workEnded are set once a shutdown lets no transaction go on, and runs nothing for other
	// instances; peerWork is how many requests run for them.
	txEnded, workEnded atomic.Bool
	peerWork           atomic.Int64
	// fetchingConfig, fetchingServers, fetchingMembers and fetchingEvacuations are set while the respective
	// state is fetched from a peer.
	fetchingConfig      atomic.Bool
	fetchingServers     atomic.Bool
	fetchingMembers     atomic.Bool
	fetchingEvacuations atomic.Bool
	// awaitingEvacuations is since when only the list of evacuations has been lacking, in Unix nanoseconds; 0
	// if it has not been.
	awaitingEvacuations atomic.Int64
	// unlisted signals that the platform's list lacks this instance or shows another state of it.
	unlisted chan struct{}
	tomb     tomb.Tomb

	keptMu sync.Mutex
	kept   []keptObject
}

// Start starts an instance; it serves callers as soon as it has a configuration.
func Start(c Config) (*Instance, error) {
	if c.Dialect == nil {
		c.Dialect = postgres{}
	}
	if c.Relays == 0 {
		c.Relays = relaysPerCenter
	}
	epochs := plat.NewEpochs()
	c.Store = plat.Observe(c.Store, epochs)
	if v := c.SecretObject.Version(); !v.IsZero() {
		epochs.Observe(v.Epoch(), 0)
	}
	i := &Instance{conf: c, epochs: epochs, unlisted: make(chan struct{}, 1), random: newSource(c.Seed), metrics: newMetrics(c.Registry)}
	i.started = clock.Now()
	i.bootID = fmt.Sprintf("%08x", i.random.uint32())
	i.tracePrefix = string(c.Instance) + "-" + i.bootID + "-"
	i.journal = jrnl.New(jrnl.Config{
		Instance: c.Instance, Center: c.Center, Capacity: journalCapacity, Registry: c.Registry, Now: clock.TimeOfDay,
	})
	i.configCache = confs.NewCache(i.journal, clock.Now)
	i.members = newMembers(i)
	i.callers = newCallers(i)
	i.host = owner.NewHost(owner.HostConfig{
		Self: c.Instance, Center: c.Center, Regions: c.Regions, Claimant: group.Claimant(string(c.Instance) + "-" + i.bootID), Driver: c.Backends,
		Store: c.Store, Epochs: epochs, Journal: i.journal, Random: i.random.fork(),
		Now: clock.Now, ReportServer: i.broadcastReachability, ReadRecord: i.readRecordOf, LinkedPeers: i.linkedPeers, Registry: c.Registry, Baseline: c.Baseline.Baseline,
	})
	i.hub = peer.NewHub(peer.Config{
		Self: c.Instance, Center: c.Center, Secret: c.PeerSecret, Server: c.PeerServer, Client: c.PeerClient,
		Dialer: c.PeerDialer, MessageLimit: c.MessageLimit, Heartbeat: peerHeartbeat, Timeout: peerSilence, SurplusDelay: surplusLinkDelay, RequestDelay: requestLinkDelay, Handler: (*handler)(i),
		Journal: i.journal, Registry: c.Registry,
	}, c.Peers)
	i.quota = quota.New(quota.Config{
		Self: c.Instance, Center: c.Center, Store: c.Store, Epochs: epochs, Journal: i.journal, Request: i.requestTokens,
		TableWriters: i.members.tableWriters, Submit: i.submitShareRequests, Connected: i.connected, Linked: i.hub.ConnectedPeers, HandOver: i.handOverShards, Holders: i.members.holders, RemoteHolders: i.members.remoteHolders, MemberCount: i.members.centerSize, Snapshot: i.configCache.Current,
		Random: i.random.fork(), Registry: c.Registry, Static: c.Baseline.StaticRates,
	})
	i.configCache.OnChange(i.onConfigChange)
	i.watchIncidents()
	// What handles the messages of peers and callers is complete from here on.
	i.hub.Serve()
	i.tomb.Go(i.members.run)
	i.tomb.Go(i.relay)
	i.tomb.Go(i.rewriteLost)
	if c.Listed {
		i.tomb.Go(i.relayServers)
	}
	if c.Evacuations {
		i.tomb.Go(i.relayEvacuations)
	}
	if c.AdvertiseAddress != "" {
		i.tomb.Go(i.register)
	}
	i.tomb.Go(i.callers.accept)
	i.tomb.Go(i.sweepUncheckedKeys)
	i.journal.Add(jrnl.Event{Kind: jrnl.Started, Evidence: "accepting callers on " + c.Callers.Addr().String()})
	return i, nil
}

// Journal returns the event journal of the instance.
func (i *Instance) Journal() *jrnl.Journal { return i.journal }

// Snapshot returns the configuration in force.
func (i *Instance) Snapshot() *conf.Snapshot { return i.configCache.Current() }

// SinceConfirmed returns the time since the configuration in force was last confirmed to be the
// platform's latest.
func (i *Instance) SinceConfirmed() time.Duration { return i.configCache.SinceConfirmed() }

// Host returns the host of the groups that this instance owns.
func (i *Instance) Host() *owner.Host { return i.host }

// Quota returns the part of the rates that this instance holds.
func (i *Instance) Quota() *quota.Quota { return i.quota }

// Addr returns the address on which callers are accepted.
func (i *Instance) Addr() string { return i.conf.Callers.Addr().String() }

// Callers returns the number of connected callers.
func (i *Instance) Callers() int { return i.callers.count() }

// Ready returns a NotReadyError while the instance can admit no callers, and nil if it can admit some.
func (i *Instance) Ready() error {
	lacking := i.lacking(i.configCache.Current().HasOpenRoute())
	switch {
	case i.draining.Load():
		return &NotReadyError{Reason: "shutting down"}
	case lacking != "":
		return &NotReadyError{Reason: lacking}
	case !i.quota.Ready():
		return &NotReadyError{Reason: "rate shares not granted yet"}
	}
	return nil
}

// lacking returns which part of the state that it takes to admit callers the instance lacks, empty if none.
// Callers of an open route need no key.
func (i *Instance) lacking(open bool) string {
	s := i.configCache.Current()
	switch {
	case s.Version.IsZero():
		return "no configuration yet"
	case i.conf.Listed && s.Listed.IsZero():
		return "no list of backend servers yet"
	case i.lacksEvacuations(s):
		return "no list of evacuated data centres yet"
	case !open && i.keysUnchecked():
		return "configuration not confirmed within key-grace, so keys cannot be checked"
	}
	return ""
}

const (
	// admitTimeout is how long a caller waits for the instance to become ready. It is shorter
	// than the time that callers wait for a greeting.
	admitTimeout = 1500 * time.Millisecond
	// admitPollInterval is how often a waiting caller's session checks whether the instance is
	// ready.
	admitPollInterval = 20 * time.Millisecond
)

// awaitReady waits until the instance has the state to admit callers to a database; it reports false if
// that takes too long. Only an instance that has never been able to check keys makes callers wait.
func (i *Instance) awaitReady(database ident.ServiceID) bool {
	lacking := func() bool { return i.lacking(i.configCache.Current().IsOpen(database)) != "" }
	for end := clock.Now().Add(admitTimeout); lacking(); {
		cutOff := i.configCache.SinceConfirmed() < clock.Since(i.started)
		if cutOff || !clock.Now().Before(end) {
			return false
		}
		time.Sleep(admitPollInterval)
	}
	return true
}

// NotReadyError gives the reason why an instance does not serve callers.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// onConfigChange applies a new configuration to the work sent to servers, the sessions and the view of the fleet, and
// propagates its version to the peers.
func (i *Instance) onConfigChange(s *conf.Snapshot) {
	i.host.UpdateEvacuations(s.Evacuations)
	i.members.changed()
	i.callers.recheck(s)
	i.hub.SendHeartbeats(i.tomb.Context(context.Background()), i.members.propagatesTo)
}

// Kill ends the instance at once, as a crash would.
func (i *Instance) Kill() {
	i.draining.Store(true)
	i.callers.kill()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	i.quota.Stop(ctx)
	i.end()
}

func (i *Instance) end() {
	i.tomb.Kill(nil)
	i.callers.kill()
	i.hub.Close()
	i.host.Stop()
	_ = i.tomb.Wait()
}

// maxTraceDigits is the number of hexadecimal digits that a trace number can have.
const maxTraceDigits = 16

// trace returns a new trace ID.
func (i *Instance) trace() ident.TraceID {
	name := make([]byte, 0, len(i.tracePrefix)+maxTraceDigits)
	name = append(name, i.tracePrefix...)
	return ident.TraceID(strconv.AppendUint(name, i.traceCount.Add(1), 16))
}

// requestTokens asks another instance for tokens of a customer's rate.
func (i *Instance) requestTokens(ctx context.Context, id ident.InstanceID, w quota.TokenRequest) (quota.TokenResponse, error) {
	reply, err := peer.QueryFor[peer.TokensResponse](ctx, i.hub, id, peer.TokensRequest{TokenRequest: w})
	return reply.TokenResponse, err
}

// submitShareRequests sends requests for shares of the rates to another instance, which writes
// the table of rate shares.
func (i *Instance) submitShareRequests(ctx context.Context, id ident.InstanceID, all []share.Request) ([]share.Grant, error) {
	reply, err := peer.QueryFor[peer.ShareResponse](ctx, i.hub, id, peer.ShareRequest{Requests: all})
	return reply.Grants, err
}

// connected reports whether a link to an instance is open; if not, it starts to open one in the
// background.
func (i *Instance) connected(id ident.InstanceID) bool {
	if i.hub.Connected(id) {
		return true
	}
	go func() { _ = i.hub.Connect(i.tomb.Context(context.Background()), id) }()
	return false
}

// handOverShards hands shards of the rates over to their next holder.
func (i *Instance) handOverShards(ctx context.Context, successor ident.InstanceID, e quota.Handover) error {
	_, err := peer.QueryFor[peer.HandoverAck](ctx, i.hub, successor, peer.ShareHandover{Handover: e})
	return err
}

// broadcastReachability tells all linked peers whether a backend server answers this instance.
func (i *Instance) broadcastReachability(g ident.GroupID, s ident.ServerID, answers bool) {
	i.hub.NotifyAll(i.tomb.Context(context.Background()), peer.ServerReport{Group: g, Server: s, Answers: answers})
}

// readRecordOf asks another instance for a group's record.
func (i *Instance) readRecordOf(ctx context.Context, id ident.InstanceID, g ident.GroupID, maxAge time.Duration) (group.RecordCopy, bool) {
	sent := clock.Now()
	r, err := peer.QueryFor[peer.RecordResponse](ctx, i.hub, id, peer.RecordRequest{Group: g, MaxAge: maxAge})
	if err != nil {
		return group.RecordCopy{}, false
	}
	return group.RecordCopy{Record: r.Record, Version: r.Version, Asked: group.PeerReadTime(sent, r.Age)}, true
}

// linkedPeers returns the instances with an open link in random order.
func (i *Instance) linkedPeers() []ident.InstanceID {
	peers := i.hub.ConnectedPeers()
	i.random.fork().Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers
}

// Gather returns the journal events of the whole fleet since a time, sorted by time, and the
// instances that did not answer.
func (i *Instance) Gather(ctx context.Context, since time.Time) ([]jrnl.Event, []ident.InstanceID) {
	events := i.journal.Since(since)
	var missing []ident.InstanceID
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range i.members.others() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := peer.QueryFor[peer.JournalResponse](ctx, i.hub, m, peer.JournalRequest{Since: since})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				events = append(events, reply.Events...)
				return
			}
			missing = append(missing, m)
		}()
	}
	wg.Wait()
	jrnl.SortEvents(events)
	return events, missing
}

// source is a seeded source of random numbers; it is safe for concurrent use.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *source { return &source{random: rand.New(rand.NewPCG(seed, ^seed))} }

func (s *source) uint32() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Uint32()
}

// fork returns an independent random source, seeded from this one.
func (s *source) fork() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// jitter lengthens a retry delay at random.
func (s *source) jitter(retryAfter time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return admit.Jitter(retryAfter, s.random.Float64())
}

// duration returns a random duration from 0 to limit inclusive.
func (s *source) duration(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}
