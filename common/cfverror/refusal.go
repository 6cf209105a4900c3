// Package cfverror holds the refusal type that every layer uses to say why a request
// was not served and whether any part of it may have run.
package cfverror

import (
	"errors"
	"fmt"
)

// Reason names why a request was refused or retried. Each reason has its own counter.
type Reason string

// The reasons a caller can meet.
const (
	ReasonBadRequest        Reason = "badRequest"
	ReasonUnauthorized      Reason = "unauthorized"
	ReasonUnknownService    Reason = "unknownService"
	ReasonNoEndpoint        Reason = "noEndpoint"
	ReasonEndpointsFull     Reason = "endpointsFull"
	ReasonEndpointsCold     Reason = "endpointsCold"
	ReasonQueueTimeout      Reason = "queueTimeout"
	ReasonQueueFull         Reason = "queueFull"
	ReasonDrained           Reason = "drained"
	ReasonNotOwner          Reason = "notOwner"
	ReasonOwnerUnreachable  Reason = "ownerUnreachable"
	ReasonStopping          Reason = "stopping"
	ReasonRateLimited       Reason = "rateLimited"
	ReasonConcurrency       Reason = "concurrencyLimited"
	ReasonRetryBudget       Reason = "retryBudgetSpent"
	ReasonQuarantined       Reason = "quarantined"
	ReasonConnect           Reason = "connectFailed"
	ReasonVersionMissing    Reason = "versionNotLoaded"
	ReasonEndpointFailed    Reason = "endpointFailed"
	ReasonEndpointSilent    Reason = "endpointSilent"
	ReasonTimeout           Reason = "requestTimeout"
	ReasonResponseTruncated Reason = "answerTruncated"
	ReasonResponseMismatch  Reason = "answerCrossed"
	ReasonClaimUnavailable  Reason = "claimUnavailable"
	ReasonClaimPending      Reason = "claimPending"
	ReasonKeyReused         Reason = "keyReused"
	ReasonOutcomeUnknown    Reason = "outcomeUnknown"
	ReasonBodyTooLarge      Reason = "bodyTooLarge"
	ReasonCallerGone        Reason = "callerGone"
	ReasonSettings          Reason = "settingsUnavailable"
	ReasonConflict          Reason = "conflict"
	ReasonInternal          Reason = "internal"
)

// Ran says whether a refused request may have run at an endpoint.
type Ran string

// The three answers to "did it run".
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is an error that names its reason and whether the request ran.
type Refusal struct {
	Reason  Reason
	Ran     Ran
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Message)
}

// NotRun returns a refusal of a request of which no byte reached an endpoint.
func NotRun(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanUnknown, Message: fmt.Sprintf(format, args...)}
}

// From returns the refusal inside err. An error without one becomes an internal
// refusal whose outcome is unknown, so that "not run" is never claimed by accident.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Unknown(ReasonInternal, "%v", err)
}
