package entry

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/pkg/objs"
)

// keptRetention is how long a written object is kept for writing it again; the copies that a
// platform is restored from are some seconds old.
const keptRetention = time.Minute

// keptObject is an object that this instance has written.
type keptObject struct {
	object  objs.Object
	written time.Time
}

// keep remembers an object that this instance creates, to write it again if the platform loses it.
func (i *Instance) keep(o objs.Object) {
	i.keptMu.Lock()
	defer i.keptMu.Unlock()
	i.kept = append(slices.DeleteFunc(i.kept, keptObject.expired), keptObject{object: o, written: clock.Now()})
}

func (k keptObject) expired() bool { return clock.Since(k.written) > keptRetention }

// recentlyKept returns the objects to write again.
func (i *Instance) recentlyKept() []keptObject {
	i.keptMu.Lock()
	defer i.keptMu.Unlock()
	return slices.DeleteFunc(slices.Clone(i.kept), keptObject.expired)
}

// rewriteLost writes objects of this instance again when the platform has come back from an
// older copy.
func (i *Instance) rewriteLost() error {
	ctx := i.tomb.Context(context.Background())
	restored := i.epochs.Changed()
	for {
		select {
		case <-i.tomb.Dying():
			return nil
		case <-restored:
			restored = i.epochs.Changed()
		}
		epoch, _, _ := i.epochs.Current()
		i.recordRestore(fmt.Sprintf("the platform's store has come back from an older copy; epoch %d begins", epoch))
		for _, k := range i.recentlyKept() {
			if _, ok := i.create(ctx, k.object); !ok {
				return nil
			}
		}
		if i.conf.SecretObject.Metadata.Name != "" && !i.restoreSecret(ctx) {
			return nil
		}
	}
}

func (i *Instance) recordRestore(evidence string) {
	i.journal.Add(jrnl.Event{Kind: jrnl.PlatformRestored, Evidence: evidence})
}

// secretCheckDelay is how long after the relays the other instances check the fleet's secret,
// plus a random time of up to as much.
const secretCheckDelay = 500 * time.Millisecond

// restoreSecret writes the fleet's secret again, or adopts the one that an instance which started
// after the restore has created; false if the instance ends meanwhile.
func (i *Instance) restoreSecret(ctx context.Context) bool {
	if !i.members.isRelay() && !i.sleep(secretCheckDelay+i.random.duration(secretCheckDelay)) {
		return false
	}
	stored, ok := i.create(ctx, i.conf.SecretObject)
	if !ok || bytes.Equal(stored.Spec, i.conf.SecretObject.Spec) {
		return ok
	}
	secret, err := plat.SecretOf(stored)
	if err != nil {
		i.recordRestore("the fleet's secret on the platform cannot be decoded, the own one is kept: " + err.Error())
		return true
	}
	i.conf.SecretObject = stored
	i.hub.SetSecret(secret)
	i.recordRestore("adopted the fleet's secret that an instance which started after the restore has written")
	return true
}

// create creates an object unless it exists and returns the stored one, or o if the platform
// rejects it. It retries while the platform does not answer; false if the instance ends meanwhile.
func (i *Instance) create(ctx context.Context, o objs.Object) (objs.Object, bool) {
	o.Metadata.ResourceVersion = ""
	for {
		stored, err := i.conf.Store.Put(ctx, o)
		var failed *plat.Error
		switch {
		case err == nil:
			return stored, true
		case errors.As(err, &failed) && failed.Cause == plat.Conflict:
			return failed.Stored, true
		case plat.HasCause(err, plat.Rejected):
			i.recordRestore(fmt.Sprintf("%s/%s cannot be written again: %v", o.Kind, o.Metadata.Name, err))
			return o, true
		case !i.sleep(i.retryDelay()):
			return o, false
		}
	}
}
