package configstore_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Seeds of the concurrency tests.
var (
	firstSeed = flag.Uint64("first-seed", 0, "first seed of the concurrency tests")
	seeds     = flag.Uint64("seeds", 3, "number of seeds of the concurrency tests")
)

// TestMain sets a fixed seed for rapid, whose default is random, and lowers the
// number of checks from 100, which take 6 s with the race detector. The flags
// -rapid.seed and -rapid.checks override both.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", "50")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value, "first-seed", *firstSeed, "seeds", *seeds)
	os.Exit(m.Run())
}

// setDefault sets a flag to value if it still has its default value.
func setDefault(name, defaultValue, value string) {
	if f := flag.Lookup(name); f.Value.String() == defaultValue {
		_ = f.Value.Set(value)
	}
}
