package autoscaler

import "flag"

// A fixed seed makes the generated inputs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
