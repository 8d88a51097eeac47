package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// Config configures a Client.
type Config struct {
	URL string
	// CallTimeout is the timeout of one attempt of a call.
	CallTimeout time.Duration
	// Attempts is the maximum number of attempts of a call.
	Attempts int
	Backoff  retry.Backoff
	Random   *rand.Rand
	Registry prometheus.Registerer
	// Transport replaces the default transport, for example to inject failures in tests.
	Transport http.RoundTripper
}

// maxResponse is the maximum size of a response, in bytes.
const maxResponse = 64 << 20

// Client is a Store over HTTP; it is safe for concurrent use.
type Client struct {
	conf  Config
	http  *http.Client
	calls *prometheus.CounterVec
	// rng holds the random number generator; receiving from it serialises its use.
	rng chan *rand.Rand
}

// New returns a Client.
func New(c Config) *Client {
	if c.Transport == nil {
		c.Transport = &http.Transport{DisableKeepAlives: true}
	}
	client := &Client{
		conf: c, http: &http.Client{Transport: c.Transport, CheckRedirect: StayHere}, rng: make(chan *rand.Rand, 1),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_platform_calls_total", Help: "Calls to the platform, by verb and end.",
		}, []string{"verb", "end"}),
	}
	client.rng <- c.Random
	if c.Registry != nil {
		c.Registry.MustRegister(client.calls)
	}
	return client
}

// StayHere makes an http.Client return an answer that points elsewhere, and not follow it.
func StayHere(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error) {
	var found objs.Object
	target, err := objectPath(kind, name)
	if err == nil {
		err = c.retry(ctx, "get", func(ctx context.Context) error {
			found = objs.Object{}
			return c.call(ctx, http.MethodGet, target, nil, &answeredObject{Object: &found, kind: kind, name: name})
		})
	}
	return found, withObject(err, kind, name)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind objs.Kind) (objs.List, error) {
	var found objs.List
	target, err := objectPath(kind)
	if err == nil {
		err = c.retry(ctx, "list", func(ctx context.Context) error {
			found = objs.List{}
			return c.call(ctx, http.MethodGet, target, nil, &answeredList{List: &found, kind: kind})
		})
	}
	return found, withObject(err, kind, "")
}

// Put implements Store. A write whose response was lost is retried with the same operation
// ID; a conflict with an object that carries this ID means that the write succeeded.
func (c *Client) Put(ctx context.Context, o objs.Object) (objs.Object, error) {
	operationID := c.operationID()
	tagged := o
	tagged.Metadata.Annotations = map[string]string{objs.OperationKey: operationID}
	target, err := objectPath(o.Kind, o.Metadata.Name)
	if err != nil {
		return objs.Object{}, withObject(err, o.Kind, o.Metadata.Name)
	}
	var stored objs.Object
	lost := false
	err = c.retry(ctx, "put", func(ctx context.Context) error {
		stored = objs.Object{}
		err := c.call(ctx, http.MethodPut, target, tagged, &answeredObject{Object: &stored, kind: o.Kind, name: o.Metadata.Name, atLeast: o.Version()})
		var failed *Error
		if !errors.As(err, &failed) {
			return err
		}
		if failed.Cause == Conflict && !failed.Stored.Version().IsZero() && (failed.Stored.Kind != o.Kind || failed.Stored.Metadata.Name != o.Metadata.Name) {
			failed.Cause = Unreachable
		}
		if failed.Cause == Conflict && failed.Stored.Operation() == operationID {
			stored = failed.Stored
			return nil
		}
		failed.EarlierLost = lost
		lost = lost || failed.Cause == Unreachable
		return err
	})
	return stored, withObject(err, o.Kind, o.Metadata.Name)
}

// Delete implements Store. An object that does not exist counts as deleted.
func (c *Client) Delete(ctx context.Context, kind objs.Kind, name string, version ident.Version) error {
	target, err := objectPath(kind, name)
	if err != nil {
		return withObject(err, kind, name)
	}
	err = c.retry(ctx, "delete", func(ctx context.Context) error {
		err := c.call(ctx, http.MethodDelete, target+"?resourceVersion="+version.ResourceVersion(), nil, nil)
		if HasCause(err, NotFound) {
			return nil
		}
		return err
	})
	return withObject(err, kind, name)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind objs.Kind, after ident.Version, wait time.Duration, f func(objs.Event)) (ident.Version, error) {
	target, err := objectPath(kind)
	if err != nil {
		return after, withObject(err, kind, "")
	}
	query := fmt.Sprintf("?watch=1&resourceVersion=%s&timeoutSeconds=%g", after.ResourceVersion(), wait.Seconds())
	ctx, cancel := context.WithTimeout(ctx, wait+c.conf.CallTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, c.conf.URL+target+query, nil)
	if err != nil {
		return after, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.count("watch", Unreachable.String())
		return after, &Error{Cause: Unreachable, Kind: kind}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed := responseError(response)
		c.count("watch", failed.Cause.String())
		return after, withObject(failed, kind, "")
	}
	c.count("watch", "ok")
	return readEvents(io.LimitReader(response.Body, maxResponse), kind, after, f)
}

// readEvents reads the events of a watch up to the bookmark that ends it; a stream that ends
// without one is an error.
func readEvents(body io.Reader, kind objs.Kind, after ident.Version, f func(objs.Event)) (ident.Version, error) {
	decoder := json.NewDecoder(body)
	for {
		var e objs.Event
		if err := decoder.Decode(&e); err != nil {
			return after, &Error{Cause: Unreachable, Kind: kind, Detail: err.Error()}
		}
		if e.Object.Kind != kind || e.Type == objs.Unknown {
			return after, &Error{Cause: Unreachable, Kind: kind, Detail: "an event of another kind"}
		}
		after = ident.Latest(after, e.Object.Version())
		if e.Type == objs.Bookmark {
			return after, nil
		}
		f(e)
	}
}

// call sends one request and decodes the response into a value, if one is given.
func (c *Client) call(ctx context.Context, method, target string, body any, result answer) error {
	ctx, cancel := context.WithTimeout(ctx, c.conf.CallTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Trace(err)
		}
		content = bytes.NewReader(text)
	}
	request, err := newRequest(ctx, method, c.conf.URL+target, content)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Cause: Unreachable}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	if result == nil {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err == nil {
		err = json.Unmarshal(text, result)
	}
	if err != nil {
		return &Error{Cause: Unreachable, Status: response.StatusCode, Detail: err.Error()}
	}
	if !result.fits() {
		return &Error{Cause: Unreachable, Status: response.StatusCode, Detail: "the answer to another call"}
	}
	return nil
}

// answer is a decoded answer, which reports whether it can be the one to its call.
type answer interface{ fits() bool }

// answeredObject is an answer that has to be an object, at a version of at least the given one.
type answeredObject struct {
	*objs.Object
	kind    objs.Kind
	name    string
	atLeast ident.Version
}

func (a *answeredObject) fits() bool {
	return a.Kind == a.kind && a.Metadata.Name == a.name && !a.Version().IsZero() && !a.Version().Before(a.atLeast)
}

// answeredList is an answer that has to be a list of objects of a kind.
type answeredList struct {
	*objs.List
	// Single is the kind that an object has in place of a list.
	Single objs.Kind `json:"kind"`
	kind   objs.Kind
}

func (a *answeredList) fits() bool {
	return a.Single == "" && !slices.ContainsFunc(a.Items, func(o objs.Object) bool { return o.Kind != a.kind })
}

// newRequest returns a request that has a connection to itself: an answer doesn't say which call it is
// for, only the connection that it came on does.
func newRequest(ctx context.Context, method, target string, content io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Close = true
	return request, nil
}

// responseError returns the error for a response with a status other than 200.
func responseError(response *http.Response) *Error {
	failed := &Error{Status: response.StatusCode}
	switch response.StatusCode {
	case http.StatusNotFound:
		failed.Cause = NotFound
	case http.StatusConflict:
		failed.Cause = Conflict
		if json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&failed.Stored) != nil {
			failed.Cause = Unreachable
		}
	case http.StatusGone:
		failed.Cause = Gone
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout,
		http.StatusTooManyRequests, http.StatusInternalServerError:
		failed.Cause = Unreachable
	default:
		// An answer of another kind than an error refuses nothing.
		failed.Cause = Unreachable
		if response.StatusCode >= http.StatusBadRequest {
			failed.Cause = Rejected
		}
	}
	return failed
}

// retry repeats a call while it fails as Unreachable, up to the maximum number of attempts
// or the end of ctx.
func (c *Client) retry(ctx context.Context, verb string, call func(context.Context) error) error {
	for attempt := 0; ; attempt++ {
		err := call(ctx)
		c.count(verb, resultLabel(err))
		if !HasCause(err, Unreachable) || attempt+1 >= c.conf.Attempts {
			return err
		}
		random := <-c.rng
		pause := c.conf.Backoff.Delay(attempt, random)
		c.rng <- random
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// operationID returns a new random operation ID.
func (c *Client) operationID() string {
	random := <-c.rng
	defer func() { c.rng <- random }()
	return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
}

func (c *Client) count(verb, end string) { c.calls.WithLabelValues(verb, end).Inc() }

// resultLabel returns the metric label for the result of a call.
func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Cause.String()
	}
	return "error"
}

// HasCause reports whether err is an *Error with the given cause.
func HasCause(err error, cause Cause) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Cause == cause
}

// withObject adds the object's kind and name to an *Error.
func withObject(err error, kind objs.Kind, name string) error {
	var failed *Error
	if errors.As(err, &failed) {
		failed.Kind, failed.Name = kind, name
	}
	return err
}

// objectPath returns the path of a kind or of the object that is named.
func objectPath(kind objs.Kind, name ...string) (string, error) {
	return Path(objs.BasePath, append([]string{string(kind)}, name...)...)
}
