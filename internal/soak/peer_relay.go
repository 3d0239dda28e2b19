package soak

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/status"
)

// maxRelayedBytes is the size of the largest message between controllers.
const maxRelayedBytes = 64 << 20

// peerRelay passes calls on to a controller's peers' address, and has some of them repeated.
type peerRelay struct {
	conn     *grpc.ClientConn
	server   *grpc.Server
	addr     string
	repeater *repeater
}

// newPeerRelay returns a relay on a free loopback port that passes calls on to target.
func newPeerRelay(target string, repeater *repeater) (*peerRelay, error) {
	conn, err := grpc.NewClient("passthrough:///"+target, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{}), grpc.MaxCallRecvMsgSize(maxRelayedBytes), grpc.MaxCallSendMsgSize(maxRelayedBytes)))
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &peerRelay{conn: conn, addr: listener.Addr().String(), repeater: repeater}
	r.server = grpc.NewServer(grpc.ForceServerCodecV2(rawCodec{}), grpc.UnknownServiceHandler(r.relay), grpc.MaxRecvMsgSize(maxRelayedBytes))
	go func() { _ = r.server.Serve(listener) }() // returns when close stops the server
	return r, nil
}

// relay passes one call on. All calls between controllers have one request and one reply.
func (r *peerRelay) relay(_ any, stream grpc.ServerStream) error {
	method, ok := grpc.MethodFromServerStream(stream)
	if !ok {
		return status.Error(codes.Internal, "a call without a method")
	}
	var request, reply []byte
	if err := stream.RecvMsg(&request); err != nil {
		return err
	}
	if err := r.conn.Invoke(stream.Context(), method, &request, &reply); err != nil {
		return err
	}
	r.repeater.answered(func() {
		ctx, cancel := context.WithTimeout(context.Background(), repeatTimeout)
		defer cancel()
		_ = r.conn.Invoke(ctx, method, &request, new([]byte)) // its answer reaches nobody
	})
	return stream.SendMsg(&reply)
}

func (r *peerRelay) close() {
	r.server.Stop()
	_ = r.conn.Close()
}

// rawCodec passes encoded messages on as they are.
type rawCodec struct{}

var _ encoding.CodecV2 = rawCodec{}

// Marshal implements encoding.CodecV2 for a pointer to bytes.
func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(*v.(*[]byte))}, nil
}

// Unmarshal implements encoding.CodecV2 for a pointer to bytes.
func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

// Name implements encoding.CodecV2: the controllers' messages are JSON.
func (rawCodec) Name() string { return "json" }
