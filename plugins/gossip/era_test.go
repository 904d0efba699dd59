package gossip

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	lib "github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/replica"
)

// fixedStore is a store without changes after the set that it returns.
type fixedStore struct{ set replica.RowSet }

func (s *fixedStore) Read(context.Context, string) (replica.RowSet, error) { return s.set, nil }

func (s *fixedStore) Changes(ctx context.Context, _ string, since replica.Position, _ time.Duration) (replica.RowSet, error) {
	if since != s.set.Position() {
		return replica.RowSet{}, &replica.HistoryGoneError{Since: since}
	}
	<-ctx.Done()
	return replica.RowSet{}, ctx.Err()
}

// handlerTransport calls a handler without a network and decompresses its reply.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.ServeHTTP(recorder, r)
	reply := recorder.Result()
	if reply.Header.Get("Content-Encoding") != "gzip" {
		return reply, nil
	}
	body, err := gzip.NewReader(reply.Body)
	reply.Body = body
	return reply, err
}

// restoredPeer returns a router whose store came back from an older copy: the desired
// state is held without a limit, and a worker for two seconds.
func restoredPeer(t *testing.T) (*Gossip, replica.Source) {
	g := newGossip(t, "a", "127.0.0.1:7000")
	g.conn = discardConn{}
	c := g.tables.Copy("workers")
	c.Carry = func(known, _ replica.Row, _ bool) time.Duration {
		if known.Key == "config" {
			return replica.Indefinitely
		}
		return 2 * time.Second
	}
	for _, set := range []replica.RowSet{
		{Era: 1, Version: 9, Rows: []replica.Row{{Key: "config", Value: []byte("2"), Version: 8}, {Key: "w", Value: []byte("ready"), Version: 9}}},
		{Era: 2, Version: 3, Rows: []replica.Row{{Key: "config", Value: []byte("1"), Version: 2}}},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		f := &replica.Follower{
			Table: "workers", Store: &fixedStore{set}, Peers: replica.NoPeers{}, Copy: c,
			Config: replica.Config{PollWait: time.Hour, Timeout: time.Hour},
			Events: replica.Events{Changed: func([]replica.Row, int64) {}, Restored: func(replica.Restoration) {}, SourcesLost: func(error) {}, SourcesRecovered: func() {}, Warning: func(string, error) {}},
		}
		go f.Run(ctx)
		synctest.Wait()
		cancel()
		synctest.Wait()
	}
	client := &peerClient{http: &http.Client{Transport: handlerTransport{g.serveTables()}}}
	return g, client.source(netip.MustParseAddrPort("127.0.0.1:7000"))
}

// Guards against a router that takes the rows of another era for changes, and against
// one that never learns of the rows that the store has lost.
func TestTablesOfAnotherEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A position of another era is gone, and the snapshot has the rows that are held", t, func() {
			_, source := restoredPeer(t)
			for _, since := range []replica.Position{{Era: 1, Version: 9}, {Era: 1, Version: 3}, {Era: 3, Version: 1}} {
				_, err := source.Changes(t.Context(), "workers", since, 0)
				So(err, ShouldHaveSameTypeAs, &replica.HistoryGoneError{})
			}
			set, err := source.Changes(t.Context(), "workers", replica.Position{Era: 2, Version: 3}, 0)
			So(err, ShouldBeNil)
			So(set.Rows, ShouldBeEmpty)
			So(set.Position(), ShouldResemble, replica.Position{Era: 2, Version: 3})

			remaining := func() map[string]int64 {
				set, err := source.Read(t.Context(), "workers")
				So(err, ShouldBeNil)
				So(set.Position(), ShouldResemble, replica.Position{Era: 2, Version: 3})
				So(set.Base, ShouldEqual, 3)
				So(set.Rows, ShouldHaveLength, 1)
				held := map[string]int64{}
				for _, h := range set.Held {
					held[h.Row.Key+"="+string(h.Row.Value)] = h.ForMs
				}
				return held
			}
			So(remaining(), ShouldResemble, map[string]int64{"config=2": -1, "w=ready": 2000})
			// A reply is not repeated from a cache, since the time passes.
			advanceTime(500 * time.Millisecond)
			So(remaining(), ShouldResemble, map[string]int64{"config=2": -1, "w=ready": 1500})
			encoded := &encodedRowSets{byKey: map[rowSetKey][]byte{}}
			held, err := encoded.encode("workers", "", replica.RowSet{Held: []replica.HeldRow{{ForMs: 1500}}})
			So(err, ShouldBeNil)
			none, err := encoded.encode("workers", "", replica.RowSet{})
			So(err, ShouldBeNil)
			So(len(none), ShouldBeLessThan, len(held))
		})
	})
}

func advanceTime(d time.Duration) { <-time.After(d) }

// Guards against a rolling update in which routers of two releases cannot read each
// other's copies.
func TestTablesWithoutAnEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A router of an older release names no era and gets the changes", t, func() {
			g, _ := restoredPeer(t)
			reply := httptest.NewRecorder()
			g.serveTables().ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/tables/workers?since=1", nil))
			So(reply.Code, ShouldEqual, http.StatusOK)
		})
		Convey("A malformed era is refused", t, func() {
			g, _ := restoredPeer(t)
			for _, query := range []string{"since=1&era=x", "since=1&era=", "since=x&era=2", "since=1&era=99999999999999999999"} {
				reply := httptest.NewRecorder()
				g.serveTables().ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/tables/workers?"+query, nil))
				So(reply.Code, ShouldEqual, http.StatusBadRequest)
			}
		})
		Convey("A row set of an older release has no era and no held rows", t, func() {
			var set replica.RowSet
			So(json.Unmarshal([]byte(`{"rows":[{"key":"a","version":4}],"version":4,"digest":7}`), &set), ShouldBeNil)
			So(set.Position(), ShouldResemble, replica.Position{Version: 4})
			So(set.Held, ShouldBeEmpty)
			text, err := json.Marshal(replica.RowSet{Version: 4})
			So(err, ShouldBeNil)
			So(string(text), ShouldNotContainSubstring, "era")
		})
	})
}

// Guards against a router that stays with the higher versions of an earlier era.
func TestEraOfTableStatus(t *testing.T) {
	Convey("A lower version of a later era is newer", t, func() {
		a := newGossip(t, "a", "127.0.0.1:7000")
		a.conn = discardConn{}
		report := func(router, address string, p lib.Position) {
			from := netip.MustParseAddrPort(address)
			b := lib.New(lib.Config{Router: router, Domain: "a", Address: from, TableCount: 1, LivenessTimeout: time.Hour, LoadTTL: time.Hour})
			b.SetTable(0, p, time.Now())
			a.merge(from, b.Message(time.Now()))
		}
		report("b", "127.0.0.2:7000", lib.Position{Era: 1, Version: 900})
		So(a.TableStatus("workers").Position, ShouldResemble, replica.Position{Era: 1, Version: 900})
		So(a.AnyPeer(), ShouldNotBeNil)
		changed := a.StatusChanged()
		report("c", "127.0.0.3:7000", lib.Position{Era: 2, Version: 3})
		select {
		case <-changed:
		default:
			t.Fatal("the new era is not announced")
		}
		status := a.TableStatus("workers")
		So(status.Position, ShouldResemble, replica.Position{Era: 2, Version: 3})
		So(status.Peer, ShouldResemble, a.peerClient.source(netip.MustParseAddrPort("127.0.0.3:7000")))
		report("b", "127.0.0.2:7000", lib.Position{Era: 1, Version: 901})
		So(a.TableStatus("workers").Position, ShouldResemble, replica.Position{Era: 2, Version: 3})
	})
	Convey("A router that knows no other has no peer", t, func() {
		a := newGossip(t, "a", "127.0.0.1:7000")
		So(a.AnyPeer(), ShouldBeNil)
	})
}
