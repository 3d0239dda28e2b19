package slurm_test

import "flag"

// A fixed seed makes rapid generate the same inputs in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
