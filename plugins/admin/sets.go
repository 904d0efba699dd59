package admin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
)

// maxTokenOrAuthorBytes is the maximum length of a submit token, and of an author.
const maxTokenOrAuthorBytes = 200

// maxDrainSubmissions is the maximum number of submissions of one drain request. A
// drain changes only one worker, so after a conflict it is applied again to the
// newest set.
const maxDrainSubmissions = 5

// apply publishes a set as a new revision.
func (a *API) apply(ctx context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.ApplyResponse, error) {
	if err := checkTokenAndAuthor(req.Token, req.Author); err != nil {
		return adminapi.ApplyResponse{}, err
	}
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.ApplyResponse{}, err
	}
	return a.submit(ctx, publish.Submission{Set: set, Base: req.Base, Token: req.Token, Author: req.Author, Now: a.now()})
}

func checkTokenAndAuthor(token, author string) error {
	if token == "" || author == "" || len(token) > maxTokenOrAuthorBytes || len(author) > maxTokenOrAuthorBytes {
		return core.NewProblem(core.KindInvalidRequest, "token and author need 1 to %d bytes each", maxTokenOrAuthorBytes)
	}
	return nil
}

// submit publishes a submission and announces the new revision.
func (a *API) submit(ctx context.Context, s publish.Submission) (adminapi.ApplyResponse, error) {
	r, err := a.publisher.Submit(ctx, s)
	if err != nil {
		a.params.Log.Warn("submission failed", "author", s.Author, "base", s.Base, "err", err)
		return adminapi.ApplyResponse{}, err
	}
	a.params.Log.Info("published", "revision", r.Revision, "author", r.Author)
	a.params.RevisionSink.RevisionAnnounced(a.params.Identity.Router, r.Revision, r.Manifest)
	return adminapi.ApplyResponse{Revision: r}, nil
}

// check validates a set without publishing it.
func (a *API) check(_ context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.CheckResponse, error) {
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.CheckResponse{}, err
	}
	return adminapi.CheckResponse{Ranks: len(set.Ranks), Models: len(set.Models), Callers: len(set.Callers), Upstreams: len(set.Upstreams)}, nil
}

// diff compares a set with the newest revision.
func (a *API) diff(ctx context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.DiffResponse, error) {
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.DiffResponse{}, err
	}
	newest, newestSet, err := a.newest(ctx)
	if err != nil {
		return adminapi.DiffResponse{}, err
	}
	return adminapi.DiffResponse{Revision: newest.Revision, Changes: objects.Diff(newestSet, set)}, nil
}

// newest reads the newest revision and its set from the platform. Without a
// published revision, it returns revision 0 and an empty set.
func (a *API) newest(ctx context.Context) (publish.Revision, *objects.Set, error) {
	r, err := publish.Newest(ctx, a.params.Client)
	if err != nil || r.Revision == 0 {
		return r, objects.NewSet(), err
	}
	set, _, err := publish.Fetch(ctx, r, a.publisher.Cache, a.publisher.Objects)
	return r, set, err
}

// current returns the newest revision, or this router's active revision if the
// platform cannot be read.
func (a *API) current(ctx context.Context, _ *http.Request, _ noBody) (adminapi.GetResponse, error) {
	r, set, err := a.newest(ctx)
	if err == nil && r.Revision == 0 {
		return adminapi.GetResponse{}, core.NewProblem(core.KindNotFound, "no configuration has been published yet")
	}
	if err == nil {
		return adminapi.GetResponse{Revision: r, Source: "platform", Set: string(objects.Format(set))}, nil
	}
	if active := a.params.Config.Current(); active != nil {
		return adminapi.GetResponse{Revision: publish.Revision{Revision: active.Revision, Manifest: active.Manifest}, Source: "router", Set: string(objects.Format(active.Set))}, nil
	}
	return adminapi.GetResponse{}, err
}

// audit returns the newest audit records.
func (a *API) audit(ctx context.Context, r *http.Request, _ noBody) (adminapi.AuditResponse, error) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditLimit {
			return adminapi.AuditResponse{}, core.NewProblem(core.KindInvalidRequest, "limit is %q; allowed: 1 to %d", text, maxAuditLimit)
		}
		limit = n
	}
	records, err := publish.History(ctx, a.params.Client, limit)
	return adminapi.AuditResponse{Records: records}, err
}

// drain publishes a revision in which the worker is draining or, for undo, no
// longer draining.
func (a *API) drain(ctx context.Context, _ *http.Request, req adminapi.DrainRequest) (adminapi.ApplyResponse, error) {
	if err := checkTokenAndAuthor(req.Token, req.Author); err != nil {
		return adminapi.ApplyResponse{}, err
	}
	var conflict *publish.ConflictError
	for range maxDrainSubmissions {
		newest, base, err := a.newest(ctx)
		if err != nil {
			return adminapi.ApplyResponse{}, err
		}
		set, err := withDraining(base, req)
		if err != nil {
			return adminapi.ApplyResponse{}, err
		}
		if set == nil {
			return adminapi.ApplyResponse{Revision: newest, Unchanged: true}, nil
		}
		response, err := a.submit(ctx, publish.Submission{Set: set, Base: newest.Revision, Token: req.Token, Author: req.Author, Now: a.now()})
		if !errors.As(err, &conflict) {
			return response, err
		}
	}
	return adminapi.ApplyResponse{}, conflict
}

// withDraining returns a copy of the set with the worker in the requested state,
// or nil if it already is in that state. The copy shares unchanged objects with
// the original.
func withDraining(base *objects.Set, req adminapi.DrainRequest) (*objects.Set, error) {
	u := base.Upstreams[req.Upstream]
	if u == nil || !slices.ContainsFunc(u.Workers, func(w objects.Worker) bool { return w.ID == req.Worker }) {
		return nil, core.NewProblem(core.KindInvalidRequest, "the newest set has no worker %q in an upstream %q; run \"auburnlead get\" to print the set", req.Worker, req.Upstream)
	}
	if u.IsDraining(req.Worker) != req.Undo {
		return nil, nil
	}
	changed := *u
	changed.Draining = slices.DeleteFunc(slices.Clone(u.Draining), func(id string) bool { return id == req.Worker })
	if !req.Undo {
		changed.Draining = append(changed.Draining, req.Worker)
	}
	slices.Sort(changed.Draining)
	if len(changed.Draining) == 0 {
		changed.Draining = nil
	}
	set := *base
	set.Upstreams = map[string]*objects.Upstream{}
	for name, other := range base.Upstreams {
		set.Upstreams[name] = other
	}
	set.Upstreams[req.Upstream] = &changed
	return &set, nil
}
