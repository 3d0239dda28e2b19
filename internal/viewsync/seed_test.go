package viewsync

import "flag"

// A fixed seed makes the generated inputs reproducible. The number of checks is set so that a run
// takes a second.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
