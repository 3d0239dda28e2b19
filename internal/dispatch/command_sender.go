package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// ErrNotSent means that commands surely never left this process.
var ErrNotSent = errors.New("commands not sent")

// errOutdated means that commands were not sent since they may not be executed any more.
var errOutdated = fmt.Errorf("%w: outdated while waiting for a connection", ErrNotSent)

// CommandSender sends direct commands to workers and polls them.
type CommandSender interface {
	// SendCommands returns the worker's report and whether the worker executed the commands. It
	// calls valid right before they leave, when the connection is there, and returns valid's
	// error, if there is one, without sending. An error that is not ErrNotSent, and not of
	// valid, leaves it unknown whether the commands were, or will be, executed.
	SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error)
	// FetchReport polls a worker for its report.
	FetchReport(ctx context.Context, endpoint string) (*wire.Report, error)
}

// HTTPCommandSender sends commands over HTTP. It keeps one connection per worker, while there
// are sockets to spare. It is safe for concurrent use.
type HTTPCommandSender struct {
	connections *connectionPool
	slots       chan struct{} // one for each request under way
	pollSlots   chan struct{} // of slots, those that polls may take
}

// pollShare is the part of the slots, one in so many, that polls may take.
// Mostly unresponsive workers are polled, each of which keeps its slot until the timeout: with
// all slots taken by them, commands to responsive workers waited, left with next to no time for
// a response, and counted as of unknown outcome.
const pollShare = 2

const maxReport = 8 << 20 // bytes

// NewHTTPCommandSender returns a sender that keeps within the process's sockets.
func NewHTTPCommandSender(budget sockets.Budget) *HTTPCommandSender {
	slots := budget.MaxConcurrentRequests()
	return &HTTPCommandSender{
		connections: newConnectionPool(budget.WorkerConnectionLimits),
		slots:       make(chan struct{}, slots),
		pollSlots:   make(chan struct{}, slots/pollShare),
	}
}

// Trim closes idle connections, the longest idle first, if there are fewer sockets to
// spare than before.
func (s *HTTPCommandSender) Trim() { s.connections.trim() }

// Connections returns how many connections to workers are open, at most.
func (s *HTTPCommandSender) Connections() int { return s.connections.count() }

// takeSlot waits for one of the slots.
func takeSlot(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
}

// FetchReport implements CommandSender.
func (s *HTTPCommandSender) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	if err := takeSlot(ctx, s.pollSlots); err != nil {
		return nil, err
	}
	defer func() { <-s.pollSlots }()
	if err := takeSlot(ctx, s.slots); err != nil {
		return nil, err
	}
	defer func() { <-s.slots }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/show", nil)
	if err != nil {
		return nil, fmt.Errorf("polling the worker: %w", err)
	}
	worker := s.connections.acquire(endpoint)
	defer s.connections.release(worker)
	resp, err := worker.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("polling the worker: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // of a body that was only read
	return readReport(resp, http.StatusOK)
}

// SendCommands implements CommandSender.
func (s *HTTPCommandSender) SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if err := takeSlot(ctx, s.slots); err != nil {
		return nil, false, err
	}
	defer func() { <-s.slots }()
	data, err := json.Marshal(o)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	body := &checkedBody{data: bytes.NewReader(data), valid: valid}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+"/orders", body)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.ContentLength = int64(len(data))
	req.GetBody = nil // never repeated by the transport on its own
	worker := s.connections.acquire(endpoint)
	defer s.connections.release(worker)
	resp, err := worker.client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }() // of a body that was only read
	}
	if refused := body.err(); refused != nil {
		return nil, false, refused // whatever was answered to a request without its body
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, false, fmt.Errorf("sending commands: %w", err)
	}
	rep, err := readReport(resp, http.StatusOK, http.StatusConflict)
	return rep, resp.StatusCode == http.StatusOK, err
}

// readReport reads the report in a response with one of the statuses.
func readReport(resp *http.Response, statuses ...int) (*wire.Report, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return nil, fmt.Errorf("reading the worker's response: %w", err)
	}
	if !slices.Contains(statuses, resp.StatusCode) {
		return nil, fmt.Errorf("worker responded %s", resp.Status)
	}
	return wire.ParseReport(body)
}

// checkedBody is the body of a request that may have waited for its connection: of one that
// isn't valid any more when its first byte is asked for, none is sent.
type checkedBody struct {
	data  *bytes.Reader
	valid func() error

	mu      sync.Mutex
	checked bool
	refused error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	return b.data.Read(p)
}

func (b *checkedBody) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checked {
		b.checked, b.refused = true, b.valid()
	}
	return b.refused
}

// err is why the body was not sent; nil if it was, or nobody asked for it.
func (b *checkedBody) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
