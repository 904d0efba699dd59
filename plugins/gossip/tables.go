package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/replica"
)

// Times of the connections between routers.
const (
	// peerTimeout bounds one reading of changes.
	peerTimeout = 600 * time.Millisecond
	// peerIdle closes connections that are not used. Changes come in groups.
	peerIdle = 5 * time.Second
)

// tableBytes bounds a table that a peer sends. A desired state of 400 routes
// has about 100 KB.
const tableBytes = 32 << 20

// serveTables answers peers that read the changes of this router's copies.
func (g *Gossip) serveTables() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/tables/{table}", g.serveTable).Methods(http.MethodGet)
	return r
}

func (g *Gossip) serveTable(w http.ResponseWriter, r *http.Request) {
	c := g.tables.Copy(mux.Vars(r)["table"])
	if c == nil {
		http.Error(w, "no such table", http.StatusNotFound)
		return
	}
	page := c.Snapshot()
	if text := r.URL.Query().Get("since"); text != "" {
		since, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "since is not a whole number", http.StatusBadRequest)
			return
		}
		if page, err = c.ChangesSince(since); err != nil {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
	}
	body, err := g.pages.encode(mux.Vars(r)["table"], r.URL.RawQuery, page)
	if err != nil {
		g.log.Error("table not encoded", "table", mux.Vars(r)["table"], "error", err)
		http.Error(w, "table not encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(body) // the peer may be gone
}

// pages keeps the last encoded pages. After a change all peers of a failure
// domain ask for the same one; a desired state of 400 routes has 100 KB, which
// fill a link of 10 Mbit/s for seconds unless they are compressed.
type pages struct {
	mu   sync.Mutex // level 90
	last map[pageKey][]byte
}

type pageKey struct {
	table, query string
	version      int64
}

// pagesKept bounds the pages that are kept.
const pagesKept = 8

func (p *pages) encode(table, query string, page replica.RowSet) ([]byte, error) {
	key := pageKey{table, query, page.Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	if body, ok := p.last[key]; ok {
		return body, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := errors.Join(json.NewEncoder(z).Encode(page), z.Close()); err != nil {
		return nil, err
	}
	if len(p.last) >= pagesKept {
		clear(p.last)
	}
	p.last[key] = b.Bytes()
	return b.Bytes(), nil
}

// peers reads tables from other routers.
type peers struct{ http *http.Client }

func newPeers() *peers {
	return &peers{http: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{IdleConnTimeout: peerIdle, MaxIdleConnsPerHost: 1}}}
}

func (p *peers) source(a netip.AddrPort) replica.Source { return peerSource{p, a} }

// peerSource reads from the copies of one router. Implements replica.Source.
type peerSource struct {
	peers   *peers
	address netip.AddrPort
}

// Read returns all rows of a table.
func (s peerSource) Read(ctx context.Context, table string) (replica.RowSet, error) {
	return s.get(ctx, "/tables/"+url.PathEscape(table))
}

// Changes returns the rows that changed after a version. It does not wait.
func (s peerSource) Changes(ctx context.Context, table string, since int64, _ time.Duration) (replica.RowSet, error) {
	page, err := s.get(ctx, "/tables/"+url.PathEscape(table)+"?since="+strconv.FormatInt(since, 10))
	if errors.Is(err, errGone) {
		return page, &replica.HistoryGoneError{Since: since}
	}
	return page, err
}

var errGone = errors.New("gossip: the peer does not remember the changes")

func (s peerSource) get(ctx context.Context, path string) (replica.RowSet, error) {
	var page replica.RowSet
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address.String()+path, nil)
	if err != nil {
		return page, fmt.Errorf("gossip: %w", err)
	}
	resp, err := s.peers.http.Do(r)
	if err != nil {
		return page, fmt.Errorf("gossip: peer: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return page, errGone
	default:
		return page, fmt.Errorf("gossip: peer answered %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, tableBytes)).Decode(&page); err != nil {
		return page, fmt.Errorf("gossip: peer: %w", err)
	}
	return page, nil
}

var _ replica.Source = peerSource{}
