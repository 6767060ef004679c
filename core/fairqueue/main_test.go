package fairqueue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests so that runs can be compared;
// -rapid.seed selects another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
