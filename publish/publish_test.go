package publish

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/platform"
)

var ctx = context.Background()

// Guards against a submission that is published twice or taken for another
// one after a lost reply, and against a lost update between two operators.
func TestSubmit(t *testing.T) {
	Convey("With an empty platform", t, func() {
		f := newFake(1)
		p := f.publisher()
		Convey("Revisions follow one another and leave audit records", func() {
			_, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			r, err := p.Submit(ctx, submission("b", 1))
			So(err, ShouldBeNil)
			So(r.Revision, ShouldEqual, 2)
			list, err := History(ctx, f, 10)
			So(err, ShouldBeNil)
			So(len(list), ShouldEqual, 2)
			So(list[0].Author, ShouldEqual, "author-b")
			So(list[0].Base, ShouldEqual, 1)
			So(list[0].Changes, ShouldResemble, []objects.Change{{Op: objects.OpChanged, Section: "model.m", Key: "weights", Old: "a", New: "b"}})
			list, err = History(ctx, f, 1)
			So(err, ShouldBeNil)
			So(list[0].Revision.Revision, ShouldEqual, 2)
		})
		Convey("The loser of a race learns the newer revision and its author", func() {
			_, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			_, err = p.Submit(ctx, submission("b", 0))
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Newest.Revision, ShouldEqual, 1)
			So(conflict.Newest.Author, ShouldEqual, "author-a")
		})
		Convey("A repeated submission is recognised, also below later revisions", func() {
			first, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			_, err = p.Submit(ctx, submission("b", 1))
			So(err, ShouldBeNil)
			again, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
			newest, _ := Newest(ctx, f)
			So(newest.Revision, ShouldEqual, 2)
		})
		Convey("An outage after a lost reply is reported as uncertain, with the token", func() {
			p.Table = outageAfterCommit{f}
			_, err := p.Submit(ctx, submission("a", 0))
			var uncertain *UncertainError
			So(errors.As(err, &uncertain), ShouldBeTrue)
			So(uncertain.Token, ShouldEqual, "token-a")
			f.down = 0
			p.Table = f
			r, err := p.Submit(ctx, submission("a", 0))
			So(err, ShouldBeNil)
			So(r.Revision, ShouldEqual, 1)
		})
		Convey("An invalid set changes nothing", func() {
			s := submission("a", 0)
			s.Set.Ranks["urgent"].Floor = 2
			_, err := p.Submit(ctx, s)
			var invalid *objects.Error
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(f.rows, ShouldBeEmpty)
			So(f.objects, ShouldBeEmpty)
		})
	})
}

// outageAfterCommit applies commits, loses their replies and is down then.
type outageAfterCommit struct{ *fake }

func (o outageAfterCommit) Commit(ctx context.Context, ops []platform.Op) (platform.Committed, error) {
	_, _ = o.fake.Commit(ctx, ops) // the caller must not learn the result
	o.down = 1
	return platform.Committed{}, &platform.UncertainError{Op: "commit", Err: errFault}
}

// corrupt returns content that does not match the digest.
type corrupt struct{}

func (corrupt) Get(context.Context, string) ([]byte, error) { return []byte(`{"revision":1}`), nil }

// Guards against stores that go back, that take corrupt content, or that fetch
// more than what changed.
func TestStore(t *testing.T) {
	Convey("With a large set published and in force", t, func() {
		f := newFake(1)
		p := f.publisher()
		set := largeSet()
		s := Submission{Set: set, Token: "1", Author: "a"}
		first, err := p.Submit(ctx, s)
		So(err, ShouldBeNil)
		v := NewStore()
		applied, err := v.Advance(ctx, first.Revision, first.Manifest, corrupt{}, store{f})
		So(err, ShouldBeNil)
		So(applied.Set, ShouldResemble, set)
		Convey("A removed worker costs a store about 6 KB", func() {
			next := *set
			u := *set.Upstreams["pool"]
			u.Workers = append(u.Workers[:500:500], u.Workers[501:]...)
			next.Upstreams = map[string]*objects.Upstream{"pool": &u}
			second, err := p.Submit(ctx, Submission{Set: &next, Base: 1, Token: "2", Author: "a"})
			So(err, ShouldBeNil)
			f.bytes = 0
			applied, err := v.Advance(ctx, second.Revision, second.Manifest, store{f})
			So(err, ShouldBeNil)
			So(applied.Set, ShouldResemble, &next)
			So(f.bytes, ShouldBeLessThan, 6<<10+512)
			Convey("An older revision does not come back", func() {
				applied, err := v.Advance(ctx, first.Revision, first.Manifest, store{f})
				So(err, ShouldBeNil)
				So(applied, ShouldBeNil)
				So(v.Current().Revision, ShouldEqual, 2)
			})
			Convey("A store serves what it has to another store", func() {
				other := NewStore()
				_, err := other.Advance(ctx, second.Revision, second.Manifest, v)
				So(err, ShouldBeNil)
				So(other.Current().Set, ShouldResemble, &next)
			})
		})
		Convey("Corrupt and missing content is not put in force", func() {
			_, err := v.Advance(ctx, 2, first.Manifest, corrupt{}, store{f})
			var bad *CorruptError
			So(errors.As(err, &bad), ShouldBeTrue)
			_, err = v.Advance(ctx, 2, Digest([]byte("x")), corrupt{}, store{f})
			var missing *platform.NotFoundError
			So(errors.As(err, &missing), ShouldBeTrue)
			So(v.Current().Revision, ShouldEqual, 1)
		})
	})
}
