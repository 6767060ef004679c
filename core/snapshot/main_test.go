package snapshot

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, which otherwise uses a random one. The
// flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	fmt.Println("rapid.seed", seed.Value)
	os.Exit(m.Run())
}
