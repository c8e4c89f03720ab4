package fairqueue

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes every run check the same cases. The flag -rapid.seed
// overrides it.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
