package standin

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxHire    = 50
	maxRelease = 100
	maxPage    = 500
)

var (
	hiresBucket    = []byte("hires")
	machinesBucket = []byte("machines")
	nextMachineKey = []byte("next-machine")
)

// Launcher makes machines come up and go.
type Launcher interface {
	// Launch brings a machine's worker up and returns its address.
	Launch(m wire.ListedMachine, t wire.MachineType) (endpoint string, err error)
	// End is done when nothing of the machine runs any more.
	End(name string)
}

// Cloud rents machines that a launcher makes. What it answered as rented is on
// disk, and a name is never given twice.
type Cloud struct {
	db       *bbolt.DB
	types    []wire.MachineType
	capacity int // machines of all types together

	// PerZone bounds the machines of a zone; 0 is no bound. Set it before the first
	// request.
	PerZone  int
	launcher Launcher

	mu       sync.Mutex
	machines map[string]*wire.ListedMachine
	since    map[string]time.Time
	hires    map[string][]string
	next     uint64
}

// OpenCloud reads what db holds. Machines of an earlier run are listed as
// failed: nothing runs there any more. Without a db the records are in memory alone.
func OpenCloud(db *bbolt.DB, types []wire.MachineType, capacity int, l Launcher) (*Cloud, error) {
	c := &Cloud{db: db, types: types, capacity: capacity, launcher: l, machines: map[string]*wire.ListedMachine{}, since: map[string]time.Time{}, hires: map[string][]string{}}
	err := update(db, func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{hiresBucket, machinesBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		c.next = number(tx.Bucket(metaBucket).Get(nextMachineKey))
		if err := tx.Bucket(hiresBucket).ForEach(func(k, v []byte) error {
			var names []string
			err := json.Unmarshal(v, &names)
			c.hires[string(k)] = names
			return err
		}); err != nil {
			return err
		}
		return tx.Bucket(machinesBucket).ForEach(func(k, v []byte) error {
			var m wire.ListedMachine
			if err := json.Unmarshal(v, &m); err != nil {
				return fmt.Errorf("machine %s: %w", k, err)
			}
			m.Stage = wire.MachineFailed
			c.machines[m.Name], c.since[m.Name] = &m, time.Now()
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("cloud's records: %w", err)
	}
	return c, nil
}

// Handler serves the protocol.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	})
	mux.HandleFunc("POST /hosts", c.hire)
	mux.HandleFunc("POST /hosts/release", c.release)
	mux.HandleFunc("GET /hosts", c.list)
	return mux
}

func (c *Cloud) typeOf(r *wire.HireRequest) (wire.MachineType, bool) {
	for _, t := range c.types {
		if t.Name == r.Type && slices.Contains(t.Zones, r.Zone) {
			return t, true
		}
	}
	return wire.MachineType{}, false
}

var (
	errMalformed  = errors.New("unknown type or zone, or hire or number out of range")
	errNoCapacity = errors.New("no capacity")
	errTrouble    = errors.New("trouble")
)

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var req wire.HireRequest
	if !read(w, r, &req) {
		return
	}
	switch names, err := c.Hire(&req); {
	case errors.Is(err, errMalformed):
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
	case err != nil:
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
	default:
		httpjson.Write(w, http.StatusOK, wire.MachineNames{Machines: names})
	}
}

// Hire rents machines, up to the number asked for. A name that was used gets its
// earlier answer.
func (c *Cloud) Hire(req *wire.HireRequest) ([]string, error) {
	t, ok := c.typeOf(req)
	if !ok || req.Name == "" || len(req.Name) > 200 || req.Number < 1 || req.Number > maxHire {
		return nil, errMalformed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, had := c.hires[req.Name]; had {
		return names, nil
	}
	up, inZone := 0, 0
	for _, m := range c.machines {
		if m.Stage != wire.MachineFailed {
			up++
			if m.Zone == req.Zone {
				inZone++
			}
		}
	}
	n := min(req.Number, c.capacity-up)
	if c.PerZone > 0 {
		n = min(n, c.PerZone-inZone)
	}
	if n <= 0 || req.Spot {
		return nil, errNoCapacity
	}
	var made []*wire.ListedMachine
	names := make([]string, 0, n)
	for i := range n {
		m := &wire.ListedMachine{Name: fmt.Sprintf("n-%06d", c.next+uint64(i)+1), Type: t.Name, Zone: req.Zone, Stage: wire.MachineBooting}
		made, names = append(made, m), append(names, m.Name)
	}
	if err := update(c.db, func(tx *bbolt.Tx) error {
		for _, m := range made {
			if err := put(tx, machinesBucket, m.Name, m); err != nil {
				return err
			}
		}
		if err := put(tx, hiresBucket, req.Name, names); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(nextMachineKey, digits(c.next+uint64(n)))
	}); err != nil {
		return nil, errTrouble
	}
	c.next += uint64(n)
	c.hires[req.Name] = names
	for _, m := range made {
		c.machines[m.Name], c.since[m.Name] = m, time.Now()
		go c.boot(*m, t)
	}
	return names, nil
}

func put(tx *bbolt.Tx, bucket []byte, key string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put([]byte(key), data)
}

// boot brings a machine up after its type's time.
func (c *Cloud) boot(m wire.ListedMachine, t wire.MachineType) {
	time.Sleep(time.Duration(t.BootS * float64(time.Second)))
	c.mu.Lock()
	_, wanted := c.machines[m.Name]
	c.mu.Unlock()
	if !wanted {
		return
	}
	endpoint, err := c.launcher.Launch(m, t)
	c.mu.Lock()
	at := c.machines[m.Name]
	switch {
	case at == nil: // returned meanwhile
	case err != nil:
		at.Stage = wire.MachineFailed
	default:
		at.Endpoint, at.Stage = endpoint, wire.MachineRunning
	}
	c.mu.Unlock()
	if at == nil {
		c.launcher.End(m.Name)
	}
}

// Failed tells that a machine ended by itself.
func (c *Cloud) Failed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil {
		m.Stage = wire.MachineFailed
	}
}

func (c *Cloud) release(w http.ResponseWriter, r *http.Request) {
	var req wire.MachineNames
	if !read(w, r, &req) {
		return
	}
	if len(req.Machines) > maxRelease {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "too many names"})
		return
	}
	c.mu.Lock()
	var known []string
	for _, n := range req.Machines {
		if c.machines[n] != nil {
			known = append(known, n)
			delete(c.machines, n)
			delete(c.since, n)
		}
	}
	c.mu.Unlock()
	var ended sync.WaitGroup
	for _, n := range known {
		ended.Add(1)
		go func() { defer ended.Done(); c.launcher.End(n) }()
	}
	ended.Wait()
	if err := update(c.db, func(tx *bbolt.Tx) error {
		for _, n := range known {
			if err := tx.Bucket(machinesBucket).Delete([]byte(n)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "trouble"})
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	c.mu.Lock()
	out := wire.MachineList{Machines: []wire.ListedMachine{}}
	for name, m := range c.machines {
		if name > q.Get("after") {
			l := *m
			l.AgeS = time.Since(c.since[name]).Seconds()
			out.Machines = append(out.Machines, l)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(out.Machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	if len(out.Machines) > limit {
		out.Machines, out.More = out.Machines[:limit], true
	}
	httpjson.Write(w, http.StatusOK, out)
}

// Descriptions keeps descriptions in the same file.
type Descriptions struct{ DB *bbolt.DB }

var descrBucket = []byte("descriptions")

// Put implements description.Store.
func (d Descriptions) Put(name string, data []byte) (old []byte, err error) {
	err = d.DB.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(descrBucket)
		if err != nil {
			return err
		}
		if was := b.Get([]byte(name)); was != nil {
			old = append([]byte(nil), was...)
			return nil
		}
		return b.Put([]byte(name), data)
	})
	return old, err
}

// Get implements description.Store.
func (d Descriptions) Get(name string) (data []byte, err error) {
	err = d.DB.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(descrBucket); b != nil {
			if v := b.Get([]byte(name)); v != nil {
				data = append([]byte(nil), v...)
			}
		}
		return nil
	})
	return data, err
}
