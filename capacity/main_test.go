package capacity

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, which is random otherwise; -rapid.seed
// explores others.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	fmt.Println("rapid.seed", seed.Value)
	os.Exit(m.Run())
}
