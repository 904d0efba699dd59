package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Header names of the upstream interface.
const (
	headerAttempt     = "X-Attempt-Id"
	headerPriority    = "X-Priority"
	headerDeadline    = "X-Deadline-Ms"
	headerOutcome     = "X-Outcome"
	headerLastEventID = "Last-Event-Id"
)

// Client sends attempts to workers.
type Client struct {
	settings  *Settings
	transport *http.Transport
	targets   atomic.Pointer[targets]
	submit    func(func(context.Context)) bool
	newTimer  func(time.Duration, func()) stallTimer
	log       *log.Logger
}

// stallTimer is the part of time.Timer that streams use.
type stallTimer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// targets maps upstream and worker to the worker's base URL for one revision.
type targets map[[2]string]*url.URL

// New returns a client for the workers of the configuration in force. It runs
// background jobs on their own goroutines unless the plug-in sets a pool.
func New(s *Settings, config core.Config, logger *log.Logger) *Client {
	c := &Client{settings: s, log: logger.WithPrefix("upstream")}
	c.submit = func(job func(context.Context)) bool { go job(context.Background()); return true }
	c.newTimer = func(d time.Duration, fn func()) stallTimer { return time.AfterFunc(d, fn) }
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		TLSHandshakeTimeout:    s.ConnectTimeout,
		MaxIdleConnsPerHost:    s.IdlePerWorker,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: s.HeaderBytes,
		DisableCompression:     true,
	}
	config.Subscribe(c.apply)
	return c
}

// apply takes over the workers of a revision.
func (c *Client) apply(p *core.ConfigRevision) {
	t := targets{}
	for name, u := range p.Set.Upstreams {
		for _, w := range u.Workers {
			base, err := url.Parse(w.URL)
			if err != nil {
				c.log.Error("worker has no usable URL", "upstream", name, "worker", w.ID, "error", err)
				continue
			}
			t[[2]string{name, w.ID}] = base
		}
	}
	c.targets.Store(&t)
}

// errNoTarget says that a worker is not part of the revision in force.
var errNoTarget = errors.New("worker is not in the configuration in force; place the request again")

// target returns the URL of a path of a worker. path may have a query and is
// used as it is, escapes included.
func (c *Client) target(upstream, worker, path string) (*url.URL, error) {
	t := c.targets.Load()
	if t == nil || (*t)[[2]string{upstream, worker}] == nil {
		return nil, errNoTarget
	}
	base := (*t)[[2]string{upstream, worker}]
	ref, err := url.Parse(base.EscapedPath() + path)
	if err != nil {
		return nil, fmt.Errorf("path of the request: %w", err)
	}
	ref.Scheme, ref.Host, ref.User = base.Scheme, base.Host, nil
	return ref, nil
}

// request builds a request whose body the transport cannot rewind, so that it
// never sends the body twice on its own.
func request(ctx context.Context, method string, u *url.URL, body []byte) *http.Request {
	r := (&http.Request{Method: method, URL: u, Host: u.Host, Header: http.Header{}}).WithContext(ctx)
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

// setAttempt adds the headers that name and bound an attempt.
func setAttempt(h http.Header, a core.Attempt) {
	h.Set(headerAttempt, a.ID)
	h.Set(headerPriority, strconv.Itoa(a.Priority))
	if !a.Deadline.IsZero() {
		h.Set(headerDeadline, strconv.FormatInt(max(time.Until(a.Deadline).Milliseconds(), 1), 10))
	}
	if a.LastEventID != "" {
		h.Set(headerLastEventID, a.LastEventID)
	}
}

// roundTrip sends the request once, before sendBy unless that is zero. Errors: *core.AttemptError, with not_run
// only when no byte of the request can have left.
func (c *Client) roundTrip(r *http.Request, sendBy time.Time) (*http.Response, error) {
	return c.send(r, &sentTracker{sendBy: sendBy})
}

// send is roundTrip with a tracker that the caller has set up.
func (c *Client) send(r *http.Request, tr *sentTracker) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, notRun(err)
	}
	response, err := c.transport.RoundTrip(r.WithContext(tr.trace(r.Context())))
	if err == nil {
		return response, nil
	}
	if tr.nothingSent() {
		return nil, notRun(err)
	}
	return nil, unknown(err)
}

func notRun(err error) *core.AttemptError {
	return &core.AttemptError{Outcome: core.OutcomeNotRun, Err: err}
}

func unknown(err error) *core.AttemptError {
	return &core.AttemptError{Outcome: core.OutcomeUnknown, Err: err}
}

// refused returns the error that an answer stands for: a stated refusal, or an
// answer with an unexpected status, whose outcome is unknown.
func refused(response *http.Response) *core.AttemptError {
	defer discard(response.Body)
	e := unknown(fmt.Errorf("worker answered with status %d", response.StatusCode))
	if statesNotRun(response) {
		e.Outcome = core.OutcomeNotRun
	}
	e.Status = response.StatusCode
	e.RetryAfter = retryAfter(response.Header)
	return e
}

// statesNotRun reports whether the upstream itself says that it did not run
// the request. A success with that header contradicts itself and is no refusal.
func statesNotRun(response *http.Response) bool {
	return response.StatusCode >= 400 && response.Header.Get(headerOutcome) == string(core.OutcomeNotRun)
}

// maxRetryAfter bounds the wait that an upstream can ask for.
const maxRetryAfter = 10 * time.Minute

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(min(seconds, 3600))*time.Second, maxRetryAfter)
}

// discardBytes is the rest of an answer that is read to keep its connection.
const discardBytes = 16 << 10

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, discardBytes)
	_ = body.Close()
}
