package autoscaler

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// fullRequest returns a request with every field set.
func fullRequest() wire.ProvisionRequest {
	return wire.ProvisionRequest{Name: "r-12-1", Type: "large", Zone: "z1", Spot: true, Number: 50}
}

func machineTypes() []wire.MachineType {
	return []wire.MachineType{
		{Name: "large", CPUs: 64, GPUs: 8, MemoryGB: 128.5, CacheGB: 100, FetchGBPerS: 1.25, Price: 4, SpotPrice: 1.3, BootS: 40, Zones: []string{"z1", "z2"}},
		{Name: "none"},
	}
}

// Controllers of different versions share the records, so their encoding must not change.
func TestRecordedForms(t *testing.T) {
	recorded.Check(t, "hire", provisionRecord{ProvisionRequest: fullRequest(), PlannedMs: 1700000000123, AnsweredMs: 1700000004567, Machines: []string{"m-1", "m-2"}})
	recorded.Check(t, "hire_least", provisionRecord{})
	recorded.Check(t, "types", machineTypes())
	recorded.Check(t, "types_least", []wire.MachineType(nil))
	record := provisionRecord{ProvisionRequest: fullRequest(), PlannedMs: 1700000000123}
	planned := &provision{req: fullRequest(), plannedAt: time.UnixMilli(1700000000123)}
	if !reflect.DeepEqual(planned.record(), record) {
		t.Errorf("recorded as %+v, want %+v", planned.record(), record)
	}
	recorded.Check(t, "hire_planned", record)
}

func TestRecordedKeys(t *testing.T) {
	if provisionKey != "fleet/hire/" || typesKey != "fleet/types" {
		t.Errorf("keys %q, %q", provisionKey, typesKey)
	}
}

// The cloud's text for an offer without capacity must not change.
func TestRecordedProblem(t *testing.T) {
	if text := errNoCapacity.Error(); text != "no capacity" {
		t.Errorf("%q", text)
	}
}

// shardLeader is a Membership that leads shard 0, whose key has the given version.
type shardLeader struct{ version uint64 }

func (l shardLeader) FencingToken() uint64          { return 12 }
func (l shardLeader) ClaimedShards() map[int]uint64 { return map[int]uint64{0: l.version} }
func (l shardLeader) ShardKey(int) string           { return "c/shard/000" }

// The autoscaler's writes to the state service: a provision before it is requested from the cloud
// and after the answer, and the machine types.
func TestRecordedByAutoscaler(t *testing.T) {
	store := testkit.NewStore()
	view := &testkit.View{Store: store}
	version, err := view.Txn(t.Context(), nil, wire.Op{Put: "c/shard/000", Value: 0})
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	catalog := NewCatalog(nil, view, log)
	a := New(Options{Platform: &config.Platform{}, Operator: &config.Operator{}, Catalog: catalog, Store: view, Member: shardLeader{version}, Log: log})
	planned := &provision{req: fullRequest(), plannedAt: time.UnixMilli(1700000000123)}
	if err := a.writeRecord(t.Context(), planned); err != nil {
		t.Fatal(err)
	}
	checkStored(t, store, "fleet/hire/r-12-1", "hire_planned.json")
	answered := planned.record()
	answered.AnsweredMs, answered.Machines = 1700000004567, []string{"m-1", "m-2"}
	a.answeredProvisions["r-12-1"] = &answeredProvision{record: answered, until: time.Now().Add(time.Hour)}
	a.recordAnswers(t.Context())
	checkStored(t, store, "fleet/hire/r-12-1", "hire.json")
	catalog.persist(t.Context(), machineTypes())
	checkStored(t, store, "fleet/types", "types.json")
}

// checkStored compares the value stored under a key with a file of testdata/recorded.
func checkStored(t *testing.T, store *testkit.Store, key, file string) {
	t.Helper()
	text := recorded.Read(t, file)
	if got := store.RawValue(key); got+"\n" != string(text) {
		t.Errorf("%s is stored as %s, want %s", key, got, text)
	}
}

// The requests of the cloud's client, as the cloud receives them.
func TestRecordedRequests(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, strings.TrimSpace(r.Method+" "+r.URL.String()+" "+string(body)))
		if r.URL.Path == "/hosts" && r.Method == http.MethodGet && !r.URL.Query().Has("after") {
			_ = json.NewEncoder(w).Encode(wire.MachineList{Machines: []wire.ListedMachine{{Name: "m-1"}}, More: true})
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	cloud := NewCloud(strings.TrimPrefix(server.URL, "http://"), 1000)
	_, typesErr := cloud.machineTypes(t.Context())
	_, provisionErr := cloud.provision(t.Context(), fullRequest())
	deleteErr := cloud.deleteMachines(t.Context(), []string{"m-1", "m-2"})
	_, listErr := cloud.listMachines(t.Context())
	if err := errors.Join(typesErr, provisionErr, deleteErr, listErr); err != nil {
		t.Error(err)
	}
	if want := []string{
		"GET /machine_types",
		`POST /hosts {"hire":"r-12-1","build":"large","yard":"z1","loaners":true,"number":50}`,
		`POST /hosts/release {"benches":["m-1","m-2"]}`,
		"GET /hosts?limit=500",
		"GET /hosts?after=m-1&limit=500",
	}; !reflect.DeepEqual(requests, want) {
		t.Errorf("requests\n%s\nwant\n%s", strings.Join(requests, "\n"), strings.Join(want, "\n"))
	}
}
