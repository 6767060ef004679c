package idempotency

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed, 100 steps and 1000 checks for the random tests
// unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("20262"); err != nil {
			panic(err)
		}
	}
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		if err := steps.Value.Set("100"); err != nil {
			panic(err)
		}
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		if err := checks.Value.Set("1000"); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
