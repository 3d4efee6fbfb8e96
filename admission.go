package anvilglade

// Refusal is the reason for which a host refuses new work.
type Refusal string

// Reasons of a refusal. The empty reason means that the work is admitted.
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

// Outcome is how a request ended at the backend server.
type Outcome string

// Outcomes of a request. Error is a whole answer that says that the server
// failed; Failed means that there was no whole answer.
const (
	OutcomeAnswered Outcome = "Answered"
	OutcomeError    Outcome = "Error"
	OutcomeFailed   Outcome = "Failed"
	OutcomeTimedOut Outcome = "TimedOut"
	OutcomeShed     Outcome = "Shed"
	OutcomeCanceled Outcome = "Canceled"
)

// Admitter decides what a host can bear. It is safe for concurrent use.
type Admitter interface {
	// OpenFlow asks for a new flow. On RefusalNone the caller must call the
	// returned function once when the flow ends.
	OpenFlow(service ServiceID) (Refusal, func())
	// StartRequest asks for a new request. On RefusalNone the caller must
	// call the returned function once with the outcome.
	StartRequest(service ServiceID) (Refusal, func(Outcome))
	// Utilisation returns the larger part in use of slots and connections.
	Utilisation() Utilisation
}
