package cfvparts

import (
	"time"

	"coltsfootvalve/core/cfvcall"
)

// Time limits of fetches. The leader derives from them when parts of replaced weights are freed.
const (
	// FetchTimeout is the time after which the result of a fetch is discarded.
	FetchTimeout = time.Second
	// ReplacedWeightsFetchPeriod is how long an entry that has received new desired weights
	// still fetches parts of the replaced weights for endpoints that run them. It matters where the
	// loading takes long, as after the loss of a leader: once all endpoints run the new weights, the
	// parts are freed anyway.
	ReplacedWeightsFetchPeriod = 5 * time.Second
	// FreeTimeout is the time after which a store rejects a call that frees parts.
	FreeTimeout = time.Second
	// MaxFreeStateAge is the age of the leader's state up to which it frees parts of cache scopes that the
	// configuration no longer uses.
	MaxFreeStateAge = 2 * time.Second
	// ScopeSettleTime is how long an entry fetches nothing under a cache scope that has come into force. A leader
	// that does not know the new configuration yet may free parts of that scope for so long.
	ScopeSettleTime = MaxFreeStateAge + FreeTimeout + freeSettleMargin

	freeSettleMargin = 500 * time.Millisecond // for clock differences
)

// TransferRequest describes the shared parts of a prompt that an endpoint needs.
type TransferRequest struct {
	Salt      string
	Parts     []cfvcall.Part
	Domain    string // failure domain of the endpoint
	Save      bool   // save the parts that no store holds
	SkipFetch bool   // fetch nothing, since computing the parts is faster or the parts may be freed
	Cached    bool   // the endpoint most likely holds the parts, so that a fetch transfers nothing
}

// Transfers holds the store that each part is fetched from or saved to, "" for none.
type Transfers struct {
	Fetch               []string
	Save                []string
	FetchDeadlineMillis int64 // on the stores' clock; results of fetches are discarded after it; 0 if unknown
}

// PlanTransfers returns what an endpoint fetches and saves, and records the saves as in progress.
func (c *Catalog) PlanTransfers(now time.Duration, r TransferRequest) Transfers {
	t := Transfers{Fetch: make([]string, len(r.Parts)), Save: make([]string, len(r.Parts))}
	for i, part := range r.Parts {
		k := Key{Salt: r.Salt, Part: part.ID}
		held := c.Find(now, k, part.Tokens, r.Domain)
		if held == "" {
			if r.Save {
				t.Save[i] = c.StartSave(now, k, part.Tokens, r.Domain)
			}
			if t.Save[i] != "" {
				c.startTransfer(now, t.Save[i], part.Tokens, r.Domain)
			}
			continue
		}
		if r.SkipFetch {
			continue
		}
		t.Fetch[i] = held
		if !r.Cached {
			c.startTransfer(now, held, part.Tokens, r.Domain)
		}
		if clock := c.Clock(now, t.Fetch[i]); clock > 0 {
			t.FetchDeadlineMillis = clock + FetchTimeout.Milliseconds()
		}
	}
	return t
}
