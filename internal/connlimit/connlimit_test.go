package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/framing"
)

func inBubble(t *testing.T, name string, body func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, body) })
}

func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF || err == io.ErrClosedPipe
}

// Guards against more connections than a process has descriptors for, against connections
// that are held and keep others out, and against an admitted request that loses its
// connection to a new one.
func TestWhoYields(t *testing.T) {
	evicted := 0
	listen := func(limit int) (*bufconn.Listener, net.Listener, *Pool) {
		inner := bufconn.Listen(1)
		evicted = 0
		pool := NewPool(bytebudget.New(1<<20), func(listener string, _ net.Conn) {
			So(listener, ShouldEqual, "callers")
			evicted++
		})
		return inner, Listen(inner, Config{Listener: "callers", Limit: func() int { return limit }, Pool: pool}), pool
	}
	dial := func(inner *bufconn.Listener) net.Conn {
		c, _ := inner.Dial() // called in other goroutines
		return c
	}
	accept := func(l net.Listener) *conn {
		c, err := l.Accept()
		So(err, ShouldBeNil)
		return c.(*conn)
	}
	open := func(inner *bufconn.Listener, l net.Listener, count int) (clients []net.Conn, conns []*conn) {
		for range count {
			go func() { clients = append(clients, dial(inner)) }()
			conns = append(conns, accept(l))
			synctest.Wait() // until the client has its end
		}
		return clients, conns
	}
	inBubble(t, "Connections above the limit wait until one with an admitted request is closed", func() {
		inner, l, pool := listen(1)
		for range 3 {
			go func() { _, _ = inner.Dial() }()
		}
		first := accept(l)
		So(first.admit(), ShouldBeNil)
		var accepted atomic.Bool
		second := make(chan *conn, 1)
		go func() { c, err := l.Accept(); accepted.Store(err == nil); second <- c.(*conn) }()
		<-time.After(time.Minute)
		So(accepted.Load(), ShouldBeFalse)
		_ = first.Close()
		_ = first.Close() // a second Close has no effect
		synctest.Wait()
		So(accepted.Load(), ShouldBeTrue)
		So((<-second).admit(), ShouldBeNil)
		ended := make(chan error, 1)
		go func() { _, err := l.Accept(); ended <- err }()
		synctest.Wait()
		_ = l.Close()
		So(<-ended, ShouldEqual, net.ErrClosed)
		So(pool.budget.Used(), ShouldEqual, connBytes)
	})
	inBubble(t, "The connection that has waited longest for a request is closed for a new one", func() {
		inner, l, pool := listen(2)
		clients, conns := open(inner, l, 2)
		conns[0].wait(true) // it has just answered a request
		_, more := open(inner, l, 1)
		third := more[0]
		So(isClosed(clients[1]), ShouldBeTrue)
		So(isClosed(clients[0]), ShouldBeFalse)
		So(conns[1].admit(), ShouldEqual, ErrEvicted)
		_, err := conns[1].admitRequest("clerk")
		So(err, ShouldEqual, ErrEvicted) // its request is not sent to a worker
		_ = third.Close()
		_ = conns[0].Close()
		_ = conns[1].Close()
		So(pool.budget.Used(), ShouldEqual, 0)
		So(pool.waiting.Len(), ShouldEqual, 0)
	})
	inBubble(t, "A head that finds no memory closes the connection that has waited longest", func() {
		inner, l, pool := listen(100)
		clients, conns := open(inner, l, 3)
		So(conns[1].AddHead(4000, 1000), ShouldBeNil)
		So(conns[2].AddHead(4000, 1000), ShouldBeNil)
		So(isClosed(clients[0]), ShouldBeTrue)
		So(isClosed(clients[1]), ShouldBeTrue)
		So(isClosed(clients[2]), ShouldBeFalse)
		So(conns[1].AddHead(10, 1), ShouldEqual, ErrEvicted)
		So(conns[2].AddHead(4000, 1000), ShouldEqual, ErrEvicted) // it takes more than all have
		So(pool.budget.Used(), ShouldEqual, 0)
		So(evicted, ShouldEqual, 3)
	})
	inBubble(t, "A head is closed if all other connections have an admitted request", func() {
		inner, l, pool := listen(100)
		clients, conns := open(inner, l, 2)
		So(conns[0].admit(), ShouldBeNil)
		So(conns[1].admit(), ShouldBeNil)
		So(conns[1].AddHead(9000, 2000), ShouldEqual, ErrEvicted)
		So(isClosed(clients[1]), ShouldBeTrue)
		So(isClosed(clients[0]), ShouldBeFalse)
		So(evicted, ShouldEqual, 1)
		_ = conns[0].Close()
		So(pool.budget.Used(), ShouldEqual, 0)
	})
	// hold admits a request on a connection, whose body stays away until it yields. The
	// connection ends some time after that, as net/http's does.
	hold := func(pool *Pool, c *conn, yields *atomic.Int64) {
		_, err := c.admitRequest("crowd")
		So(err, ShouldBeNil)
		yielded := make(chan struct{})
		body := pool.budget.NewBody("crowd", func() { yields.Add(1); close(yielded) })
		go func() {
			_ = body.ReadRequest(context.Background(), readerFunc(func([]byte) (int, error) { <-yielded; return 0, io.ErrUnexpectedEOF }), time.Now)
			body.Release()
			<-time.After(yieldInterval / 2)
			_ = c.Close()
		}()
	}
	inBubble(t, "One body that has been arriving for long yields to a new connection", func() {
		const limit = 4
		inner, l, pool := listen(limit)
		var yields atomic.Int64
		for range limit {
			go func() { dial(inner) }()
			hold(pool, accept(l), &yields)
		}
		go func() { dial(inner) }()
		start := time.Now()
		accept(l)
		So(time.Since(start), ShouldBeBetweenOrEqual, SlowAge, SlowAge+yieldInterval)
		So(yields.Load(), ShouldEqual, 1)
		for yields.Load() < limit {
			pool.budget.YieldSlow(0, time.Now())
		}
		<-time.After(yieldInterval)
	})
	inBubble(t, "No body yields to a connection of a listener that has none", func() {
		inner, callers, pool := listen(1)
		go func() { dial(inner) }()
		var yields atomic.Int64
		hold(pool, accept(callers), &yields)
		peers := bufconn.Listen(1)
		l := Listen(peers, Config{Limit: func() int { return 1 }, Pool: pool})
		go func() { dial(peers) }()
		first := accept(l)
		So(first.admit(), ShouldBeNil)
		ended := make(chan error, 1)
		go func() { dial(peers) }()
		go func() { _, err := l.Accept(); ended <- err }()
		<-time.After(2 * SlowAge)
		So(yields.Load(), ShouldEqual, 0)
		_ = l.Close()
		So(<-ended, ShouldEqual, net.ErrClosed)
		pool.budget.YieldSlow(0, time.Now())
		<-time.After(yieldInterval)
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against heads that are not counted until their end, or counted for ever: a parsed
// field takes many times its bytes.
func TestHeadsOfRequests(t *testing.T) {
	inBubble(t, "The memory of a head is counted until the end of its request", func() {
		inner := bufconn.Listen(64 << 10)
		budget := bytebudget.New(1 << 20)
		var counted, admitted int64
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = framing.Check(r)
			counted = budget.Used()
			if r.URL.Path == "/admitted" {
				admitted, _ = Admit(r.Context(), "clerk")
			}
		})}
		go func() {
			_ = Serve(server, inner, Config{Limit: func() int { return 2 }, Pool: NewPool(budget, nil)})
		}()
		client, err := inner.Dial()
		So(err, ShouldBeNil)
		answers := bufio.NewReader(client)
		const lines = 100
		fields := strings.Repeat("A: b\r\n", lines)
		for _, path := range []string{"/", "/admitted"} {
			_, err = fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: x\r\n%s", path, fields)
			So(err, ShouldBeNil)
			synctest.Wait()
			So(budget.Used(), ShouldBeGreaterThan, connBytes+lines*headLineBytes)
			_, err = io.WriteString(client, "\r\n")
			So(err, ShouldBeNil)
			_, err := http.ReadResponse(answers, nil)
			So(err, ShouldBeNil)
			synctest.Wait()
			So(counted, ShouldBeGreaterThan, connBytes+lines*headLineBytes)
			So(budget.Used(), ShouldEqual, connBytes)
		}
		So(admitted, ShouldBeGreaterThan, lines*headLineBytes)
		_ = client.Close()
		synctest.Wait()
		So(budget.Used(), ShouldEqual, 0)
		_ = server.Close()
	})
}

// Guards against requests that take all descriptors for connections to workers, and
// against a caller that leaves none to others.
func TestAdmittedRequests(t *testing.T) {
	Convey("A caller has three quarters of the requests, and an end makes room", t, func() {
		const most = 100
		pool := NewPool(bytebudget.New(1<<30), nil)
		pool.maxRequests = func() int { return most }
		l := &listener{config: Config{Pool: pool}, changed: make(chan struct{}, 1)}
		admit := func(caller string) (*conn, error) {
			c := &conn{listener: l, counted: true}
			_, err := c.admitRequest(caller)
			return c, err
		}
		var conns []*conn
		for len(conns) < most {
			c, err := admit("crowd")
			if err != nil {
				So(err, ShouldEqual, ErrTooMany)
				break
			}
			conns = append(conns, c)
		}
		So(len(conns), ShouldEqual, most*callerShare)
		clerk, err := admit("clerk")
		So(err, ShouldBeNil)
		_, err = admit("crowd")
		So(err, ShouldEqual, ErrTooMany)
		conns[0].wait(true)
		again, err := admit("crowd")
		So(err, ShouldBeNil)
		for _, c := range append(conns, clerk, again) {
			c.uncount()
		}
		So(pool.requests, ShouldEqual, 0)
		So(pool.admitted, ShouldBeEmpty)
		So(pool.waiting.Len(), ShouldEqual, 0)
	})
}
