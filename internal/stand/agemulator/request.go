package agemulator

import (
	"encoding/binary"

	"github.com/anvilglade/anvilglade"
)

// request is the payload that a caller sends on a flow. Balancers and agents do
// not interpret it.
type request struct {
	id         uint64
	workMicros uint32
	repeatable bool
	service    anvilglade.ServiceNumber
}

// answer is the payload that a host sends back. ran is false if the host refused
// the request because its slots and queue were full.
type answer struct {
	id      uint64
	ran     bool
	service anvilglade.ServiceNumber
}

const (
	requestSize = 8 + 4 + 1 + 8
	answerSize  = 8 + 1 + 8
)

func (r *request) encode() []byte {
	data := binary.BigEndian.AppendUint64(nil, r.id)
	data = binary.BigEndian.AppendUint32(data, r.workMicros)
	data = append(data, flagOf(r.repeatable))
	return binary.BigEndian.AppendUint64(data, uint64(r.service))
}

func decodeRequest(data []byte) (request, bool) {
	if len(data) != requestSize {
		return request{}, false
	}
	return request{
		id: binary.BigEndian.Uint64(data), workMicros: binary.BigEndian.Uint32(data[8:]),
		repeatable: data[12] != 0, service: anvilglade.ServiceNumber(binary.BigEndian.Uint64(data[13:])),
	}, true
}

func (a *answer) encode() []byte {
	data := append(binary.BigEndian.AppendUint64(nil, a.id), flagOf(a.ran))
	return binary.BigEndian.AppendUint64(data, uint64(a.service))
}

func decodeAnswer(data []byte) (answer, bool) {
	if len(data) != answerSize {
		return answer{}, false
	}
	return answer{id: binary.BigEndian.Uint64(data), ran: data[8] != 0, service: anvilglade.ServiceNumber(binary.BigEndian.Uint64(data[9:]))}, true
}

func flagOf(set bool) byte {
	if set {
		return 1
	}
	return 0
}
