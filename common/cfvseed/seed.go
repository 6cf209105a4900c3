// Package cfvseed gives tests the same random choices on every run: the seed comes from
// the environment variable CFV_SEED and is 1 without it.
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

// checks returns how many runs a property test makes: 200, or what CFV_CHECKS says.
func checks() string {
	if n := os.Getenv("CFV_CHECKS"); n != "" {
		return n
	}
	return "200"
}

// Fix sets the seed of property tests; a test package calls it from TestMain.
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
