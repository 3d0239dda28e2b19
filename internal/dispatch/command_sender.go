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

// ErrNotSent means that the commands never left this process.
var ErrNotSent = errors.New("commands not sent")

// errOutdated means that commands were not sent because they were invalidated while they waited.
var errOutdated = fmt.Errorf("%w: outdated while waiting for a connection", ErrNotSent)

// CommandSender sends direct commands to workers and polls them.
type CommandSender interface {
	// SendCommands returns the worker's report and whether the worker executed the commands. It
	// calls valid once the connection is established, right before sending, and if valid fails,
	// returns its error without sending. After any error other than valid's and ErrNotSent, it is
	// unknown whether the commands were executed or still will be.
	SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error)
	// FetchReport polls a worker for its report.
	FetchReport(ctx context.Context, endpoint string) (*wire.Report, error)
}

// HTTPCommandSender sends commands over HTTP. It reuses one connection per worker as long as the
// process has sockets to spare. It is safe for concurrent use.
type HTTPCommandSender struct {
	connections *connectionPool
	slots       chan struct{} // one for each request in flight
	pollSlots   chan struct{} // limits how many of the slots polls may use
}

// pollSlotDivisor is the ratio of all slots to those that polls may use. Polled workers are often unresponsive and
// hold their slot until the timeout. If they held all slots, commands to responsive workers would
// wait, be left with little time for a response, and end with an unknown outcome.
const pollSlotDivisor = 2

const maxReportBytes = 8 << 20

// NewHTTPCommandSender returns a sender that stays within the process's socket budget.
func NewHTTPCommandSender(budget sockets.Budget) *HTTPCommandSender {
	slots := budget.MaxConcurrentRequests()
	return &HTTPCommandSender{
		connections: newConnectionPool(budget.WorkerConnectionLimits),
		slots:       make(chan struct{}, slots),
		pollSlots:   make(chan struct{}, slots/pollSlotDivisor),
	}
}

// Trim closes the connections that have been idle longest if fewer sockets are available than
// before.
func (s *HTTPCommandSender) Trim() { s.connections.trim() }

// Connections returns an upper bound of the number of open connections to workers.
func (s *HTTPCommandSender) Connections() int { return s.connections.count() }

// acquireSlot waits for a free slot.
func acquireSlot(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
}

// FetchReport implements CommandSender.
func (s *HTTPCommandSender) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	if err := acquireSlot(ctx, s.pollSlots); err != nil {
		return nil, err
	}
	defer func() { <-s.pollSlots }()
	if err := acquireSlot(ctx, s.slots); err != nil {
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
	defer func() { _ = resp.Body.Close() }() // closing a body that was only read can't lose data
	return readReport(resp, http.StatusOK)
}

// SendCommands implements CommandSender.
func (s *HTTPCommandSender) SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if err := acquireSlot(ctx, s.slots); err != nil {
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
	req.GetBody = nil // the transport must not repeat the request on its own
	worker := s.connections.acquire(endpoint)
	defer s.connections.release(worker)
	resp, err := worker.client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }() // closing a body that was only read can't lose data
	}
	if refused := body.err(); refused != nil {
		return nil, false, refused // regardless of the worker's response to a request without a body
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

// readReport reads the report from a response, whose status must be one of statuses.
func readReport(resp *http.Response, statuses ...int) (*wire.Report, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, fmt.Errorf("reading the worker's response: %w", err)
	}
	if !slices.Contains(statuses, resp.StatusCode) {
		return nil, fmt.Errorf("worker responded %s", resp.Status)
	}
	return wire.ParseReport(body)
}

// checkedBody is a request body that is validated when its first byte is read, that is, once the
// connection is established. If validation fails, no body is sent.
type checkedBody struct {
	data  *bytes.Reader
	valid func() error

	mu       sync.Mutex
	checked  bool
	checkErr error
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
		b.checked, b.checkErr = true, b.valid()
	}
	return b.checkErr
}

// err returns the error of the validation, or nil if it succeeded or has not run.
func (b *checkedBody) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checkErr
}
