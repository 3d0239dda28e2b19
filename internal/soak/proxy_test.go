package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// noAnswerWithin is the time within which a disturbed link must deliver nothing.
const noAnswerWithin = 150 * time.Millisecond

// newEchoProxy returns a proxy in front of a server that sends back what it receives.
func newEchoProxy(t *testing.T) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn) // until the proxy closes the connection
				_ = conn.Close()
			}()
		}
	}()
	p, err := newProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

func dial(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// receive returns what arrives within the given time, at most n bytes.
func receive(conn net.Conn, n int, within time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, n)
	got, err := io.ReadFull(conn, buffer)
	return string(buffer[:got]), err
}

// echo sends a text and expects it back.
func echo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	send(t, conn, text)
	if got, err := receive(conn, len(text), 10*time.Second); got != text {
		t.Fatalf("%q came back as %q: %v", text, got, err)
	}
}

func TestProxyHoldsAndDeliversLater(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	echo(t, conn, "before")
	end := p.disturb(holdLink, 0)
	opened := dial(t, p)
	send(t, conn, "held")
	send(t, opened, "lost")
	if got, _ := receive(conn, 1, noAnswerWithin); got != "" {
		t.Errorf("%q arrived over a held link", got)
	}
	end()
	if got, err := receive(conn, 4, 10*time.Second); got != "held" {
		t.Errorf("%q arrived after the hold: %v", got, err)
	}
	if got, err := receive(opened, 1, 10*time.Second); got != "" || errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("a connection opened during the hold delivered %q: %v", got, err)
	}
	echo(t, dial(t, p), "after")
}

func TestProxyResets(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	echo(t, conn, "before")
	end := p.disturb(resetLink, 0)
	if _, err := receive(conn, 1, 10*time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("an open connection ended with %v", err)
	}
	opened, err := net.Dial("tcp", p.addr())
	if err == nil { // the reset may also arrive while the connection is being opened
		defer func() { _ = opened.Close() }()
		_, err = receive(opened, 1, 10*time.Second)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a new connection ended with %v", err)
	}
	end()
	echo(t, dial(t, p), "after")
}

func TestProxyDelaysInOrder(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	echo(t, conn, "before")
	defer p.disturb(delayLink, noAnswerWithin)()
	start := time.Now()
	echo(t, conn, "first")
	if took := time.Since(start); took < 2*noAnswerWithin {
		t.Errorf("the answer took %v, and each direction is delayed by %v", took, noAnswerWithin)
	}
	echo(t, conn, "second")
}

func TestProxyLosesAnswersOnly(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	echo(t, conn, "before")
	end := p.disturb(loseAnswers, 0)
	send(t, conn, "lost")
	if got, _ := receive(conn, 1, noAnswerWithin); got != "" {
		t.Errorf("%q arrived", got)
	}
	end()
	echo(t, conn, "after")
}

func TestLastDisturbanceOfALinkHasEffect(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	endFirst := p.disturb(holdLink, 0)
	endSecond := p.disturb(delayLink, time.Millisecond)
	endSecond()
	send(t, conn, "held")
	if got, _ := receive(conn, 1, noAnswerWithin); got != "" {
		t.Errorf("%q arrived although the link is held", got)
	}
	endFirst()
	echo(t, dial(t, p), "after")
}
