package anvilglade

// Slots is a number of requests that a backend server can process concurrently.
type Slots int

// Connections is a number of open flows of a host.
type Connections int

// Utilisation is the used share of a host's capacity in thousandths; 1000 means
// that the host is full.
type Utilisation uint16

// FullUtilisation is the Utilisation of a host that has no free capacity.
const FullUtilisation Utilisation = 1000
