package wire_test

import "flag"

// A fixed seed makes the generated inputs the same in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
