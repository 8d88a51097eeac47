package plat

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"geraniumseam.dev/pkg/objs"
)

const (
	// secretRetryInterval is the pause between attempts to read the fleet's secret.
	secretRetryInterval = 300 * time.Millisecond
	// secretJitter is the longest random delay before an instance of a new fleet creates the
	// secret.
	secretJitter = 800 * time.Millisecond
	// secretBytes is the length of the fleet's secret before hex encoding.
	secretBytes = 16
)

// FleetSecret reads the object with the secret by which the fleet's instances authenticate to
// each other. If there is none yet, it creates it.
func FleetSecret(ctx context.Context, store Store) (objs.Object, error) {
	const name = "fleet"
	for firstTry := true; ; {
		o, err := store.Get(ctx, objs.Secrets, name)
		if HasCause(err, NotFound) && firstTry {
			// Of instances that start together, the one with the shortest delay creates the secret.
			firstTry = false
			if !sleep(ctx, time.Duration(mathrand.Int64N(int64(secretJitter)))) {
				return objs.Object{}, errors.Trace(ctx.Err())
			}
			continue
		}
		if HasCause(err, NotFound) {
			o, err = createSecret(ctx, store, name)
		}
		if err == nil {
			_, err = SecretOf(o)
		}
		if err == nil {
			return o, nil
		}
		klog.InfoS("fleet secret not available, retrying", "error", err)
		if !sleep(ctx, secretRetryInterval) {
			return objs.Object{}, errors.Trace(ctx.Err())
		}
	}
}

// SecretOf returns the secret in an object.
func SecretOf(o objs.Object) (string, error) {
	var secret string
	err := json.Unmarshal(o.Spec, &secret)
	return secret, errors.Trace(err)
}

// sleep waits for d; false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// createSecret stores a new secret, or returns the one that another instance has stored.
func createSecret(ctx context.Context, store Store, name string) (objs.Object, error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return objs.Object{}, errors.Trace(err)
	}
	spec, err := json.Marshal(hex.EncodeToString(random))
	if err != nil {
		return objs.Object{}, errors.Trace(err)
	}
	o, err := store.Put(ctx, objs.Object{Kind: objs.Secrets, Metadata: objs.Metadata{Name: name}, Spec: spec})
	var failed *Error
	if errors.As(err, &failed) && failed.Cause == Conflict {
		return failed.Stored, nil
	}
	return o, err
}
