package configstore_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Seeds of the tests with racing goroutines.
var (
	firstSeed = flag.Uint64("first-seed", 0, "first seed of the racing tests")
	seeds     = flag.Uint64("seeds", 3, "number of seeds of the racing tests")
)

// TestMain fixes the seed of rapid, which is random otherwise, and lowers its
// number of checks from 100, which take 6 s with the race detector;
// -rapid.seed and -rapid.checks explore others.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", "50")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value, "first-seed", *firstSeed, "seeds", *seeds)
	os.Exit(m.Run())
}

// setDefault sets a flag that has its own default value.
func setDefault(name, own, value string) {
	if f := flag.Lookup(name); f.Value.String() == own {
		_ = f.Value.Set(value)
	}
}
