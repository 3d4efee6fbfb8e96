package anvilglade

// Timestamp is a hybrid logical time: the upper 48 bits are milliseconds since
// the Unix epoch, the lower 16 bits a counter.
type Timestamp uint64

// EventType is the type of an event, such as "HostJoined".
type EventType string

// Event is one entry in the event log of a process. Fields that do not apply to its
// type are empty.
type Event struct {
	Time       Timestamp
	Process    ProcessID
	Type       EventType
	Flow       FlowKey      `json:",omitempty"`
	Request    RequestID    `json:",omitempty"`
	Host       HostID       `json:",omitempty"`
	DataCentre DataCentreID `json:",omitempty"`
	Service    ServiceID    `json:",omitempty"`
	Revision   Revision     `json:",omitempty"`
	Detail     string       `json:",omitempty"`
}

// Recorder stores events in a ring of fixed size. It never blocks; a full ring
// drops its oldest event.
type Recorder interface {
	// Record sets Time and Process and stores the event.
	Record(Event)
	// Observe advances the hybrid clock of the process to a timestamp received
	// in a message, so that later events have a higher one.
	Observe(Timestamp)
	// Now advances the hybrid clock of the process and returns its time.
	Now() Timestamp
}
