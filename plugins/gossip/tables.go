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

// Timeouts of the connections between routers.
const (
	// peerCallTimeout limits one read from a peer.
	peerCallTimeout = 600 * time.Millisecond
	// peerIdleTimeout is the time after which an idle connection is closed. It
	// is longer than the pauses between the changes of a burst, so that the
	// reads of these changes share a connection.
	peerIdleTimeout = 5 * time.Second
)

// maxTableBytes limits the decompressed size of a table that is read from a
// peer. A desired state of 400 routes is about 100 KB.
const maxTableBytes = 32 << 20

// serveTables returns the HTTP handler from which peers read this router's
// copies of the store's tables.
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
	rows := c.Snapshot()
	if query := r.URL.Query(); query.Has(querySince) {
		since, err := parsePosition(query)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if rows, err = c.ChangesSince(since); err != nil {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
	}
	body, err := g.encoded.encode(mux.Vars(r)["table"], r.URL.RawQuery, rows)
	if err != nil {
		g.log.Error("cannot encode a table for a peer", "table", mux.Vars(r)["table"], "error", err)
		http.Error(w, "table not encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(body) // the peer may have disconnected
}

// Parameters of a read of changes. A router of an older release names no era.
const (
	querySince = "since"
	queryEra   = "era"
)

func parsePosition(query url.Values) (replica.Position, error) {
	var p replica.Position
	var err error
	if p.Version, err = strconv.ParseInt(query.Get(querySince), 10, 64); err != nil {
		return p, errors.New("since is not a whole number")
	}
	if !query.Has(queryEra) {
		return p, nil
	}
	if p.Era, err = strconv.ParseInt(query.Get(queryEra), 10, 64); err != nil {
		return p, errors.New("era is not a whole number")
	}
	return p, nil
}

// encodedRowSets caches recently encoded row sets, since after a change all peers
// of a failure domain request the same one. Row sets are compressed, since a
// desired state of 400 routes is about 100 KB and its transfer to these peers
// would otherwise occupy a link of 10 Mbit/s for seconds.
type encodedRowSets struct {
	mu    sync.Mutex // lock level 90, see internal/core/lockorder.go
	byKey map[rowSetKey][]byte
}

type rowSetKey struct {
	table, query string
	position     replica.Position
	digest       uint64
}

// maxEncodedRowSets limits the number of cached row sets. A full cache is
// emptied before the next one is added.
const maxEncodedRowSets = 8

// encode returns a row set as gzip-compressed JSON, from the cache if possible.
func (e *encodedRowSets) encode(table, query string, rows replica.RowSet) ([]byte, error) {
	key := rowSetKey{table, query, rows.Position(), rows.Digest}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body, ok := e.byKey[key]; ok && len(rows.Held) == 0 {
		return body, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := errors.Join(json.NewEncoder(z).Encode(rows), z.Close()); err != nil {
		return nil, err
	}
	if len(rows.Held) > 0 {
		return b.Bytes(), nil // the time for which they are held passes
	}
	if len(e.byKey) >= maxEncodedRowSets {
		clear(e.byKey)
	}
	e.byKey[key] = b.Bytes()
	return b.Bytes(), nil
}

// peerClient reads tables from other routers.
type peerClient struct{ http *http.Client }

func newPeerClient() *peerClient {
	return &peerClient{http: &http.Client{Timeout: peerCallTimeout, Transport: &http.Transport{IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: 1}}}
}

func (p *peerClient) source(a netip.AddrPort) replica.Source { return peerSource{p, a} }

// peerSource reads from the copies of one router. It implements replica.Source.
type peerSource struct {
	client  *peerClient
	address netip.AddrPort
}

// Read returns a snapshot of a table.
func (s peerSource) Read(ctx context.Context, table string) (replica.RowSet, error) {
	return s.get(ctx, "/tables/"+url.PathEscape(table))
}

// Changes returns the rows that changed after a position. It does not wait for
// changes.
func (s peerSource) Changes(ctx context.Context, table string, since replica.Position, _ time.Duration) (replica.RowSet, error) {
	query := url.Values{querySince: {strconv.FormatInt(since.Version, 10)}}
	if since.Era > 0 {
		query.Set(queryEra, strconv.FormatInt(since.Era, 10))
	}
	rows, err := s.get(ctx, "/tables/"+url.PathEscape(table)+"?"+query.Encode())
	if errors.Is(err, errHistoryGone) {
		return rows, &replica.HistoryGoneError{Since: since}
	}
	return rows, err
}

var errHistoryGone = errors.New("gossip: the peer's history no longer contains the requested changes; read a snapshot")

func (s peerSource) get(ctx context.Context, path string) (replica.RowSet, error) {
	var rows replica.RowSet
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address.String()+path, nil)
	if err != nil {
		return rows, fmt.Errorf("gossip: create request to peer: %w", err)
	}
	resp, err := s.client.http.Do(r)
	if err != nil {
		return rows, fmt.Errorf("gossip: read from peer: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return rows, errHistoryGone
	default:
		return rows, fmt.Errorf("gossip: peer replied with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTableBytes)).Decode(&rows); err != nil {
		return rows, fmt.Errorf("gossip: decode the peer's reply: %w", err)
	}
	return rows, nil
}

var _ replica.Source = peerSource{}
