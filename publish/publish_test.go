package publish

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// Guards against a submission that is published twice or is confused with another
// one after a lost reply, and against a lost update between two operators.
func TestSubmit(t *testing.T) {
	Convey("With an empty platform", t, func() {
		platform := newPlatform()
		p := newPublisher(platform)
		Convey("Revisions follow one another and leave audit records", func() {
			_, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			r, err := p.Submit(ctx, submission("b", 1))
			So(err, ShouldBeNil)
			So(r.Revision, ShouldEqual, 2)
			list, err := History(ctx, platform, 10)
			So(err, ShouldBeNil)
			So(len(list), ShouldEqual, 2)
			So(list[0].Author, ShouldEqual, "author-b")
			So(list[0].Base, ShouldEqual, 1)
			So(list[0].Changes, ShouldResemble, []objects.Change{{Op: objects.OpChanged, Section: "model.m", Key: "weights", Old: "a", New: "b"}})
			list, err = History(ctx, platform, 1)
			So(err, ShouldBeNil)
			So(list[0].Revision.Revision, ShouldEqual, 2)
		})
		Convey("A conflict reports the newer revision and its author", func() {
			_, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			_, err = p.Submit(ctx, submission("b", 0))
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Newest.Revision, ShouldEqual, 1)
			So(conflict.Newest.Author, ShouldEqual, "author-a")
		})
		Convey("A submission that is sent again returns its revision even if newer ones followed", func() {
			first, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			_, err = p.Submit(ctx, submission("b", 1))
			So(err, ShouldBeNil)
			again, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
			newest, _ := Newest(ctx, platform)
			So(newest.Revision, ShouldEqual, 2)
		})
		Convey("An outage after a lost reply gives an UncertainError with the token", func() {
			p.Table = lostReplyThenOutage{platform}
			_, err := p.Submit(ctx, submission("a", 0))
			var uncertain *UncertainError
			So(errors.As(err, &uncertain), ShouldBeTrue)
			So(uncertain.Token, ShouldEqual, "token-a")
			platform.SetFaults(storetest.Faults{})
			p.Table = platform
			r, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			So(r.Revision, ShouldEqual, 1)
		})
		Convey("An invalid set changes nothing", func() {
			s := submission("a", 0)
			s.Set.Ranks["urgent"].Floor = 2
			_, err := p.Submit(ctx, s)
			var invalid *objects.ValidationError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(platform.Stats().Writes, ShouldEqual, 0)
		})
	})
}

// Guards against a local store that goes back to an older revision, accepts
// corrupt content, or fetches more than what has changed.
func TestStore(t *testing.T) {
	Convey("With a large set published and active", t, func() {
		platform := newPlatform()
		p := newPublisher(platform)
		set := largeSet()
		s := Submission{Set: set, Token: "1", Author: "a"}
		first, err := p.Submit(ctx, s)
		So(err, ShouldBeNil)
		local := NewLocalStore()
		applied, err := local.Advance(ctx, first.Revision, first.Manifest, corruptSource{}, platform.Objects())
		So(err, ShouldBeNil)
		So(applied.Set, ShouldResemble, set)
		Convey("After a worker is removed, a store fetches about 6 KB", func() {
			next := *set
			u := *set.Upstreams["pool"]
			u.Workers = append(u.Workers[:500:500], u.Workers[501:]...)
			next.Upstreams = map[string]*objects.Upstream{"pool": &u}
			second, err := p.Submit(ctx, Submission{Set: &next, Base: 1, Token: "2", Author: "a"})
			So(err, ShouldBeNil)
			read := 0
			applied, err := local.Advance(ctx, second.Revision, second.Manifest, countingSource{platform.Objects(), &read})
			So(err, ShouldBeNil)
			So(applied.Set, ShouldResemble, &next)
			So(read, ShouldBeLessThan, 6<<10+512)
			Convey("A store does not go back to an older revision", func() {
				applied, err := local.Advance(ctx, first.Revision, first.Manifest, platform.Objects())
				So(err, ShouldBeNil)
				So(applied, ShouldBeNil)
				So(local.Current().Revision, ShouldEqual, 2)
			})
			Convey("A store is a source for another store", func() {
				other := NewLocalStore()
				_, err := other.Advance(ctx, second.Revision, second.Manifest, local)
				So(err, ShouldBeNil)
				So(other.Current().Set, ShouldResemble, &next)
			})
		})
		Convey("The audit row of a large change stays within its size limit", func() {
			list, err := History(ctx, platform, 1)
			So(err, ShouldBeNil)
			So(list[0].Omitted, ShouldEqual, 0) // the changes of 202 objects fit
			next := *set
			u := *set.Upstreams["pool"]
			u.Workers = nil
			for _, w := range set.Upstreams["pool"].Workers {
				w.FailureDomain = "west-b"
				u.Workers = append(u.Workers, w)
			}
			next.Upstreams = map[string]*objects.Upstream{"pool": &u}
			_, err = p.Submit(ctx, Submission{Set: &next, Base: 1, Token: "2", Author: "a"})
			So(err, ShouldBeNil)
			list, err = History(ctx, platform, 1)
			So(err, ShouldBeNil)
			So(len(list[0].Changes)+list[0].Omitted, ShouldEqual, 1100)
			rows, err := platform.Get(ctx, auditKey(2))
			So(err, ShouldBeNil)
			So(len(rows[0].Value), ShouldBeLessThan, 3*maxAuditBytes)
		})
		Convey("A revision with corrupt or missing content does not become active", func() {
			_, err := local.Advance(ctx, 2, first.Manifest, corruptSource{}, platform.Objects())
			var corrupt *CorruptError
			So(errors.As(err, &corrupt), ShouldBeTrue)
			_, err = local.Advance(ctx, 2, Digest([]byte("x")), corruptSource{}, platform.Objects())
			var missing *store.NotFoundError
			So(errors.As(err, &missing), ShouldBeTrue)
			So(local.Current().Revision, ShouldEqual, 1)
		})
	})
}

// Guards against announced or stored content that crashes a router.
func FuzzFetch(f *testing.F) {
	f.Add([]byte(`{"ranks":[{"name":"a"},null],"workers":[{"upstream":"u","id":"w"}]}`), uint64(1))
	f.Add([]byte(`{"upstreams":[{"name":"u"}],"workers":[{"upstream":"u","id":"w"}]}`), uint64(1))
	f.Fuzz(func(t *testing.T, chunk []byte, revision uint64) {
		body, _ := json.Marshal(manifest{revision, []string{Digest(chunk)}})
		for _, top := range [][]byte{body, chunk} {
			bodies := mapSource{Digest(chunk): chunk, Digest(top): top}
			set, _, err := Fetch(ctx, Revision{Revision: 1, Manifest: Digest(top)}, bodies)
			if err != nil {
				continue
			}
			_ = objects.Check(set) // the set need not be valid
			objects.Format(set)
		}
	})
}

// mapSource is a source with the given content by digest.
type mapSource map[string][]byte

func (m mapSource) Get(_ context.Context, digest string) ([]byte, error) { return m[digest], nil }

// BenchmarkAdvance measures the cost to a router of one changed worker among
// 1,100.
func BenchmarkAdvance(b *testing.B) {
	platform := newPlatform()
	set := largeSet()
	p := newPublisher(platform)
	first, err := p.Submit(ctx, Submission{Set: set, Token: "1", Author: "a"})
	if err != nil {
		b.Fatal(err)
	}
	next := *set
	u := *set.Upstreams["pool"]
	u.Workers = u.Workers[:1099]
	next.Upstreams = map[string]*objects.Upstream{"pool": &u}
	second, err := p.Submit(ctx, Submission{Set: &next, Base: 1, Token: "2", Author: "a"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		local := NewLocalStore()
		if _, err := local.Advance(ctx, first.Revision, first.Manifest, platform.Objects()); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if _, err := local.Advance(ctx, second.Revision, second.Manifest, local, platform.Objects()); err != nil {
			b.Fatal(err)
		}
	}
}
