package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// ErrNotSent means that an order surely never left this process.
var ErrNotSent = errors.New("order not sent")

// errOutdated means that an order was not sent since it may not be carried out any more.
var errOutdated = fmt.Errorf("%w: outdated while it waited for a connection", ErrNotSent)

// CommandSender sends direct orders to workers. It returns the worker's report and
// whether the worker executed the order.
type CommandSender interface {
	// SendCommands asks valid right before the order leaves, when the connection is there, and
	// returns its error, as one that is ErrNotSent, if there is one.
	SendCommands(ctx context.Context, endpoint string, o wire.Orders, valid func() error) (*wire.Report, bool, error)
	// FetchReport asks a worker for its report.
	FetchReport(ctx context.Context, endpoint string) (*wire.Report, error)
}

// HTTPCommandSender sends orders over HTTP. It keeps one connection a worker, while there are
// sockets to spare.
type HTTPCommandSender struct {
	connections *connectionPool
	slots       chan struct{}
	asks        chan struct{} // of slots, those that requests for reports may take
}

// asksShare is the part of the slots, one in so many, that requests for reports may take.
// Mostly machines are asked that are silent, each of which keeps its slot until its time is
// over: with all slots taken by them, orders to machines that are well waited, left with
// next to no time for an answer, and counted as perhaps under way.
const asksShare = 2

// NewHTTPCommandSender returns an orderer that keeps within the process's sockets.
func NewHTTPCommandSender(budget sockets.Budget) *HTTPCommandSender {
	slots := budget.OrdersAtOnce()
	return &HTTPCommandSender{newConnectionPool(budget.Orders), make(chan struct{}, slots), make(chan struct{}, slots/asksShare)}
}

// Trim closes idle connections, the longest idle first, if there are fewer sockets to
// spare than before.
func (h *HTTPCommandSender) Trim() { h.connections.trim() }

// Connections returns how many connections to workers are open, at most.
func (h *HTTPCommandSender) Connections() int { return h.connections.count() }

// take waits for one of the slots.
func take(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
}

// FetchReport implements Orderer.
func (h *HTTPCommandSender) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	if err := take(ctx, h.asks); err != nil {
		return nil, err
	}
	defer func() { <-h.asks }()
	if err := take(ctx, h.slots); err != nil {
		return nil, err
	}
	defer func() { <-h.slots }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/show", nil)
	if err != nil {
		return nil, err
	}
	worker := h.connections.acquire(endpoint)
	defer h.connections.release(worker)
	resp, err := worker.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("worker answered %s", resp.Status)
	}
	return wire.ParseReport(body)
}

// SendCommands implements Orderer.
func (h *HTTPCommandSender) SendCommands(ctx context.Context, endpoint string, o wire.Orders, valid func() error) (*wire.Report, bool, error) {
	if err := take(ctx, h.slots); err != nil {
		return nil, false, err
	}
	defer func() { <-h.slots }()
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
	worker := h.connections.acquire(endpoint)
	defer h.connections.release(worker)
	resp, err := worker.client.Do(req)
	if refused := body.err(); refused != nil {
		if err == nil {
			_ = resp.Body.Close() // whatever was answered to a request without its body
		}
		return nil, false, refused
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("worker answered %s", resp.Status)
	}
	rep, err := wire.ParseReport(answer)
	return rep, resp.StatusCode == http.StatusOK, err
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
