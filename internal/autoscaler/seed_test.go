package autoscaler

import "flag"

// The generated inputs are the same at every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
