package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// Config makes a Client.
type Config struct {
	URL string
	// CallTime bounds one call.
	CallTime time.Duration
	// WatchTime is how long one watch waits before it is asked anew.
	WatchTime time.Duration
	// Attempts is how often a call is tried.
	Attempts int
	Backoff  retry.Backoff
	Random   *rand.Rand
	Registry prometheus.Registerer
	// Transport replaces the usual one, as in tests of failures.
	Transport http.RoundTripper
}

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// Client is a Store over HTTP; it is safe for concurrent use.
type Client struct {
	conf  Config
	http  *http.Client
	calls *prometheus.CounterVec
	rolls chan *rand.Rand
}

// New returns a client.
func New(c Config) *Client {
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
	}
	client := &Client{
		conf: c, http: &http.Client{Transport: c.Transport}, rolls: make(chan *rand.Rand, 1),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_platform_calls_total", Help: "Calls to the platform, by verb and end.",
		}, []string{"verb", "end"}),
	}
	client.rolls <- c.Random
	if c.Registry != nil {
		c.Registry.MustRegister(client.calls)
	}
	return client
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error) {
	var found objs.Object
	err := c.retry(ctx, "get", func(ctx context.Context) error {
		return c.call(ctx, http.MethodGet, path(kind, name), nil, &found)
	})
	return found, locate(err, kind, name)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind objs.Kind) (objs.List, error) {
	var found objs.List
	err := c.retry(ctx, "list", func(ctx context.Context) error {
		return c.call(ctx, http.MethodGet, path(kind, ""), nil, &found)
	})
	return found, locate(err, kind, "")
}

// Put implements Store. A write whose answer was lost is tried again under the
// same operation name; a conflict with that very operation is its own success.
func (c *Client) Put(ctx context.Context, o objs.Object) (objs.Object, error) {
	operation := c.operation()
	marked := o
	marked.Metadata.Annotations = map[string]string{objs.OperationKey: operation}
	var kept objs.Object
	err := c.retry(ctx, "put", func(ctx context.Context) error {
		err := c.call(ctx, http.MethodPut, path(o.Kind, o.Metadata.Name), marked, &kept)
		var failed *Error
		if errors.As(err, &failed) && failed.Cause == Conflict && failed.Kept.Operation() == operation {
			kept = failed.Kept
			return nil
		}
		return err
	})
	return kept, locate(err, o.Kind, o.Metadata.Name)
}

// Delete implements Store; an object that is already gone counts as deleted.
func (c *Client) Delete(ctx context.Context, kind objs.Kind, name string, version ident.Version) error {
	err := c.retry(ctx, "delete", func(ctx context.Context) error {
		err := c.call(ctx, http.MethodDelete, path(kind, name)+"?resourceVersion="+strconv.FormatUint(uint64(version), 10), nil, nil)
		if Is(err, NotFound) {
			return nil
		}
		return err
	})
	return locate(err, kind, name)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind objs.Kind, after ident.Version, f func(objs.Event)) (ident.Version, error) {
	query := fmt.Sprintf("?watch=1&resourceVersion=%d&timeoutSeconds=%g", after, c.conf.WatchTime.Seconds())
	ctx, cancel := context.WithTimeout(ctx, c.conf.WatchTime+c.conf.CallTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.conf.URL+path(kind, "")+query, nil)
	if err != nil {
		return after, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.count("watch", Unreachable.String())
		return after, &Error{Cause: Unreachable, Kind: kind}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed := failure(response)
		c.count("watch", failed.Cause.String())
		return after, locate(failed, kind, "")
	}
	c.count("watch", "ok")
	return follow(response.Body, after, f)
}

// follow reads a watch's events; one cut short without a bookmark is an error.
func follow(body io.Reader, after ident.Version, f func(objs.Event)) (ident.Version, error) {
	decoder := json.NewDecoder(body)
	for {
		var e objs.Event
		if err := decoder.Decode(&e); err != nil {
			return after, &Error{Cause: Unreachable, Kind: e.Object.Kind}
		}
		after = max(after, e.Object.Version())
		if e.Type == objs.Bookmark {
			return after, nil
		}
		f(e)
	}
}

func (c *Client) call(ctx context.Context, method, target string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.conf.CallTime)
	defer cancel()
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Trace(err)
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.conf.URL+target, content)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Cause: Unreachable}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failure(response)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(into); err != nil {
		return &Error{Cause: Unreachable, Status: response.StatusCode}
	}
	return nil
}

func failure(response *http.Response) *Error {
	failed := &Error{Status: response.StatusCode}
	switch response.StatusCode {
	case http.StatusNotFound:
		failed.Cause = NotFound
	case http.StatusConflict:
		failed.Cause = Conflict
		_ = json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&failed.Kept)
	case http.StatusGone:
		failed.Cause = Gone
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout,
		http.StatusTooManyRequests, http.StatusInternalServerError:
		failed.Cause = Unreachable
	default:
		failed.Cause = Refused
	}
	return failed
}

// retry tries a call until it is answered, its attempts are used up or ctx ends.
func (c *Client) retry(ctx context.Context, verb string, call func(context.Context) error) error {
	for attempt := 0; ; attempt++ {
		err := call(ctx)
		c.count(verb, end(err))
		if !Is(err, Unreachable) || attempt+1 >= c.conf.Attempts {
			return err
		}
		random := <-c.rolls
		pause := c.conf.Backoff.After(attempt, random)
		c.rolls <- random
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

func (c *Client) operation() string {
	random := <-c.rolls
	defer func() { c.rolls <- random }()
	return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
}

func (c *Client) count(verb, end string) { c.calls.WithLabelValues(verb, end).Inc() }

func end(err error) string {
	if err == nil {
		return "ok"
	}
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Cause.String()
	}
	return "error"
}

// Is reports whether err is a failed call with the given cause.
func Is(err error, cause Cause) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Cause == cause
}

func locate(err error, kind objs.Kind, name string) error {
	var failed *Error
	if errors.As(err, &failed) {
		failed.Kind, failed.Name = kind, name
	}
	return err
}

func path(kind objs.Kind, name string) string {
	if name == "" {
		return objs.BasePath + string(kind)
	}
	return objs.BasePath + string(kind) + "/" + name
}
