// Package mesh carries messages between controllers over gRPC. Each controller runs a server and
// has a connection to every other controller. Messages are plain structs of the packages that use
// them, encoded as JSON. The package defines no methods, repeats no calls, and does not track
// which peers are reachable: see package reachability.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	service            = "wallrack.Mesh"
	maxMessageBytes    = 4 << 20
	windowBytes        = 1 << 20 // flow control window of a connection or stream
	maxConcurrentCalls = 64      // from one peer
	connectTimeout     = time.Second
	keepaliveInterval  = 10 * time.Second // on a connection with calls in flight
	keepaliveTimeout   = 3 * time.Second
	// minKeepaliveInterval is the shortest interval that a server accepts; it must be below
	// keepaliveInterval.
	minKeepaliveInterval = 2 * time.Second
)

// ErrNoPeer means that no controller of that name is configured.
var ErrNoPeer = errors.New("no such controller")

// codec encodes messages as JSON.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
func (codec) Name() string                       { return "json" }

func init() { encoding.RegisterCodec(codec{}) }

// Mesh holds the connections to the other controllers and this controller's server. It is safe for
// concurrent use after all calls of Handle.
type Mesh struct {
	peers   map[string]*grpc.ClientConn // by name
	methods []grpc.MethodDesc
}

// New prepares connections to the peers, given as addresses by name. A peer is dialled by the
// first call to it. The caller must close the mesh.
func New(peers map[string]string) (*Mesh, error) {
	m := &Mesh{peers: map[string]*grpc.ClientConn{}}
	for name, addr := range peers {
		conn, err := grpc.NewClient("passthrough:///"+addr, dialOptions()...)
		if err != nil {
			m.Close()
			return nil, fmt.Errorf("peer %s: %w", name, err)
		}
		m.peers[name] = conn
	}
	return m, nil
}

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype("json"), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.3, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		// A fixed window turns off gRPC's bandwidth estimation, which sends additional packets with
		// every message.
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
	}
}

// ClassifyError tells why a Call ended without a reply of the peer's handler: it could not even be
// sent (refused), or its context ended first (late). Both are false if the handler replied.
func ClassifyError(err error) (refused, late bool) {
	code := status.Code(err)
	return code == codes.Unavailable, code == codes.DeadlineExceeded || code == codes.Canceled
}

// Peers returns the names of the other controllers in no particular order.
func (m *Mesh) Peers() []string {
	names := make([]string, 0, len(m.peers))
	for name := range m.peers {
		names = append(names, name)
	}
	return names
}

// Handle registers the handler of a method. It must be called before Serve. Each call runs the
// handler on its own goroutine, at most 64 at a time for each peer; its context ends with the
// call.
func Handle[Req, Rep any](m *Mesh, method string, handler func(context.Context, *Req) (*Rep, error)) {
	m.methods = append(m.methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				return nil, err
			}
			return handler(ctx, req)
		},
	})
}

// Call sends a request to a peer and returns its reply. It fails at once if the peer is not
// connected. The error is ErrNoPeer, one that ClassifyError recognises, or the text of the
// handler's error.
func Call[Req, Rep any](ctx context.Context, m *Mesh, peer, method string, req *Req) (*Rep, error) {
	conn, ok := m.peers[peer]
	if !ok {
		return nil, fmt.Errorf("%s: %w", peer, ErrNoPeer)
	}
	rep := new(Rep)
	if err := conn.Invoke(ctx, "/"+service+"/"+method, req, rep); err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, peer, err)
	}
	return rep, nil
}

// Listen retries an address in use for listenTimeout, since connections of the previous process
// may still occupy it.
const (
	listenTimeout       = 20 * time.Second
	listenRetryInterval = 200 * time.Millisecond
)

// Listen opens a TCP address. While the address is in use it retries until listenTimeout or ctx
// ends.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	for start := time.Now(); ; {
		lis, err := net.Listen("tcp", addr)
		if err == nil || ctx.Err() != nil || time.Since(start) > listenTimeout || !errors.Is(err, syscall.EADDRINUSE) {
			return lis, err
		}
		periodic.Sleep(ctx, listenRetryInterval)
	}
}

// Serve answers the peers until ctx ends, and then returns the error of ctx. It does not wait for
// running handlers; their contexts end.
func (m *Mesh) Serve(ctx context.Context, addr string) error {
	lis, err := Listen(ctx, addr)
	if err != nil {
		return fmt.Errorf("mesh: %w", err)
	}
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}))
	srv.RegisterService(&grpc.ServiceDesc{ServiceName: service, HandlerType: (*any)(nil), Methods: m.methods}, m)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(lis); err != nil && ctx.Err() == nil {
		return fmt.Errorf("mesh: %w", err)
	}
	return ctx.Err()
}

// Close closes the connections, which aborts calls in flight.
func (m *Mesh) Close() {
	for _, conn := range m.peers {
		_ = conn.Close() // fails only if the connection is closed already
	}
}
