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

// maxLabel bounds authors and tokens, in bytes.
const maxLabel = 200

// drainAttempts bounds the submissions of one drain request. A drain changes
// one worker only, so after a conflict it is applied to the newest set again.
const drainAttempts = 5

func (a *API) apply(ctx context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.ApplyResponse, error) {
	if err := checkLabels(req.Token, req.Author); err != nil {
		return adminapi.ApplyResponse{}, err
	}
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.ApplyResponse{}, err
	}
	return a.submit(ctx, publish.Submission{Set: set, Base: req.Base, Token: req.Token, Author: req.Author, Now: a.now()})
}

func checkLabels(token, author string) error {
	if token == "" || author == "" || len(token) > maxLabel || len(author) > maxLabel {
		return core.NewProblem(core.KindInvalidRequest, "token and author need 1 to %d bytes each", maxLabel)
	}
	return nil
}

func (a *API) submit(ctx context.Context, s publish.Submission) (adminapi.ApplyResponse, error) {
	r, err := a.publisher.Submit(ctx, s)
	if err != nil {
		a.p.Log.Warn("submission failed", "author", s.Author, "base", s.Base, "err", err)
		return adminapi.ApplyResponse{}, err
	}
	a.p.Log.Info("published", "revision", r.Revision, "author", r.Author)
	a.p.RevisionSink.RevisionAnnounced(a.p.Identity.Router, r.Revision, r.Manifest)
	return adminapi.ApplyResponse{Revision: r}, nil
}

func (a *API) check(_ context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.CheckResponse, error) {
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.CheckResponse{}, err
	}
	return adminapi.CheckResponse{Ranks: len(set.Ranks), Models: len(set.Models), Callers: len(set.Callers), Upstreams: len(set.Upstreams)}, nil
}

func (a *API) diff(ctx context.Context, _ *http.Request, req adminapi.SetRequest) (adminapi.DiffResponse, error) {
	set, err := objects.Load(req.Name, []byte(req.Set))
	if err != nil {
		return adminapi.DiffResponse{}, err
	}
	newest, was, err := a.newest(ctx)
	if err != nil {
		return adminapi.DiffResponse{}, err
	}
	return adminapi.DiffResponse{Revision: newest.Revision, Changes: objects.Diff(was, set)}, nil
}

// newest reads the newest revision with its set from the platform.
func (a *API) newest(ctx context.Context) (publish.Revision, *objects.Set, error) {
	r, err := publish.Newest(ctx, a.p.Client)
	if err != nil || r.Revision == 0 {
		return r, objects.NewSet(), err
	}
	set, _, err := publish.Fetch(ctx, r, a.publisher.Cache, a.publisher.Objects)
	return r, set, err
}

func (a *API) current(ctx context.Context, _ *http.Request, _ none) (adminapi.GetResponse, error) {
	r, set, err := a.newest(ctx)
	if err == nil && r.Revision == 0 {
		return adminapi.GetResponse{}, core.NewProblem(core.KindNotFound, "no configuration has been published yet")
	}
	if err == nil {
		return adminapi.GetResponse{Revision: r, Source: "platform", Set: string(objects.Format(set))}, nil
	}
	if p := a.p.Config.Current(); p != nil {
		return adminapi.GetResponse{Revision: publish.Revision{Revision: p.Revision, Manifest: p.Manifest}, Source: "router", Set: string(objects.Format(p.Set))}, nil
	}
	return adminapi.GetResponse{}, err
}

func (a *API) audit(ctx context.Context, r *http.Request, _ none) (adminapi.AuditResponse, error) {
	limit := defaultAudit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAudit {
			return adminapi.AuditResponse{}, core.NewProblem(core.KindInvalidRequest, "limit is %q; allowed: 1 to %d", text, maxAudit)
		}
		limit = n
	}
	records, err := publish.History(ctx, a.p.Client, limit)
	return adminapi.AuditResponse{Records: records}, err
}

// drain publishes a revision with the worker listed in draining.
func (a *API) drain(ctx context.Context, _ *http.Request, req adminapi.DrainRequest) (adminapi.ApplyResponse, error) {
	if err := checkLabels(req.Token, req.Author); err != nil {
		return adminapi.ApplyResponse{}, err
	}
	var conflict *publish.ConflictError
	for range drainAttempts {
		newest, was, err := a.newest(ctx)
		if err != nil {
			return adminapi.ApplyResponse{}, err
		}
		set, err := withDraining(was, req)
		if err != nil {
			return adminapi.ApplyResponse{}, err
		}
		if set == nil {
			return adminapi.ApplyResponse{Revision: newest, Unchanged: true}, nil
		}
		done, err := a.submit(ctx, publish.Submission{Set: set, Base: newest.Revision, Token: req.Token, Author: req.Author, Now: a.now()})
		if !errors.As(err, &conflict) {
			return done, err
		}
	}
	return adminapi.ApplyResponse{}, conflict
}

// withDraining returns a copy of the set with the worker in the wanted state,
// nil when it is in that state already. The copy shares what did not change.
func withDraining(was *objects.Set, req adminapi.DrainRequest) (*objects.Set, error) {
	u := was.Upstreams[req.Upstream]
	if u == nil || !slices.ContainsFunc(u.Workers, func(w objects.Worker) bool { return w.ID == req.Worker }) {
		return nil, core.NewProblem(core.KindInvalidRequest, "the newest set has no worker %q in an upstream %q; get prints the set", req.Worker, req.Upstream)
	}
	if u.IsDraining(req.Worker) != req.Undo {
		return nil, nil
	}
	v := *u
	v.Draining = slices.DeleteFunc(slices.Clone(u.Draining), func(id string) bool { return id == req.Worker })
	if !req.Undo {
		v.Draining = append(v.Draining, req.Worker)
	}
	slices.Sort(v.Draining)
	if len(v.Draining) == 0 {
		v.Draining = nil
	}
	set := *was
	set.Upstreams = map[string]*objects.Upstream{}
	for name, o := range was.Upstreams {
		set.Upstreams[name] = o
	}
	set.Upstreams[req.Upstream] = &v
	return &set, nil
}
