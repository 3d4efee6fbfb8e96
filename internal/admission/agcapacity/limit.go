package agcapacity

// The capacity of the host's queue. The number of outstanding requests in the model
// may be off by one or two, because answers are on their way and the host's queue also
// holds flows that it has to accept. The limit therefore changes by one request at a
// time once it is known.

// queueLimit is the number of outstanding requests at which the host sheds, 0 if it
// has not shed any.
type queueLimit struct {
	requests int
}

// shedAt records that a request was shed that arrived behind a number of others.
func (l *queueLimit) shedAt(ahead int) {
	switch {
	case l.requests == 0:
		l.requests = ahead
	case ahead < l.requests:
		l.requests--
	}
}

// acceptedAt records that a request has run that arrived behind a number of others.
func (l *queueLimit) acceptedAt(ahead int) {
	if l.requests > 0 && ahead >= l.requests {
		l.requests++
	}
}
