package jobspec_test

import "flag"

// The seed is fixed, so that the generated inputs are the same in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
