package jobstate

import (
	"maps"
	"math"

	"github.com/wallrack/wallrack/internal/wire"
)

// ZoneUse counts tasks of a job by zone, for the job's zone rules. The zero value counts none.
type ZoneUse struct {
	Zones   map[string]int `json:"Zones,omitempty"`   // number of tasks by zone
	Unzoned int            `json:"Unzoned,omitempty"` // number of tasks on workers whose zone is unknown
}

// Room returns how many more tasks of the job may run in the zone beside those counted, under the
// job's zone rules. A task in an unknown zone may be in any. Without a rule the result exceeds the
// number of tasks of every job.
func (u *ZoneUse) Room(job *wire.Job, zone string) int {
	if job.OneZone && !u.onlyIn(zone) {
		return 0
	}
	if !job.Spread {
		return math.MaxInt
	}
	return max(0, job.MaxSpreadTasks()-u.Zones[zone]-u.Unzoned)
}

// onlyIn reports whether no counted task may be outside the zone.
func (u *ZoneUse) onlyIn(zone string) bool {
	if u.Unzoned > 0 {
		return false
	}
	for other, tasks := range u.Zones {
		if tasks > 0 && other != zone {
			return false
		}
	}
	return true
}

// Add counts n more tasks in the zone, or in an unknown zone if it is "". n may be negative.
func (u *ZoneUse) Add(zone string, n int) {
	if zone == "" {
		u.Unzoned += n
		return
	}
	if u.Zones == nil {
		u.Zones = map[string]int{}
	}
	u.Zones[zone] += n
}

// Clone returns a copy that shares nothing with u.
func (u *ZoneUse) Clone() ZoneUse {
	return ZoneUse{Zones: maps.Clone(u.Zones), Unzoned: u.Unzoned}
}
