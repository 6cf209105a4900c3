package cfvparts

import (
	"time"

	"coltsfootvalve/core/cfvcall"
)

// Bounds on fetches. The holder of the duty frees replaced parts by them.
const (
	// FetchTime is how long a fetch may take; its result is thrown away afterwards.
	FetchTimeout = 1500 * time.Millisecond
	// OldFetches is how long after it learned of new weights an entry goes on to fetch parts
	// of the replaced ones for endpoints that still run them; loading takes about three
	// seconds where it is ordered in six groups.
	ReplacedWeightsFetchPeriod = 3 * time.Second
)

// Wish is what an endpoint needs of the shared parts of a prompt.
type TransferRequest struct {
	Salt   string
	Parts  []cfvcall.Part
	Domain string // of the endpoint
	Save   bool   // parts that no store holds are worth keeping
}

// Transfers says which store each part is fetched from or saved to, "" for none.
type Transfers struct {
	Fetch               []string
	Save                []string
	FetchDeadlineMillis int64 // on the stores' clock in milliseconds: when fetches are thrown away; 0: not known
}

// Transfers returns what an endpoint fetches and saves, and notes the saves as under way.
func (c *Catalog) PlanTransfers(now time.Duration, w TransferRequest) Transfers {
	t := Transfers{Fetch: make([]string, len(w.Parts)), Save: make([]string, len(w.Parts))}
	for i, part := range w.Parts {
		k := Key{Salt: w.Salt, Part: part.ID}
		t.Fetch[i] = c.Find(now, k, part.Tokens, w.Domain)
		if t.Fetch[i] == "" {
			if w.Save {
				t.Save[i] = c.StartSave(now, k, part.Tokens)
			}
			continue
		}
		if clock := c.Clock(now, t.Fetch[i]); clock > 0 {
			t.FetchDeadlineMillis = clock + FetchTimeout.Milliseconds()
		}
	}
	return t
}
