package standin

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxProvision   = 50  // machines per request
	maxDelete      = 100 // machines per request
	maxPage        = 500 // machines per listing
	maxRequestName = 200 // bytes
)

// Launcher starts and terminates machines. Its methods may be called concurrently, and are called
// while the caller holds no locks.
type Launcher interface {
	// Launch starts a machine's worker and returns its address.
	Launch(m wire.ListedMachine, t wire.MachineType) (endpoint string, err error)
	// End terminates a machine and returns when none of its processes runs any more. It may be
	// called for a machine that was not launched.
	End(name string)
}

// Cloud provisions machines through a Launcher. If there is a database, provisioned machines are
// on disk before they are reported. Machine names are never reused. It is safe for concurrent
// use.
type Cloud struct {
	db          *bbolt.DB
	types       []wire.MachineType
	maxMachines int // of all types together

	// MaxPerZone limits the number of machines in a zone; 0 means no limit. It must be set before
	// the first request.
	MaxPerZone int
	launcher   Launcher

	mu          sync.Mutex
	machines    map[string]*cloudMachine
	provisions  map[string][]string // names of the machines by the name of the request that provisioned them
	lastMachine uint64              // highest number in any machine's name
}

// cloudMachine is a machine in the listing.
type cloudMachine struct {
	wire.ListedMachine
	createdAt time.Time
}

// OpenCloud loads the records in db. Machines of an earlier run are listed as failed, since none
// of them still runs. If db is nil, the records are kept in memory only. The caller closes db
// after the last request has ended.
func OpenCloud(db *bbolt.DB, types []wire.MachineType, maxMachines int, launcher Launcher) (*Cloud, error) {
	c := &Cloud{
		db: db, types: types, maxMachines: maxMachines, launcher: launcher,
		machines: map[string]*cloudMachine{}, provisions: map[string][]string{},
	}
	if err := update(db, c.load); err != nil {
		return nil, fmt.Errorf("cloud's records: %w", err)
	}
	return c, nil
}

// load loads the records of an earlier run and marks its machines as failed.
func (c *Cloud) load(tx *bbolt.Tx) error {
	if err := createBuckets(tx, provisionsBucket, machinesBucket, metaBucket); err != nil {
		return err
	}
	c.lastMachine = parseNumber(tx.Bucket(metaBucket).Get(nextMachineKey))
	if err := tx.Bucket(provisionsBucket).ForEach(func(request, data []byte) error {
		var names []string
		err := json.Unmarshal(data, &names)
		c.provisions[string(request)] = names
		return err
	}); err != nil {
		return err
	}
	return tx.Bucket(machinesBucket).ForEach(func(name, data []byte) error {
		m := &cloudMachine{createdAt: time.Now()}
		if err := json.Unmarshal(data, &m.ListedMachine); err != nil {
			return fmt.Errorf("machine %s: %w", name, err)
		}
		m.Stage = wire.MachineFailed
		c.machines[m.Name] = m
		return nil
	})
}

// Handler serves the protocol of the cloud.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	})
	mux.HandleFunc("POST /hosts", c.serveProvision)
	mux.HandleFunc("POST /hosts/release", c.serveDelete)
	mux.HandleFunc("GET /hosts", c.serveList)
	return mux
}

// Errors of Provision. Their texts are part of the protocol.
var (
	errInvalidRequest = errors.New("unknown type or zone, or hire or number out of range")
	errNoCapacity     = errors.New("no capacity")
	errStorage        = errors.New("trouble") // the records could not be written
)

func (c *Cloud) serveProvision(w http.ResponseWriter, r *http.Request) {
	var req wire.ProvisionRequest
	if !decodeBody(w, r, &req) {
		return
	}
	switch names, err := c.Provision(&req); {
	case errors.Is(err, errInvalidRequest):
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
	case err != nil:
		writeUnavailable(w, err)
	default:
		httpjson.Write(w, http.StatusOK, wire.MachineNames{Machines: names})
	}
}

// Provision provisions at most the requested number of machines and returns the machines' names.
// The machines boot afterwards. It fails if the request is invalid or can't be recorded, if the
// machine limits are reached, and for new spot requests. If a request with the same name has succeeded before,
// it returns the names of that request's machines and provisions none.
func (c *Cloud) Provision(req *wire.ProvisionRequest) ([]string, error) {
	machineType, ok := c.findMachineType(req)
	if !ok || req.Name == "" || len(req.Name) > maxRequestName || req.Number < 1 || req.Number > maxProvision {
		return nil, errInvalidRequest
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, repeated := c.provisions[req.Name]; repeated {
		return names, nil
	}
	count := min(req.Number, c.remainingLocked(req.Zone))
	if count <= 0 || req.Spot {
		return nil, errNoCapacity
	}
	machines := make([]*cloudMachine, 0, count)
	names := make([]string, 0, count)
	for i := range count {
		name := fmt.Sprintf("n-%06d", c.lastMachine+uint64(i)+1)
		names = append(names, name)
		machines = append(machines, &cloudMachine{ListedMachine: wire.ListedMachine{Name: name, Type: machineType.Name, Zone: req.Zone, Stage: wire.MachineBooting}})
	}
	last := c.lastMachine + uint64(count)
	if err := c.storeProvision(req.Name, names, machines, last); err != nil {
		return nil, errStorage
	}
	c.lastMachine = last
	c.provisions[req.Name] = names
	for _, m := range machines {
		m.createdAt = time.Now()
		c.machines[m.Name] = m
		go c.boot(m.ListedMachine, machineType)
	}
	return names, nil
}

// findMachineType returns the type that a request names, if it is offered in the request's zone.
func (c *Cloud) findMachineType(req *wire.ProvisionRequest) (wire.MachineType, bool) {
	for _, machineType := range c.types {
		if machineType.Name == req.Type && slices.Contains(machineType.Zones, req.Zone) {
			return machineType, true
		}
	}
	return wire.MachineType{}, false
}

// remainingLocked returns how many more machines a zone can have. Failed machines do not count. The
// result may be negative.
func (c *Cloud) remainingLocked(zone string) int {
	total, inZone := 0, 0
	for _, m := range c.machines {
		if m.Stage == wire.MachineFailed {
			continue
		}
		total++
		if m.Zone == zone {
			inZone++
		}
	}
	room := c.maxMachines - total
	if c.MaxPerZone > 0 {
		room = min(room, c.MaxPerZone-inZone)
	}
	return room
}

// storeProvision stores a request and its machines durably.
func (c *Cloud) storeProvision(request string, names []string, machines []*cloudMachine, last uint64) error {
	return update(c.db, func(tx *bbolt.Tx) error {
		for _, m := range machines {
			if err := putJSON(tx, machinesBucket, m.Name, &m.ListedMachine); err != nil {
				return err
			}
		}
		if err := putJSON(tx, provisionsBucket, request, names); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(nextMachineKey, formatNumber(last))
	})
}

// boot launches a machine after its type's boot time, unless the machine has been deleted. The
// machine is then listed as running, or as failed if the launch failed. A machine deleted during
// its launch is terminated.
func (c *Cloud) boot(m wire.ListedMachine, machineType wire.MachineType) {
	time.Sleep(time.Duration(machineType.BootS * float64(time.Second)))
	c.mu.Lock()
	exists := c.machines[m.Name] != nil
	c.mu.Unlock()
	if !exists {
		return
	}
	endpoint, err := c.launcher.Launch(m, machineType)
	c.mu.Lock()
	listed := c.machines[m.Name]
	switch {
	case listed == nil: // deleted in the meantime
	case err != nil:
		listed.Stage = wire.MachineFailed
	default:
		listed.Endpoint, listed.Stage = endpoint, wire.MachineRunning
	}
	c.mu.Unlock()
	if listed == nil {
		c.launcher.End(m.Name)
	}
}

// MarkFailed lists a machine that has exited unexpectedly as failed. A machine that is not listed
// is ignored.
func (c *Cloud) MarkFailed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil {
		m.Stage = wire.MachineFailed
	}
}

func (c *Cloud) serveDelete(w http.ResponseWriter, r *http.Request) {
	var req wire.MachineNames
	if !decodeBody(w, r, &req) {
		return
	}
	if len(req.Machines) > maxDelete {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "too many names"})
		return
	}
	if err := c.deleteMachines(req.Machines); err != nil {
		writeUnavailable(w, errStorage)
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// deleteMachines removes machines from the listing, terminates them, waits until none of them runs,
// and deletes their records. Names that are not listed are ignored.
func (c *Cloud) deleteMachines(names []string) error {
	c.mu.Lock()
	var listed []string
	for _, name := range names {
		if c.machines[name] != nil {
			listed = append(listed, name)
			delete(c.machines, name)
		}
	}
	c.mu.Unlock()
	var ends sync.WaitGroup
	for _, name := range listed {
		ends.Go(func() { c.launcher.End(name) })
	}
	ends.Wait()
	return update(c.db, func(tx *bbolt.Tx) error {
		for _, name := range listed {
			if err := tx.Bucket(machinesBucket).Delete([]byte(name)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, after := parseLimit(query.Get("limit"), maxPage), query.Get("after")
	c.mu.Lock()
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	for name, m := range c.machines {
		if name > after {
			machine := m.ListedMachine
			machine.AgeS = time.Since(m.createdAt).Seconds()
			list.Machines = append(list.Machines, machine)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(list.Machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	if len(list.Machines) > limit {
		list.Machines, list.More = list.Machines[:limit], true
	}
	httpjson.Write(w, http.StatusOK, list)
}
