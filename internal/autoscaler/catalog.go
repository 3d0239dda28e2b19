package autoscaler

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	refreshInterval = 45 * time.Second // between reads of the machine types at the leader
	minRetry        = 200 * time.Millisecond
	maxRetry        = 2 * time.Second
)

// Store is the part of the state service that the autoscaler uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Catalog holds the machine types. A copy in the state service lets a controller start during
// an outage of the cloud. It is safe for concurrent use.
type Catalog struct {
	cloud *Cloud
	store Store
	log   *slog.Logger

	mu    sync.RWMutex
	types map[string]wire.MachineType
}

// NewCatalog returns an empty catalog, which Run fills.
func NewCatalog(cloud *Cloud, store Store, log *slog.Logger) *Catalog {
	return &Catalog{cloud: cloud, store: store, log: log}
}

// Type returns a machine type, and whether it is known.
func (c *Catalog) Type(name string) (wire.MachineType, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.types[name]
	return t, ok
}

// All returns every machine type in no particular order, or none while they are unknown.
func (c *Catalog) All() []wire.MachineType {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]wire.MachineType, 0, len(c.types))
	for _, t := range c.types {
		out = append(out, t)
	}
	return out
}

// ResourcesOf returns the resources of an empty machine of type t.
func ResourcesOf(t wire.MachineType) matching.Resources {
	return matching.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// set replaces the types by the valid ones of a list, unless there are none.
func (c *Catalog) set(types []wire.MachineType) {
	byName := make(map[string]wire.MachineType, len(types))
	for _, t := range types {
		if t.Name != "" && t.CPUs > 0 {
			byName[t.Name] = t
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(byName) > 0 {
		c.types = byName
	}
}

// Run loads the machine types from the state service, or from the cloud if none are stored. While
// leads returns true, it reads them from the cloud again every refreshInterval, since prices change.
// It stores the types that it reads from the cloud. It runs until ctx ends and returns its error.
func (c *Catalog) Run(ctx context.Context, leads func() bool) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		known := len(c.All()) > 0
		if !known {
			c.load(ctx)
			known = len(c.All()) > 0
		}
		if !known || leads() {
			types, err := c.cloud.machineTypes(ctx)
			if err != nil {
				c.log.Info("reading machine types failed", "err", err)
			} else {
				c.set(types)
				c.persist(ctx, types)
				known = true
			}
		}
		if !known {
			statestore.Backoff(ctx, attempt, minRetry, maxRetry)
			continue
		}
		attempt = 0
		periodic.Sleep(ctx, refreshInterval)
	}
	return ctx.Err()
}

// load reads the types from the state service, and leaves the catalog unchanged if that fails.
func (c *Catalog) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	item, err := c.store.Get(ctx, typesKey)
	var types []wire.MachineType
	if err == nil && json.Unmarshal(item.Value, &types) == nil {
		c.set(types)
	}
}

// persist stores the types unless the stored ones differ only in spot prices.
func (c *Catalog) persist(ctx context.Context, types []wire.MachineType) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	item, err := c.store.Get(ctx, typesKey)
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return
	}
	var old []wire.MachineType
	if err == nil && json.Unmarshal(item.Value, &old) == nil && reflect.DeepEqual(withoutSpotPrices(old), withoutSpotPrices(types)) {
		return
	}
	if _, err := c.store.Txn(ctx, []wire.Guard{{Key: typesKey, Version: item.Version}}, wire.Op{Put: typesKey, Value: types}); err != nil {
		c.log.Info("storing machine types failed", "err", err)
	}
}

// withoutSpotPrices returns a copy of the types without the spot prices, which change often.
func withoutSpotPrices(types []wire.MachineType) []wire.MachineType {
	out := append([]wire.MachineType(nil), types...)
	for i := range out {
		out[i].SpotPrice = 0
	}
	return out
}
