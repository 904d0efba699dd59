package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/peerpb"
)

// Guards against connections without the peer key that keep peers out or close their
// connections, and against messages that are read before the key is checked.
func TestConnectionsWithoutKey(t *testing.T) {
	Convey("A peer with the key keeps its connection beside others without it", t, func() {
		const limit = 3
		server := newServer(&Settings{Key: "secret", MaxMessageBytes: 1 << 20, MaxStreams: 8})
		peerpb.RegisterPeerServer(server, &peerpb.UnimplementedPeerServer{})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		pool := connlimit.NewPool(bytebudget.New(1<<20), nil)
		go func() {
			_ = server.Serve(admittableListener{connlimit.Listen(inner, connlimit.Config{Limit: func() int { return limit }, Pool: pool})})
		}()
		defer server.Stop()
		var dials atomic.Int64
		dialer := grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		})
		call := func(key string) (*grpc.ClientConn, func() codes.Code) {
			cc, err := grpc.NewClient("passthrough:///"+inner.Addr().String(), dialer, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithPerRPCCredentials(keyCredentials(key)))
			So(err, ShouldBeNil)
			return cc, func() codes.Code {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_, err := peerpb.NewPeerClient(cc).Exchange(ctx, &peerpb.View{})
				return status.Code(err)
			}
		}
		with, callWith := call("secret")
		defer with.Close()
		So(callWith(), ShouldEqual, codes.Unimplemented)
		without, callWithout := call("wrong")
		defer without.Close()
		So(callWithout(), ShouldEqual, codes.Unauthenticated)
		for range 3 * limit {
			c, err := net.Dial("tcp", inner.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()
		}
		late, callLate := call("secret")
		defer late.Close()
		So(callLate(), ShouldEqual, codes.Unimplemented)
		So(callWith(), ShouldEqual, codes.Unimplemented)
		So(dials.Load(), ShouldEqual, 3)
	})
}
