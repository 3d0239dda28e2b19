package soak

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// copyTimeout bounds the time until a copy has arrived.
const copyTimeout = 20 * time.Second

// newCertainRepeater returns a repeater that repeats every call.
func newCertainRepeater(t *testing.T) *repeater {
	r := newRepeater()
	r.setShare(1)
	t.Cleanup(r.close)
	return r
}

// expectBodies fails the test unless n messages with the given body arrive.
func expectBodies(t *testing.T, bodies <-chan string, n int, want string) {
	t.Helper()
	for i := range n {
		select {
		case body := <-bodies:
			if body != want {
				t.Errorf("message %d: %q, not %q", i, body, want)
			}
		case <-time.After(copyTimeout):
			t.Fatalf("%d of %d messages arrived", i, n)
		}
	}
}

// newRecordingServer returns a server whose requests are wrapped, and the bodies of those that arrive.
func newRecordingServer(t *testing.T, wrap func(addr string, next http.Handler) http.Handler) (url string, bodies chan string) {
	bodies = make(chan string, 100)
	server := httptest.NewUnstartedServer(nil)
	record := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an incomplete body differs from the expected one
		bodies <- describe(r, body)
	})
	server.Config.Handler = wrap(server.Listener.Addr().String(), record)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, bodies
}

func describe(r *http.Request, body []byte) string {
	return r.Method + " " + r.URL.Path + " " + string(body)
}

func TestServedRequestsArriveAgain(t *testing.T) {
	t.Parallel()
	r := newCertainRepeater(t)
	url, bodies := newRecordingServer(t, r.wrapHandler)
	response, err := http.Post(url+"/orders", "application/json", strings.NewReader("start"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	expectBodies(t, bodies, 2, "POST /orders start")
	r.repeatRecent()
	expectBodies(t, bodies, 1, "POST /orders start")
	if r.count() != 2 {
		t.Errorf("%d copies of one call, repeated twice: a copy was copied", r.count())
	}
}

func TestSentRequestsArriveAgain(t *testing.T) {
	t.Parallel()
	r := newCertainRepeater(t)
	url, bodies := newRecordingServer(t, func(_ string, next http.Handler) http.Handler { return next })
	client := &http.Client{Transport: r.wrapTransport(&http.Transport{})}
	response, err := client.Post(url+"/api/jobs", "application/json", strings.NewReader("job"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	expectBodies(t, bodies, 2, "POST /api/jobs job")
}

func TestRequestsToTheStateServiceArriveAgain(t *testing.T) {
	t.Parallel()
	r := newCertainRepeater(t)
	g, url, applied := newGateServer(t)
	g.repeatRequests(r)
	if status := post(url); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for deadline := time.Now().Add(copyTimeout); applied.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if applied.Load() != 2 {
		t.Errorf("applied %d times", applied.Load())
	}
}

func TestCallsBetweenControllersArriveAgain(t *testing.T) {
	t.Parallel()
	bodies := make(chan string, 100)
	server := grpc.NewServer(grpc.ForceServerCodecV2(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		var request []byte
		if err := stream.RecvMsg(&request); err != nil {
			return err
		}
		bodies <- string(request)
		reply := bytes.ToUpper(request)
		return stream.SendMsg(&reply)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	relay, err := newPeerRelay(listener.Addr().String(), newCertainRepeater(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.close)
	conn, err := grpc.NewClient("passthrough:///"+relay.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	request, reply := []byte("grant"), []byte(nil)
	if err := conn.Invoke(context.Background(), "/mesh/Grants", &request, &reply); err != nil || string(reply) != "GRANT" {
		t.Fatalf("reply %q, %v", reply, err)
	}
	expectBodies(t, bodies, 2, "grant")
}

func TestNoCallIsRepeatedOutsideTheFault(t *testing.T) {
	r := newRepeater()
	r.answered(func() { t.Error("a copy was delivered") })
	r.close()
	if r.count() > 0 {
		t.Errorf("%d copies", r.count())
	}
}
