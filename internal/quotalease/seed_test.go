package quotalease_test

import "flag"

// The generated inputs are the same at every run, and there are enough of them to find each of the
// defects that were introduced as a trial.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
