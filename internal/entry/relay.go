package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

const (
	// relaysPerCenter is the default number of relays of a data centre.
	relaysPerCenter = 2
	// relayRetryDelay is the mean time between the attempts of a relay while the platform does
	// not answer.
	relayRetryDelay = 500 * time.Millisecond
	// watchesPerPropagation is how many watches of the configuration, one after the other, end
	// within Config.PropagationTime; the end of each confirms the version in use. minWatchTime is
	// the shortest such watch, defaultWatchTime the length without a PropagationTime.
	watchesPerPropagation = 3
	minWatchTime          = time.Second
	defaultWatchTime      = 10 * time.Second
	// relayCheckInterval is how often an instance that is not a relay checks whether it has
	// become one or has to take over from one.
	relayCheckInterval = 200 * time.Millisecond
	// relayTrustTime is how long an instance relies on the relays without a confirmation that
	// its configuration is the latest, if Config.PropagationTime is not set. A relay confirms the
	// configuration about every second, and each link passes the confirmation on within one
	// heartbeat interval.
	relayTrustTime = 1700 * time.Millisecond
	// relayTrustTenths is the part of Config.PropagationTime, in tenths, that may pass without a
	// confirmation before an instance reads the platform itself.
	relayTrustTenths = 5
	// backupRelays is the number of instances of a data centre that take over first from
	// unresponsive relays, each one backupStagger after the previous one. The other instances
	// follow all at the same time, and multiply their retry delay by nonBackupDelayFactor while
	// the platform does not answer.
	backupRelays         = 3
	backupStagger        = 250 * time.Millisecond
	nonBackupDelayFactor = 4
	// fallbackPollInterval is how often the instances that are not relays read the platform
	// themselves: one read per interval for the whole fleet, whatever its size.
	fallbackPollInterval = 10 * time.Second
)

// relay keeps the configuration up to date with the platform.
func (i *Instance) relay() error {
	r := &confs.Relay{Store: i.conf.Store, Cache: i.configCache, WritesAgain: !i.conf.ConfigReadOnly, WatchTime: i.watchTime()}
	lost := false
	known := func() bool { return !i.configCache.Current().Version.IsZero() }
	return i.follow(known, func(ctx context.Context) error {
		err := r.Step(ctx)
		if ctx.Err() == nil {
			lost = i.recordPlatformState(err, lost)
		}
		return err
	})
}

// watchTime returns how long a relay's watch of the configuration lasts if nothing changes.
func (i *Instance) watchTime() time.Duration {
	if i.conf.PropagationTime == 0 {
		return defaultWatchTime
	}
	return max(minWatchTime, i.conf.PropagationTime/watchesPerPropagation)
}

// relayServers keeps the list of backend servers up to date with the platform.
func (i *Instance) relayServers() error {
	w := &confs.ServerWatcher{Store: i.conf.Store, Cache: i.configCache}
	known := func() bool { return !i.configCache.Current().Listed.IsZero() }
	return i.follow(known, func(ctx context.Context) error {
		err := w.Step(ctx)
		// A server whose entry is missing is removed by a later step.
		for err == nil && w.RemovalPending() {
			err = w.Step(ctx)
		}
		return err
	})
}

// follow keeps one kind of the platform's state up to date until the instance ends, by
// calls of once, which lists or watches that state. A relay calls it all the time, the other
// instances at the start if no peer delivers the state, and rarely after that. The function
// known reports whether the state is present.
func (i *Instance) follow(known func() bool, step func(context.Context) error) error {
	i.awaitPeerState(known)
	ctx := i.tomb.Context(context.Background())
	if known() && !i.members.isRelay() && !i.sleepUntilNeeded(i.fallbackPollDelay()) {
		return nil
	}
	for {
		err := step(ctx)
		alive := true
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			alive = i.sleep(i.retryDelay())
		case !i.members.isRelay():
			alive = i.sleepUntilNeeded(i.fallbackPollDelay())
		default:
			alive = i.tomb.Alive()
		}
		if !alive {
			return nil
		}
	}
}

// fallbackPollDelay returns how long this instance, while it is not a relay, waits until it
// reads the platform itself: on average fallbackPollInterval times the number of instances.
func (i *Instance) fallbackPollDelay() time.Duration {
	wait := fallbackPollInterval * time.Duration(max(len(i.members.current.Load().available), 1))
	return wait/2 + i.random.duration(wait)
}

// register writes this instance into the platform's list of instances, and again when the
// platform has lost the entry.
func (i *Instance) register() error {
	ctx := i.tomb.Context(context.Background())
	spec, err := json.Marshal(objs.ListedInstance{Center: i.conf.Center, Address: i.conf.AdvertiseAddress, State: objs.Live, Weight: i.conf.Weight})
	if err != nil {
		return errors.Trace(err)
	}
	o := objs.Object{Kind: objs.Instances, Metadata: objs.Metadata{Name: string(i.conf.Instance)}, Spec: spec}
	for {
		stored, err := i.conf.Store.Put(ctx, o)
		o.Metadata.ResourceVersion = ""
		var failed *plat.Error
		if errors.As(err, &failed) && failed.Cause == plat.Conflict {
			if bytes.Equal(failed.Stored.Spec, spec) {
				stored, err = failed.Stored, nil
			} else {
				o.Metadata.ResourceVersion = failed.Stored.Metadata.ResourceVersion
			}
		}
		if err != nil {
			if !i.sleep(relayRetryDelay/2 + i.random.duration(relayRetryDelay)) {
				return nil
			}
			continue
		}
		i.members.setRegistered(stored.Version())
		select {
		case <-i.tomb.Dying():
			return nil
		case <-i.unlisted:
		}
	}
}

// setRegistered records the version of this instance's entry in the platform's list.
func (m *members) setRegistered(v ident.Version) {
	m.mu.Lock()
	m.registered = v
	m.mu.Unlock()
	m.changed()
}

const (
	// startupPeerWait is how long a starting instance waits for a peer to deliver the state of
	// the platform before it reads the platform itself. Backups of the relays wait longer by
	// backupStagger for each rank.
	startupPeerWait = 500 * time.Millisecond
	// nonBackupStartupWait is the same for the other instances, which add a random time of up
	// to the same length.
	nonBackupStartupWait = 1500 * time.Millisecond
	// startupPollInterval is how often a starting instance checks whether the state has arrived.
	startupPollInterval = 20 * time.Millisecond
)

// awaitPeerState limits the load on the platform when instances start: the relays return at
// once and read the platform, the others wait for a peer to deliver the state.
func (i *Instance) awaitPeerState(known func() bool) {
	nonBackupWait := nonBackupStartupWait + i.random.duration(nonBackupStartupWait)
	for began := clock.Now(); !known() && i.sleep(startupPollInterval); {
		_, listed := i.members.current.Load().all[i.conf.Instance]
		rank := i.members.backupRank()
		wait := nonBackupWait
		switch {
		case listed && i.members.isRelay():
			return
		case listed && rank < backupRelays:
			wait = startupPeerWait + time.Duration(rank)*backupStagger
		}
		if clock.Since(began) > wait {
			return
		}
	}
}

// retryDelay returns the time to wait after a call to the platform failed.
func (i *Instance) retryDelay() time.Duration {
	pause := relayRetryDelay/2 + i.random.duration(relayRetryDelay)
	if i.members.backupRank() >= backupRelays {
		pause *= nonBackupDelayFactor
	}
	return pause
}

// sleep waits for a duration; it reports false if the instance ends meanwhile.
func (i *Instance) sleep(d time.Duration) bool {
	select {
	case <-i.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}

// sleepUntilNeeded is like sleep, but returns early when this instance becomes a relay or has
// to take over from one.
func (i *Instance) sleepUntilNeeded(d time.Duration) bool {
	for end := clock.Now().Add(d); clock.Now().Before(end); {
		if !i.sleep(min(relayCheckInterval, end.Sub(clock.Now()))) {
			return false
		}
		if i.members.isRelay() || i.conf.Listed && i.configCache.SinceConfirmed() > i.relayTrust() {
			return true
		}
	}
	return i.tomb.Alive()
}

// relayTrust returns how long this instance waits for a confirmation of its configuration by
// a peer before it reads the platform itself. The time grows with the backup rank, so that the
// instances of a data centre take over one after the other.
func (i *Instance) relayTrust() time.Duration {
	wait := relayTrustTime
	if i.conf.PropagationTime > 0 {
		wait = i.conf.PropagationTime * relayTrustTenths / 10
	}
	return wait + time.Duration(min(i.members.backupRank(), backupRelays))*backupStagger
}

// recordPlatformState adds a journal event when the platform becomes unreachable and when it
// answers again. It returns whether the platform counts as unreachable from now on.
func (i *Instance) recordPlatformState(err error, lost bool) bool {
	unreachable := plat.HasCause(err, plat.Unreachable)
	if unreachable && !lost {
		i.journal.Add(jrnl.Event{Kind: jrnl.PlatformLost, Evidence: err.Error()})
	}
	if err == nil && lost {
		i.journal.Add(jrnl.Event{Kind: jrnl.PlatformBack})
	}
	if err == nil {
		return false
	}
	return lost || unreachable
}
