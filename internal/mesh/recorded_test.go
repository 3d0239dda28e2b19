package mesh_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/wallrack/wallrack/internal/mesh"
)

// rawCodec passes messages through as bytes.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}
func (rawCodec) Name() string { return "json" }

const (
	recordedMethod  = "/wallrack.Mesh/Shout"
	recordedContent = "application/grpc+json"
	recordedRequest = `{"text":"hey \u003cyou\u003e"}`
	recordedReply   = `{"text":"HEY"}`
)

// A call is sent with the names and in the encoding that other controllers expect.
func TestRecordedCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var method, content, request string
	srv := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		method, _ = grpc.MethodFromServerStream(stream)
		if md, _ := metadata.FromIncomingContext(stream.Context()); len(md["content-type"]) > 0 {
			content = md["content-type"][0]
		}
		var body []byte
		if err := stream.RecvMsg(&body); err != nil {
			return err
		}
		request, body = string(body), []byte(recordedReply)
		return stream.SendMsg(&body)
	}))
	go func() { _ = srv.Serve(listener) }() // until srv.Stop
	defer srv.Stop()
	m, err := mesh.New(map[string]string{"a": listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := mesh.Call[textMessage, textMessage](ctx, m, "a", "Shout", &textMessage{"hey <you>"})
	if err != nil || reply.Text != "HEY" {
		t.Fatalf("%+v, %v", reply, err)
	}
	if method != recordedMethod || content != recordedContent || request != recordedRequest {
		t.Errorf("sent as %s, %s: %s", method, content, request)
	}
}

// A call with the names and in the encoding that other controllers send is answered in the
// encoding that they expect.
func TestRecordedReply(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	m, err := mesh.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	var got string
	mesh.Handle(m, "Shout", func(_ context.Context, n *textMessage) (*textMessage, error) {
		got = n.Text
		return &textMessage{"HEY"}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	served := make(chan struct{})
	go func() { defer close(served); _ = m.Serve(ctx, addr) }()
	defer func() { cancel(); <-served }()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // fails only if the connection is closed already
	request, reply := []byte(recordedRequest), []byte(nil)
	if err := conn.Invoke(ctx, recordedMethod, &request, &reply, grpc.ForceCodec(rawCodec{}), grpc.WaitForReady(true)); err != nil {
		t.Fatal(err)
	}
	if got != "hey <you>" || string(reply) != recordedReply {
		t.Errorf("read as %q, answered by %s", got, reply)
	}
}
