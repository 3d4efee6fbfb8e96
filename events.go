package anvilglade

// Timestamp is a hybrid logical time: the upper 48 bits are milliseconds since
// the Unix epoch, the lower 16 bits a counter.
type Timestamp uint64

// EventType names what happened.
type EventType string

// Event is one entry of the time line. Empty fields do not apply.
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

// Recorder takes events. It never blocks; a full ring drops the oldest event.
type Recorder interface {
	// Record sets Time and Process and stores the event.
	Record(Event)
	// Observe moves the clock past a timestamp that came with a message.
	Observe(Timestamp)
	// Now returns the current hybrid time and moves the clock.
	Now() Timestamp
}
