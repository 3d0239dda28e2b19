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
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Store is what the fleet needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Catalog knows the machine types. A copy in the state service lets a
// controller start while the cloud is out.
type Catalog struct {
	cloud *Cloud
	store Store
	log   *slog.Logger

	mu    sync.RWMutex
	types map[string]wire.MachineType
}

// NewCatalog returns an empty catalog.
func NewCatalog(cloud *Cloud, store Store, log *slog.Logger) *Catalog {
	return &Catalog{cloud: cloud, store: store, log: log}
}

// Type returns a machine type.
func (c *Catalog) Type(name string) (wire.MachineType, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.types[name]
	return t, ok
}

// All returns every machine type, or none while they are unknown.
func (c *Catalog) All() []wire.MachineType {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]wire.MachineType, 0, len(c.types))
	for _, t := range c.types {
		out = append(out, t)
	}
	return out
}

// ResourcesOf is a machine type's size.
func ResourcesOf(t wire.MachineType) matching.Resources {
	return matching.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

func (c *Catalog) set(types []wire.MachineType) {
	m := make(map[string]wire.MachineType, len(types))
	for _, t := range types {
		if t.Name != "" && t.CPUs > 0 {
			m[t.Name] = t
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(m) > 0 {
		c.types = m
	}
}

// Run learns the types, first from the store, and keeps prices fresh at the
// controller that leads.
func (c *Catalog) Run(ctx context.Context, leads func() bool) error {
	for n := 0; ctx.Err() == nil; n++ {
		known := len(c.All()) > 0
		if !known {
			c.fromStore(ctx)
			known = len(c.All()) > 0
		}
		if !known || leads() {
			types, err := c.cloud.types(ctx)
			if err != nil {
				c.log.Info("machine types not to be had", "err", err)
			} else {
				c.set(types)
				c.keep(ctx, types)
				known = true
			}
		}
		if !known {
			statestore.Backoff(ctx, n, 200*time.Millisecond, 2*time.Second)
			continue
		}
		n = 0
		select {
		case <-ctx.Done():
		case <-time.After(45 * time.Second):
		}
	}
	return ctx.Err()
}

func (c *Catalog) fromStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	it, err := c.store.Get(ctx, typesKey)
	var types []wire.MachineType
	if err == nil && json.Unmarshal(it.Value, &types) == nil {
		c.set(types)
	}
}

// keep stores the types unless all but the prices are stored already.
func (c *Catalog) keep(ctx context.Context, types []wire.MachineType) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	it, err := c.store.Get(ctx, typesKey)
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return
	}
	var old []wire.MachineType
	if err == nil && json.Unmarshal(it.Value, &old) == nil && reflect.DeepEqual(unpriced(old), unpriced(types)) {
		return
	}
	if _, err := c.store.Txn(ctx, []wire.Guard{{Key: typesKey, Version: it.Version}}, wire.Op{Put: typesKey, Value: types}); err != nil {
		c.log.Info("machine types not stored", "err", err)
	}
}

func unpriced(types []wire.MachineType) []wire.MachineType {
	out := append([]wire.MachineType(nil), types...)
	for i := range out {
		out[i].SpotPrice = 0
	}
	return out
}
