package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/peerpb"
)

// keyHeader carries the peer key in the metadata of each call.
const keyHeader = "x-peer-key"

// Timeouts of connections. Pings detect a dead peer within
// pingInterval+pingTimeout while a call waits. Idle connections are closed and
// opened again on demand.
const (
	pingInterval      = 10 * time.Second
	pingTimeout       = 3 * time.Second
	idleTimeout       = 5 * time.Minute
	handshakeTimeout  = 5 * time.Second
	maxReconnectDelay = time.Second // longest wait between attempts to connect
)

// Memory of a connection of a peer.
const (
	maxHeaderListBytes = 16 << 10
	connBufferBytes    = 8 << 10
)

// newServer returns a gRPC server that accepts only calls with the peer key.
func newServer(s *Settings) *grpc.Server {
	want := sha256.Sum256([]byte(s.Key))
	// The key is checked before a message is read.
	check := func(ctx context.Context, _ *tap.Info) (context.Context, error) {
		if !hasKey(ctx, want) {
			return nil, status.Error(codes.Unauthenticated, "peer: the peer key is missing or wrong; set the same key in [peer] on all routers")
		}
		return ctx, admit(ctx)
	}
	return grpc.NewServer(
		grpc.InTapHandle(check),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.MaxRecvMsgSize(s.MaxMessageBytes),
		grpc.MaxSendMsgSize(s.MaxMessageBytes),
		grpc.MaxConcurrentStreams(uint32(s.MaxStreams)),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleTimeout, Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2}),
	)
}

// hasKey compares digests in constant time, which also hides the length of the
// key.
func hasKey(ctx context.Context, want [sha256.Size]byte) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(keyHeader)
	if len(values) != 1 {
		return false
	}
	got := sha256.Sum256([]byte(values[0]))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// keyCredentials adds the peer key to each call.
type keyCredentials string

func (k keyCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{keyHeader: string(k)}, nil
}

func (keyCredentials) RequireTransportSecurity() bool { return false }

// conns keeps one connection per peer address.
type conns struct {
	options []grpc.DialOption

	mu     sync.Mutex // lock level 90
	byAddr map[string]*grpc.ClientConn
	closed bool
}

func newConns(s *Settings) *conns {
	retry := backoff.DefaultConfig
	retry.BaseDelay = min(100*time.Millisecond, s.CallTimeout)
	retry.MaxDelay = maxReconnectDelay
	return &conns{
		byAddr: map[string]*grpc.ClientConn{},
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithPerRPCCredentials(keyCredentials(s.Key)),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(s.MaxMessageBytes), grpc.MaxCallSendMsgSize(s.MaxMessageBytes)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
			grpc.WithIdleTimeout(idleTimeout),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: s.CallTimeout}),
		},
	}
}

// client returns the client for an address. It does not wait for a connection.
func (c *conns) client(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, status.Error(codes.Unavailable, "peer: this router is stopping")
	}
	if cc := c.byAddr[address]; cc != nil {
		return peerpb.NewPeerClient(cc), nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.byAddr[address] = cc
	return peerpb.NewPeerClient(cc), nil
}

// prune closes the connections to addresses that no router uses any more.
func (c *conns) prune(used map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.byAddr {
		if !used[address] {
			_ = cc.Close()
			delete(c.byAddr, address)
		}
	}
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cc := range c.byAddr {
		_ = cc.Close()
	}
	c.byAddr = nil
}

// admittableListener accepts connections of which a call tells which one it came on.
type admittableListener struct{ net.Listener }

func (l admittableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return admittableConn{c}, nil
}

type admittableConn struct{ net.Conn }

func (c admittableConn) RemoteAddr() net.Addr { return admittableAddr{c.Conn.RemoteAddr(), c.Conn} }

// admittableAddr is the address of a peer, with the connection.
type admittableAddr struct {
	net.Addr
	conn net.Conn
}

// admit keeps the connection of a peer with the key from yielding to new ones.
func admit(ctx context.Context) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	address, ok := p.Addr.(admittableAddr)
	if !ok {
		return nil // a test's listener
	}
	return connlimit.AdmitConn(address.conn)
}
