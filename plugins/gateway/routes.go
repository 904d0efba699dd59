package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// routeIndex finds routes and callers of the active revision.
type routeIndex struct {
	table  atomic.Pointer[routeTable]
	loaded chan struct{} // closed when the first revision has been applied
}

// routeTable is the index of one revision; it is immutable.
type routeTable struct {
	revision  uint64
	appliedAt time.Time
	set       *objects.Set
	byHost    map[string]map[string]*objects.Route // by host, then by path prefix
	callers   map[[sha256.Size]byte]*objects.Caller
}

type routeChanges struct{ added, removed int }

// apply activates a revision and counts the routes that were added and removed.
func (i *routeIndex) apply(revision *core.ConfigRevision) routeChanges {
	t := &routeTable{revision: revision.Revision, appliedAt: revision.AppliedAt, set: revision.Set, byHost: map[string]map[string]*objects.Route{}, callers: map[[sha256.Size]byte]*objects.Caller{}}
	for _, r := range revision.Set.Routes {
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*objects.Route{}
		}
		t.byHost[host][r.Prefix] = r
	}
	for _, c := range revision.Set.Callers {
		for _, key := range c.Keys() {
			if sum, err := hex.DecodeString(key); err == nil && len(sum) == sha256.Size {
				t.callers[[sha256.Size]byte(sum)] = c
			}
		}
	}
	old := i.table.Swap(t)
	var changes routeChanges
	if old == nil {
		close(i.loaded)
		changes.added = len(revision.Set.Routes)
		return changes
	}
	for name := range revision.Set.Routes {
		if old.set.Routes[name] == nil {
			changes.added++
		}
	}
	changes.removed = len(old.set.Routes) + changes.added - len(revision.Set.Routes)
	return changes
}

// match returns the route with the longest matching path prefix, nil if there
// is none.
func (t *routeTable) match(hostport, path string) *objects.Route {
	prefixes := t.byHost[hostName(hostport)]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// caller returns the owner of an API key, nil if the key is unknown. Keys are
// looked up by digest, so the time of a lookup does not reveal whether a key is
// similar to a valid one.
func (t *routeTable) caller(key string) *objects.Caller {
	return t.callers[sha256.Sum256([]byte(key))]
}

func hostName(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		hostport = host
	}
	return strings.ToLower(hostport)
}

// pickUpstream picks the upstream of a request by weight; random is in [0, 1).
func pickUpstream(route *objects.Route, random float64) string {
	total := 0
	for _, d := range route.Destinations {
		total += d.Weight
	}
	at := int(random * float64(total))
	for _, d := range route.Destinations {
		if at < d.Weight {
			return d.Upstream
		}
		at -= d.Weight
	}
	return ""
}
