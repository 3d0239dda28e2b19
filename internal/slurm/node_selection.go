package slurm

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/wire"
)

// nodeNames holds the machine types and zones named in a list.
type nodeNames struct{ types, zones []string }

// selectNodes restricts the job to the machine types and the zone selected by --nodelist and not
// excluded by --exclude. It fails if a name is unknown, if nothing remains, or if several but not
// all zones remain.
func selectNodes(job *wire.Job, o *Options, site *jobquery.Site) error {
	all := nodeNames{zones: site.Zones}
	for _, t := range site.Types {
		all.types = append(all.types, t.Name)
	}
	wanted, err := splitTypesAndZones("nodelist", o.NodeList, all)
	if err != nil {
		return err
	}
	excluded, err := splitTypesAndZones("exclude", o.Exclude, all)
	if err != nil {
		return err
	}
	job.Types = excludeNames(wanted.types, excluded.types, all.types)
	if len(excluded.types) > 0 && len(job.Types) == 0 {
		return &UsageError{Option: "exclude", Message: "leaves no machine type"}
	}
	zones := excludeNames(wanted.zones, excluded.zones, all.zones)
	switch {
	case len(zones) == 1:
		job.Zone = &zones[0]
	case len(zones) == 0 && len(excluded.zones) > 0:
		return &UsageError{Option: "exclude", Message: "leaves no zone"}
	case len(zones) > 1 && len(zones) < len(site.Zones):
		return &UsageError{Option: "nodelist", Message: fmt.Sprintf("a job is bound to one zone or to none, not to %s", strings.Join(zones, ", "))}
	}
	return nil
}

// splitTypesAndZones divides names into machine types and zones. It fails if a name is neither.
func splitTypesAndZones(option string, names []string, all nodeNames) (found nodeNames, err error) {
	for _, name := range names {
		switch {
		case slices.Contains(all.types, name):
			found.types = append(found.types, name)
		case slices.Contains(all.zones, name):
			found.zones = append(found.zones, name)
		default:
			return found, &UsageError{Option: option, Message: fmt.Sprintf("%s is no machine type (%s) and no zone (%s)", name, strings.Join(all.types, ", "), strings.Join(all.zones, ", "))}
		}
	}
	return found, nil
}

// excludeNames returns the wanted names without the excluded ones; if wanted is nil, it starts
// from all names. If no name is excluded, it returns wanted unchanged, even if nil.
func excludeNames(wanted, excluded, all []string) []string {
	if len(excluded) == 0 {
		return wanted
	}
	if wanted == nil {
		wanted = slices.Clone(all)
	}
	return slices.DeleteFunc(wanted, func(name string) bool { return slices.Contains(excluded, name) })
}
