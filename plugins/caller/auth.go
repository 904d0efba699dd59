package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// keyring maps bearer keys to the callers of the active revision.
type keyring struct{ keys atomic.Pointer[[]callerKey] }

type callerKey struct {
	sum    [sha256.Size]byte
	caller *objects.Caller
}

func (k *keyring) update(revision *core.ConfigRevision) {
	keys := make([]callerKey, 0, len(revision.Set.Callers))
	for _, c := range revision.Set.Callers {
		sum, err := hex.DecodeString(c.KeySHA256)
		if err != nil || len(sum) != sha256.Size {
			continue // not a digest: no key can match
		}
		keys = append(keys, callerKey{[sha256.Size]byte(sum), c})
	}
	k.keys.Store(&keys)
}

// callerByKey returns the caller with the key, or nil. It compares the key's digest
// with the digests of all callers, each in constant time, so that its duration
// doesn't reveal which callers exist.
func (k *keyring) callerByKey(key string) *objects.Caller {
	keys := k.keys.Load()
	if keys == nil {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range *keys {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(sum[:], (*keys)[i].sum[:]), i, found)
	}
	if found < 0 {
		return nil
	}
	return (*keys)[found].caller
}

// authenticate returns the caller to which the bearer key of a request belongs.
func (s *Server) authenticate(r *http.Request) (*objects.Caller, *core.Problem) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if c := s.keys.callerByKey(strings.TrimSpace(key)); c != nil {
			return c, nil
		}
	}
	return nil, core.NewProblem(core.KindUnauthorized, "the request has no valid bearer key")
}

// selectRank returns the rank that a request names, or the caller's default.
func selectRank(set *objects.Set, c *objects.Caller, name string) (*objects.Rank, *core.Problem) {
	if name == "" {
		name = c.DefaultRank
	}
	if rank := set.Ranks[name]; rank != nil && slices.Contains(c.Ranks, name) {
		return rank, nil
	}
	return nil, notAvailable("rank", name)
}

// notAvailable returns the same problem for an object that does not exist and for
// one that the caller may not use.
func notAvailable(kind, name string) *core.Problem {
	return core.NewProblem(core.KindNotFound, "no %s %q is available to this caller", kind, name)
}
