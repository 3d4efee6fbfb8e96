package anvilglade

// Cores is an amount of processor time per time, in cores.
type Cores float64

// SpeedFactor is the speed of a core as a multiple of the speed of the platform's
// standard core.
type SpeedFactor float64

// LinkRate is the rate of a link in megabits per second, in each direction.
type LinkRate float64

// MemorySize is an amount of memory in megabytes.
type MemorySize float64

// Limits holds the resources that the platform grants to the VM of a process. A limit
// of 0 is unknown.
type Limits struct {
	Processor Cores
	Speed     SpeedFactor
	Link      LinkRate
	Memory    MemorySize
}

// Capacity is the size of a balancer relative to the others, 0 if it is unknown.
type Capacity uint16

// Traffic counts datagrams and their bytes, without headers, in one direction.
type Traffic struct {
	Datagrams uint64
	Bytes     uint64
}

// Add returns the sum of two counts.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{Datagrams: t.Datagrams + other.Datagrams, Bytes: t.Bytes + other.Bytes}
}
