// Package cfvseed makes randomized tests reproducible: the seed is read from the environment
// variable CFV_SEED and defaults to 1.
package cfvseed

import (
	"flag"
	"os"
	"strconv"
)

// Seed returns the seed of this run.
func Seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("CFV_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

// checks returns the number of checks of each property test: the value of the environment
// variable CFV_CHECKS, or 200 by default.
func checks() string {
	if n := os.Getenv("CFV_CHECKS"); n != "" {
		return n
	}
	return "200"
}

// SetRapidFlags sets the seed, the number of checks and the number of steps of property tests, and
// disables the files that rapid writes for failures. Test packages call it from TestMain.
func SetRapidFlags() {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(Seed(), 10),
		"rapid.nofailfile": "true",
		"rapid.steps":      "200",
		"rapid.checks":     checks(),
	} {
		if flag.Lookup(name) == nil {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
