// Package cfverror has the error type for refused requests, which states the reason and
// whether the request may have run.
package cfverror

import (
	"errors"
	"fmt"
)

// Reason is the reason for refusing or retrying a request. Each reason has its own counter.
type Reason string

// Reasons that are reported to callers.
const (
	ReasonBadRequest        Reason = "badRequest"
	ReasonUnauthorized      Reason = "unauthorized"
	ReasonUnknownService    Reason = "unknownService"
	ReasonNoEndpoint        Reason = "noEndpoint"
	ReasonEndpointsFull     Reason = "endpointsFull"
	ReasonCutOff            Reason = "cutOff"
	ReasonEndpointsCold     Reason = "endpointsCold"
	ReasonQueueTimeout      Reason = "queueTimeout"
	ReasonQueueFull         Reason = "queueFull"
	ReasonOverloaded        Reason = "overloaded"
	ReasonDrained           Reason = "drained"
	ReasonNotOwner          Reason = "notOwner"
	ReasonOwnerUnreachable  Reason = "ownerUnreachable"
	ReasonStopping          Reason = "stopping"
	ReasonRateLimited       Reason = "rateLimited"
	ReasonConcurrency       Reason = "concurrencyLimited"
	ReasonRetryBudget       Reason = "retryBudgetSpent"
	ReasonQuarantined       Reason = "quarantined"
	ReasonPartQuarantined   Reason = "partQuarantined"
	ReasonConnect           Reason = "connectFailed"
	ReasonVersionMissing    Reason = "versionNotLoaded"
	ReasonExposureSpent     Reason = "exposureSpent"
	ReasonEndpointsLimited  Reason = "endpointsLimited"
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
	ReasonBodyMemory        Reason = "bodyMemoryFull"
	ReasonCallerGone        Reason = "callerGone"
	ReasonSettings          Reason = "settingsUnavailable"
	ReasonConflict          Reason = "conflict"
	ReasonInternal          Reason = "internal"
)

// Ran states whether a refused request has run at an endpoint.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is the error of a request that was refused.
type Refusal struct {
	Reason  Reason
	Ran     Ran
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Message)
}

// NotRun returns a refusal of a request that did not run: no byte of it reached an endpoint.
func NotRun(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanUnknown, Message: fmt.Sprintf(format, args...)}
}

// From returns the refusal that err wraps. Any other error becomes an internal refusal
// with an unknown outcome, so that a request is never reported as not run by mistake.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Unknown(ReasonInternal, "%v", err)
}
