package upstream

import (
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
	"github.com/auburnlead/auburnlead/internal/upload"
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
	// unshared opens a connection for each request.
	unshared *http.Transport
	urls     atomic.Pointer[workerURLs]
	submit   func(func(context.Context)) bool
	newTimer func(time.Duration, func()) stallTimer
	log      *log.Logger
}

// stallTimer is the part of time.Timer that streams use.
type stallTimer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// workerURLs maps upstream and worker to the worker's base URL, for one
// configuration revision.
type workerURLs map[[2]string]*url.URL

// New returns a client for the workers of the active configuration revision. It
// runs each background job on a goroutine of its own; the plug-in replaces that by
// the background pool.
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
	c.unshared = c.transport.Clone()
	c.unshared.DisableKeepAlives = true
	config.Subscribe(c.apply)
	return c
}

// apply switches to the workers of a configuration revision.
func (c *Client) apply(revision *core.ConfigRevision) {
	urls := workerURLs{}
	for name, u := range revision.Set.Upstreams {
		for _, w := range u.Workers {
			base, err := url.Parse(w.URL)
			if err != nil {
				c.log.Error("cannot parse the URL of a worker", "upstream", name, "worker", w.ID, "error", err)
				continue
			}
			urls[[2]string{name, w.ID}] = base
		}
	}
	c.urls.Store(&urls)
}

// errUnknownWorker is returned for a worker that is not part of the active
// revision.
var errUnknownWorker = errors.New("worker is not in the configuration in force; place the request again")

// workerURL returns the URL of a path on a worker. path may have a query; its
// escape sequences are kept.
func (c *Client) workerURL(upstream, worker, path string) (*url.URL, error) {
	urls := c.urls.Load()
	if urls == nil || (*urls)[[2]string{upstream, worker}] == nil {
		return nil, errUnknownWorker
	}
	base := (*urls)[[2]string{upstream, worker}]
	ref, err := url.Parse(base.EscapedPath() + path)
	if err != nil {
		return nil, fmt.Errorf("cannot parse the path of the request: %w", err)
	}
	ref.Scheme, ref.Host, ref.User = base.Scheme, base.Host, nil
	return ref, nil
}

// newRequest returns a request without its body, which send adds.
func newRequest(ctx context.Context, method string, u *url.URL) *http.Request {
	return (&http.Request{Method: method, URL: u, Host: u.Host, Header: http.Header{}}).WithContext(ctx)
}

// withBody returns a copy of a request with a body, nil for none, that the transport cannot rewind,
// so that it never resends the body by itself.
func withBody(ctx context.Context, r *http.Request, body *upload.Body, length int) *http.Request {
	r = r.WithContext(ctx)
	if body != nil {
		r.Body = body
		r.ContentLength = int64(length)
	}
	return r
}

// setAttemptHeaders sets the headers with the ID, priority, deadline and resume
// position of an attempt.
func setAttemptHeaders(h http.Header, a core.Attempt) {
	h.Set(headerAttempt, a.ID)
	h.Set(headerPriority, strconv.Itoa(a.Priority))
	if !a.Deadline.IsZero() {
		h.Set(headerDeadline, strconv.FormatInt(max(time.Until(a.Deadline).Milliseconds(), 1), 10))
	}
	if a.LastEventID != "" {
		h.Set(headerLastEventID, a.LastEventID)
	}
}

// roundTrip sends the request at most once, and not after sendBy unless that is
// zero. Errors: *core.AttemptError, with not_run only if no byte of the request
// can have been sent.
func (c *Client) roundTrip(r *http.Request, body []byte, sendBy time.Time) (*http.Response, error) {
	return c.send(r, body, &sendTracker{sendBy: sendBy})
}

// send is roundTrip with a tracker from the caller.
func (c *Client) send(r *http.Request, body []byte, tracker *sendTracker) (*http.Response, error) {
	response, err := c.exchange(r, body, tracker)
	if err == nil {
		if !core.IsResponseStatus(response.StatusCode) {
			tracker.dropConnection()
			_ = response.Body.Close()
			return nil, unknownOutcomeError(fmt.Errorf("worker responded with status %03d, which HTTP does not have", response.StatusCode))
		}
		if !isAttributed(r, response, tracker.usedConnection()) {
			tracker.retireConnection()
			_ = response.Body.Close()
			return nil, unknownOutcomeError(fmt.Errorf("response with status %d names attempt %q", response.StatusCode, response.Header.Get(headerAttempt)))
		}
		return response, nil
	}
	if tracker.nothingSent() {
		return nil, notRunError(err)
	}
	return nil, unknownOutcomeError(err)
}

// transportFor returns the transport for a request. The response to one without an
// attempt ID is attributed by its connection, so it gets a connection of its own.
func (c *Client) transportFor(r *http.Request) *http.Transport {
	if r.Header.Get(headerAttempt) == "" {
		return c.unshared
	}
	return c.transport
}

// exchange sends the request on a connection that is not retired. Nothing of it is
// sent on retired connections that the transport offers; these end.
func (c *Client) exchange(r *http.Request, body []byte, tracker *sendTracker) (*http.Response, error) {
	for {
		if err := r.Context().Err(); err != nil {
			return nil, err
		}
		var unsent *upload.Body
		if len(body) > 0 {
			unsent = upload.NewBody(body)
		}
		response, err := c.transportFor(r).RoundTrip(withBody(tracker.trace(r.Context(), unsent), r, unsent, len(body)))
		if !tracker.isWithheld() {
			return response, err
		}
		if err == nil {
			_ = response.Body.Close() // to an earlier request
		}
	}
}

func notRunError(err error) *core.AttemptError {
	return &core.AttemptError{Outcome: core.OutcomeNotRun, Err: err}
}

func unknownOutcomeError(err error) *core.AttemptError {
	return &core.AttemptError{Outcome: core.OutcomeUnknown, Err: err}
}

// statusError returns the error for a response with an unexpected status. The
// outcome is unknown unless the worker states that it did not run the request.
func statusError(response *http.Response) *core.AttemptError {
	defer drainAndClose(response.Body)
	e := unknownOutcomeError(fmt.Errorf("worker responded with status %d", response.StatusCode))
	if statesNotRun(response) {
		e.Outcome = core.OutcomeNotRun
	}
	e.Status = response.StatusCode
	e.RetryAfter = parseRetryAfter(response.Header)
	return e
}

// statesNotRun reports whether the worker states that it did not run the request.
// The header is ignored in a successful response, which it contradicts.
func statesNotRun(response *http.Response) bool {
	return response.StatusCode >= 400 && response.Header.Get(headerOutcome) == string(core.OutcomeNotRun)
}

// isAttributed reports whether a response belongs to the request. A refusal that names
// no attempt may be an additional one to an earlier request, if the connection was used
// before.
func isAttributed(r *http.Request, response *http.Response, usedConnection bool) bool {
	sent, echoed := r.Header.Get(headerAttempt), response.Header.Get(headerAttempt)
	return sent == "" || echoed == sent || echoed == "" && !(usedConnection && statesNotRun(response))
}

// maxRetryAfter is the longest Retry-After that is accepted. A longer one is
// shortened to it.
const maxRetryAfter = 10 * time.Minute

func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	// The limit of 3600 keeps the conversion to nanoseconds from overflowing.
	return min(time.Duration(min(seconds, 3600))*time.Second, maxRetryAfter)
}

// maxDrainBytes is the maximum rest of a response body that is read so that its
// connection can be reused.
const maxDrainBytes = 16 << 10

// drainAndClose reads the rest of a body, up to maxDrainBytes, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
