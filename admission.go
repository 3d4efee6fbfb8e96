package anvilglade

// Refusal is the reason why a host refuses new work.
type Refusal string

// Reasons for a refusal. The empty reason means that the work is admitted.
const (
	RefusalNone        Refusal = ""
	RefusalSlots       Refusal = "Slots"
	RefusalConnections Refusal = "Connections"
	RefusalLimit       Refusal = "Limit"
	RefusalCold        Refusal = "Cold"
	RefusalDraining    Refusal = "Draining"
	RefusalOut         Refusal = "Out"
	RefusalDeadline    Refusal = "Deadline"
	RefusalFailing     Refusal = "Failing"
)

// Outcome is the result of a request at the backend server.
type Outcome string

// Outcomes of a request. Error means that the server responded with an error
// status, or that its response was found to be truncated before a part of it was
// relayed. Failed means that no usable response was received, or that relaying it
// failed. Shed means that the server responded that it did not run the request.
const (
	OutcomeAnswered Outcome = "Answered"
	OutcomeError    Outcome = "Error"
	OutcomeFailed   Outcome = "Failed"
	OutcomeTimedOut Outcome = "TimedOut"
	OutcomeShed     Outcome = "Shed"
	OutcomeCanceled Outcome = "Canceled"
)

// Admitter decides whether a host has capacity for new flows and requests. It is
// safe for concurrent use.
type Admitter interface {
	// OpenFlow requests admission of a new flow. On RefusalNone the caller must
	// call the returned function once when the flow ends.
	OpenFlow(service ServiceID) (Refusal, func())
	// StartRequest requests admission of a new request. On RefusalNone the
	// caller must call the returned function once with the outcome.
	StartRequest(service ServiceID) (Refusal, func(Outcome))
	// Utilisation returns the larger of the used shares of slots and
	// connections.
	Utilisation() Utilisation
}
