package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/auburnlead/auburnlead/store"
)

// Limits of the platform's replies.
const (
	maxReplyBytes       = 32 << 20
	maxReplyHeaderBytes = 64 << 10
	maxErrorTextBytes   = 512
)

// Client calls the platform over HTTP. It is safe for concurrent use and sends
// each commit at most once.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client. Call Close to close its connections.
func NewClient(s *Settings) *Client {
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	return &Client{
		base: strings.TrimSuffix(s.URL, "/"),
		key:  s.Key,
		http: &http.Client{
			Timeout: s.Timeout,
			Transport: &http.Transport{
				DialContext:            dialer.DialContext,
				MaxConnsPerHost:        s.MaxConnections,
				MaxIdleConnsPerHost:    s.MaxConnections,
				IdleConnTimeout:        s.IdleTimeout,
				MaxResponseHeaderBytes: maxReplyHeaderBytes,
			},
			// Following a redirect would send a commit a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type rowsReply struct {
	Rows []store.Row `json:"rows"`
}

type conflictReply struct {
	Current []store.Row `json:"current"`
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var reply rowsReply
	err := c.read(ctx, "get", http.MethodPost, "/table/get", struct {
		Keys []string `json:"keys"`
	}{keys}, &reply)
	if err == nil && len(reply.Rows) != len(keys) {
		err = unavailable("get", fmt.Errorf("received %d rows for %d keys", len(reply.Rows), len(keys)))
	}
	return reply.Rows, err
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var reply rowsReply
	err := c.read(ctx, "scan", http.MethodPost, "/table/scan", struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}{prefix, after, limit}, &reply)
	return reply.Rows, err
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	const op = "commit"
	body, err := json.Marshal(struct {
		Ops []store.Op `json:"ops"`
	}{ops})
	if err != nil {
		return store.CommitResult{}, unavailable(op, err)
	}
	r, err := c.send(ctx, op, http.MethodPost, "/table/commit", body)
	if err != nil {
		return store.CommitResult{}, err
	}
	switch r.status {
	case http.StatusOK:
		var result store.CommitResult
		if err := json.Unmarshal(r.body, &result); err != nil || len(result.Versions) != len(ops) {
			return store.CommitResult{}, uncertain(op, errors.New("the reply is malformed"))
		}
		return result, nil
	case http.StatusConflict:
		var conflict conflictReply
		if err := json.Unmarshal(r.body, &conflict); err != nil {
			return store.CommitResult{}, uncertain(op, errors.New("the reply is malformed"))
		}
		return store.CommitResult{}, &store.ConflictError{Current: conflict.Current}
	}
	return store.CommitResult{}, r.writeError(op)
}

// List implements store.VMLister.
func (c *Client) List(ctx context.Context) (store.VMList, error) {
	var list store.VMList
	err := c.read(ctx, "list", http.MethodGet, "/vms", nil, &list)
	return list, err
}

// Objects implements store.Client.
func (c *Client) Objects() store.ObjectStore { return objectStore{c} }

type objectStore struct{ c *Client }

func (o objectStore) Put(ctx context.Context, name string, body []byte) error {
	r, err := o.c.send(ctx, "put", http.MethodPut, "/objects/"+url.PathEscape(name), body)
	if err != nil {
		return err
	}
	if r.status/100 == 2 {
		return nil
	}
	return r.writeError("put")
}

func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	r, err := o.c.send(ctx, "object", http.MethodGet, "/objects/"+url.PathEscape(name), nil)
	switch {
	case err != nil:
		return nil, unavailable("object", unwrapCause(err))
	case r.status == http.StatusNotFound:
		return nil, &store.NotFoundError{Name: name}
	case r.status != http.StatusOK:
		return nil, unavailable("object", r.statusError())
	}
	return r.body, nil
}

// read sends a request that does not change the platform, so every failure is a
// *store.UnavailableError. It decodes the reply into result.
func (c *Client) read(ctx context.Context, op, method, path string, request, result any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return unavailable(op, err)
		}
	}
	r, err := c.send(ctx, op, method, path, body)
	if err != nil {
		return unavailable(op, unwrapCause(err))
	}
	if r.status != http.StatusOK {
		return unavailable(op, r.statusError())
	}
	if err := json.Unmarshal(r.body, result); err != nil {
		return unavailable(op, fmt.Errorf("the reply is malformed: %w", err))
	}
	return nil
}

// reply is a complete HTTP reply.
type reply struct {
	status int
	notRun bool
	body   []byte
}

func (r *reply) statusError() error {
	text := strings.TrimSpace(string(r.body[:min(len(r.body), maxErrorTextBytes)]))
	return fmt.Errorf("status %d: %s", r.status, text)
}

// writeError returns the error for a write whose reply does not report success. A
// 4xx status or the outcome not_run means that nothing was written.
func (r *reply) writeError(op string) error {
	if r.notRun || r.status/100 == 4 {
		return unavailable(op, r.statusError())
	}
	return uncertain(op, r.statusError())
}

// send sends one request and reads the whole reply. It returns a
// *store.UnavailableError if no connection was obtained, so that the request was
// certainly not sent, and a *store.UncertainError if it may have been carried out.
func (c *Client) send(ctx context.Context, op, method, path string, body []byte) (*reply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, unavailable(op, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, unavailable(op, err)
		}
		return nil, uncertain(op, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return nil, uncertain(op, err)
	}
	if len(data) > maxReplyBytes {
		return nil, uncertain(op, fmt.Errorf("the reply exceeds %d bytes", maxReplyBytes))
	}
	return &reply{res.StatusCode, res.Header.Get("X-Outcome") == "not_run", data}, nil
}

func unavailable(op string, err error) error { return &store.UnavailableError{Op: op, Err: err} }
func uncertain(op string, err error) error   { return &store.UncertainError{Op: op, Err: err} }

// unwrapCause returns the error that err wraps, or err itself if it wraps none. A
// read uses it on errors of send: it makes no difference to a read whether the
// request was carried out.
func unwrapCause(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}

var _ store.Client = (*Client)(nil)
