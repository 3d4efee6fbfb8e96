package anvilglade

// Slots counts requests that a backend server can work on at once.
type Slots int

// Connections counts open flows at a host.
type Connections int

// Utilisation is the used part of a host's capacity in thousandths: 1000 is
// full.
type Utilisation uint16

// FullUtilisation is the Utilisation of a host that can bear nothing more.
const FullUtilisation Utilisation = 1000
