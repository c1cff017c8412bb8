package claim_test

import (
	"flag"
	"os"
	"testing"
)

// Defaults of rapid's flags. The fixed seed makes the suite deterministic; run with
// -rapid.seed=0 -rapid.checks=300000 to explore other histories.
var defaults = map[string]string{
	"rapid.checks":     "2000",
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
